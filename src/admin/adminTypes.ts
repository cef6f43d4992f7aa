/** The administration API: who may call what, and what goes wrong. */
import type { PublishResult } from '../config/configTypes.js'
import type { Operator, RuleError } from '../rules/rulesTypes.js'

/** What an operation needs of its caller; `none` is open to probes of the platform. */
export type RequiredRole = 'none' | 'read' | 'publish' | 'fleet'

/** Why an operator gets no answer. */
export type AdminError =
  | { readonly kind: 'unauthorised' }
  | { readonly kind: 'forbidden', readonly required: RequiredRole }
  | { readonly kind: 'unknown_path', readonly path: string }
  | { readonly kind: 'malformed_request', readonly place: string, readonly reason: string }
  | { readonly kind: 'rules_invalid', readonly errors: readonly RuleError[] }
  | { readonly kind: 'publish_refused', readonly result: Exclude<PublishResult, { kind: 'accepted' }> }
  | { readonly kind: 'no_configuration' }
  | { readonly kind: 'not_ready' }

/** An operation's answer: JSON at once, or a publish that is answered later. */
export type AdminAnswer =
  | { readonly kind: 'json', readonly status: number, readonly body: unknown }
  | { readonly kind: 'later' }

/** One call of an operator. */
export interface AdminCall {
  readonly request: number
  readonly operator: Operator | undefined
  readonly params: Readonly<Record<string, string | undefined>>
  readonly query: Readonly<Record<string, string>>
  readonly body: Uint8Array
}
