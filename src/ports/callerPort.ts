/** Callers, as the core sees them: whole requests come in, answers go out. */

/** What callers send. */
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
  | { readonly kind: 'caller.gone', readonly request: number }
  /** The caller reads slower than the answer comes. */
  | { readonly kind: 'caller.blocked', readonly request: number }
  | { readonly kind: 'caller.ready', readonly request: number }

/** What callers get. */
export type CallerEffect =
  | { readonly kind: 'caller.answer', readonly request: number, readonly status: number, readonly headers: Readonly<Record<string, string>>, readonly body: string | Uint8Array }
  | { readonly kind: 'caller.open', readonly request: number, readonly status: number, readonly headers: Readonly<Record<string, string>> }
  | { readonly kind: 'caller.write', readonly request: number, readonly data: string }
  | { readonly kind: 'caller.end', readonly request: number }
  /** Breaks the connection, so that the caller sees the answer as cut. */
  | { readonly kind: 'caller.abort', readonly request: number }
