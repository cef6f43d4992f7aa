/**
 * Port for endpoints: model workers and plain services. Every dispatch to a worker
 * states the identity that it relies on; every response carries the identity that
 * served it.
 */
import type { Address, LoadedModel } from '../endpoints/endpointsTypes.js'
import type { FeatureName } from './features.js'

/** The identity that a model request relies on; the response is checked against it. */
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
    /** Request id that the engine must repeat on every event of the stream. */
    readonly id: string
    readonly path: '/v1/chat/completions' | '/v1/completions'
    /** The caller's JSON body, with `stream` set. */
    readonly body: Readonly<Record<string, unknown>>
    readonly identity: ServingIdentity
    /** Separates the cache entries of workspaces, adapters and weight versions. */
    readonly cacheSalt: string
    readonly priority: number
    /** Position of the first event wanted; set to resume a stream of the engine. */
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

/** A declarative, idempotent order to a worker. */
export type EndpointOrder =
  | { readonly kind: 'load', readonly model: LoadedModel }
  | { readonly kind: 'unload', readonly model: LoadedModel }
  | { readonly kind: 'role', readonly role: 'mixed' | 'prefill' | 'decode' }

/** A block that was added to or removed from the prefix cache of a worker. */
export interface CacheEvent {
  readonly kind: 'stored' | 'removed'
  /** Value of the prefix hash chain at this block, as 16 hexadecimal digits. */
  readonly block: string
}

/** Requests of the core to endpoints. */
export type EndpointEffect =
  | { readonly kind: 'endpoint.dispatch', readonly attempt: number, readonly endpoint: string, readonly address: Address, readonly request: EndpointRequest }
  /** Ends an attempt and stops the engine's work on it. */
  | { readonly kind: 'endpoint.cancel', readonly attempt: number }
  /** Ends an attempt but lets the engine continue, so that its stream can be resumed. */
  | { readonly kind: 'endpoint.detach', readonly attempt: number }
  /** Stops reading the response, for backpressure. */
  | { readonly kind: 'endpoint.pause', readonly attempt: number }
  | { readonly kind: 'endpoint.resume', readonly attempt: number }
  /** Requests a report on the state of an endpoint. */
  | { readonly kind: 'endpoint.probe', readonly endpoint: string, readonly address: Address }
  /** Subscribes to the cache events of a worker from sequence number `from` on; if undefined, the subscription starts with a full listing. */
  | { readonly kind: 'endpoint.follow', readonly endpoint: string, readonly address: Address, readonly from?: number }
  | { readonly kind: 'endpoint.unfollow', readonly endpoint: string }
  | { readonly kind: 'endpoint.order', readonly owner: FeatureName, readonly token: number, readonly endpoint: string, readonly address: Address, readonly order: EndpointOrder, readonly fence: number }

/** Why an endpoint gave no complete response. In `endpoint.failed`, `sent` is false only if no byte of the request was sent. */
export type EndpointFailure = 'refused' | 'cut' | 'timeout' | 'garbled'

/** Responses and reports of endpoints. */
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
  /** The end marker of the stream arrived. */
  | { readonly kind: 'endpoint.end', readonly attempt: number }
  /** A whole response: from a service, or a rejection from a worker. */
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
  /** Cache events in order; with `full` set they replace the known contents of the cache. */
  | { readonly kind: 'endpoint.events', readonly endpoint: string, readonly incarnation: string, readonly seq: number, readonly full: boolean, readonly events: readonly CacheEvent[] }
  | { readonly kind: 'endpoint.ordered', readonly owner: FeatureName, readonly token: number, readonly endpoint: string, readonly result: 'done' | 'staleFence' | 'failed' }
