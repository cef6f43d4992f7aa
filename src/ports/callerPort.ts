/** Port for callers: requests arrive complete, with their whole body; responses leave whole or as a stream. */

/** Inputs from callers. */
export type CallerInput =
  | {
    readonly kind: 'caller.request'
    readonly request: number
    readonly method: string
    /** Path with query, as received. */
    readonly path: string
    /** Header names in lower case. */
    readonly headers: Readonly<Record<string, string>>
    readonly body: Uint8Array
    /** IP address of the caller. */
    readonly remote: string
  }
  /** The caller has closed its connection. */
  | { readonly kind: 'caller.gone', readonly request: number }
  /** The caller reads more slowly than the response is produced (backpressure). */
  | { readonly kind: 'caller.blocked', readonly request: number }
  /** The caller can take more data again. */
  | { readonly kind: 'caller.ready', readonly request: number }

/** Effects on callers. */
export type CallerEffect =
  /** Sends a whole response. */
  | { readonly kind: 'caller.answer', readonly request: number, readonly status: number, readonly headers: Readonly<Record<string, string>>, readonly body: string | Uint8Array }
  /** Sends the head of a streamed response. */
  | { readonly kind: 'caller.open', readonly request: number, readonly status: number, readonly headers: Readonly<Record<string, string>> }
  | { readonly kind: 'caller.write', readonly request: number, readonly data: string }
  | { readonly kind: 'caller.end', readonly request: number }
  /** Aborts the connection, so that the caller can detect that the response is incomplete. */
  | { readonly kind: 'caller.abort', readonly request: number }
