/**
 * Workers and plain services, as the core sees them. Every dispatch names the
 * identity that it relies on; every answer carries the identity that served it.
 */
import type { Address, LoadedModel } from '../endpoints/endpointsTypes.js'
import type { FeatureName } from './features.js'

/** What a model request relies on; the answer is checked against it. */
export interface ServingIdentity {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
  readonly incarnation: string
}

/** A request to an endpoint. */
export type EndpointRequest =
  | {
    readonly kind: 'model'
    /** The id that the engine must echo on every event of the stream. */
    readonly id: string
    readonly path: '/v1/chat/completions' | '/v1/completions'
    /** The caller's JSON body, with `stream` set. */
    readonly body: Readonly<Record<string, unknown>>
    readonly identity: ServingIdentity
    /** Separates the caches of workspaces, adapters and weight versions. */
    readonly cacheSalt: string
    readonly priority: number
    /** Set to resume an engine's stream: events from this position on. */
    readonly resumeFrom?: number
  }
  | {
    readonly kind: 'service'
    readonly id: string
    readonly method: string
    readonly path: string
    readonly headers: Readonly<Record<string, string>>
    readonly body: Uint8Array
  }

/** A declarative order to a worker; carrying out one twice changes nothing. */
export type EndpointOrder =
  | { readonly kind: 'load', readonly model: LoadedModel }
  | { readonly kind: 'unload', readonly model: LoadedModel }
  | { readonly kind: 'role', readonly role: 'mixed' | 'prefill' | 'decode' }

/** A block that entered or left a worker's prefix cache. */
export interface CacheEvent {
  readonly kind: 'stored' | 'removed'
  /** The hash chain's value at this block, as 16 hexadecimal digits. */
  readonly block: string
}

/** What the core asks of endpoints. */
export type EndpointEffect =
  | { readonly kind: 'endpoint.dispatch', readonly attempt: number, readonly endpoint: string, readonly address: Address, readonly request: EndpointRequest }
  /** Ends an attempt and the engine's work on it. */
  | { readonly kind: 'endpoint.cancel', readonly attempt: number }
  /** Ends an attempt, but not the engine's work, which may be taken up again. */
  | { readonly kind: 'endpoint.detach', readonly attempt: number }
  | { readonly kind: 'endpoint.pause', readonly attempt: number }
  | { readonly kind: 'endpoint.resume', readonly attempt: number }
  | { readonly kind: 'endpoint.probe', readonly endpoint: string, readonly address: Address }
  /** Follows a worker's cache events from `from` on; undefined starts with a full listing. */
  | { readonly kind: 'endpoint.follow', readonly endpoint: string, readonly address: Address, readonly from?: number }
  | { readonly kind: 'endpoint.unfollow', readonly endpoint: string }
  | { readonly kind: 'endpoint.order', readonly owner: FeatureName, readonly token: number, readonly endpoint: string, readonly address: Address, readonly order: EndpointOrder, readonly fence: number }

/** Why an endpoint gave no answer. `sent` is false only if no byte of the request left. */
export type EndpointFailure = 'refused' | 'cut' | 'timeout' | 'garbled'

/** What endpoints answer or report. */
export type EndpointInput =
  | {
    readonly kind: 'endpoint.head'
    readonly attempt: number
    readonly status: number
    readonly requestId: string
    readonly incarnation: string
    readonly weightVersion: string
  }
  /** One event of a model stream; `data` is its JSON text. */
  | { readonly kind: 'endpoint.chunk', readonly attempt: number, readonly requestId: string, readonly position: number, readonly data: string }
  /** The stream's own end marker arrived. */
  | { readonly kind: 'endpoint.end', readonly attempt: number }
  /** A whole answer: a service's, or a worker's refusal. */
  | { readonly kind: 'endpoint.answer', readonly attempt: number, readonly requestId: string, readonly status: number, readonly headers: Readonly<Record<string, string>>, readonly body: Uint8Array }
  | { readonly kind: 'endpoint.failed', readonly attempt: number, readonly failure: EndpointFailure, readonly sent: boolean }
  | {
    readonly kind: 'endpoint.report'
    readonly endpoint: string
    readonly incarnation: string
    readonly models: readonly LoadedModel[]
    readonly running: number
    readonly waiting: number
    readonly waitingTokens: number
    readonly leaving: boolean
  }
  | { readonly kind: 'endpoint.unreachable', readonly endpoint: string }
  /** Cache events in order; `full` replaces all that was known. */
  | { readonly kind: 'endpoint.events', readonly endpoint: string, readonly incarnation: string, readonly seq: number, readonly full: boolean, readonly events: readonly CacheEvent[] }
  | { readonly kind: 'endpoint.ordered', readonly owner: FeatureName, readonly token: number, readonly endpoint: string, readonly result: 'done' | 'staleFence' | 'failed' }
