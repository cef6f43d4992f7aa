/** What the parts of the engine stand-in share. */
import type { LoadedModel } from '../../endpoints/endpointsTypes.js'
import type { EndpointOrder } from '../../ports/endpointPort.js'
import type { StandInOptions, StandInServer } from '../standInServer.js'
import type { Batch } from './engineBatch.js'
import type { EngineCache } from './engineCache.js'
import type { ServedRequest } from './engineServedRequest.js'

/** Settings of the engine. */
export interface EngineOptions extends StandInOptions {
  readonly id?: string
  readonly models?: readonly LoadedModel[]
  /** Requests served at once. */
  readonly slots?: number
  readonly prefillTokensPerSecond?: number
  /** Time between tokens of one stream, in ms. */
  readonly decodeTime?: number
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks?: number
  /** Bytes of prompt text in one block. */
  readonly blockBytes?: number
  /** Time between batches of cache events, in ms. */
  readonly eventInterval?: number
  /** Time between load reports, in ms; a probe gets the last one. */
  readonly reportInterval?: number
  /** How long a stream without a reader goes on, in ms. */
  readonly resumeWindow?: number
  /** Whether orders with an old fencing number are refused. */
  readonly fenced?: boolean
  /** Time to load weights when no store is set, in ms. */
  readonly loadTime?: number
  readonly weightsUrl?: string
  readonly kvUrl?: string
}

/** An order that arrived. */
export interface ReceivedOrder {
  readonly kind: 'order'
  readonly order: EndpointOrder
  readonly fence: number
  readonly at: number
  readonly result: 'done' | 'staleFence' | 'failed'
}

/** An entry of the engine's own record. */
export type EngineEntry = ServedRequest | ReceivedOrder

/** What the parts of one engine share. */
export interface EngineContext {
  readonly id: string
  readonly server: StandInServer
  readonly cache: EngineCache
  readonly batch: Batch
  /** Changed in place by orders. */
  readonly models: LoadedModel[]
  readonly incarnation: () => string
  readonly note: (entry: EngineEntry) => void
}
