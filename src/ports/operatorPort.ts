/** Port for operators: complete requests arrive, complete responses leave. */

/** A request of an operator. */
export interface OperatorInput {
  readonly kind: 'operator.request'
  readonly request: number
  readonly method: string
  /** Path with query, as received. */
  readonly path: string
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/** The response to an operator. */
export interface OperatorEffect {
  readonly kind: 'operator.answer'
  readonly request: number
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}
