/** Types shared by the modules of the engine stand-in: options, record entries and context. */
import type { LoadedModel } from '../../endpoints/endpointsTypes.js'
import type { EndpointOrder } from '../../ports/endpointPort.js'
import type { StandInOptions, StandInServer } from '../standInServer.js'
import type { Batch } from './engineBatch.js'
import type { EngineCache } from './engineCache.js'
import type { ServedRequest } from './engineServedRequest.js'

/** Options of the engine. */
export interface EngineOptions extends StandInOptions {
  /** Prefix of the incarnation and of generated request ids. */
  readonly id?: string
  /** Models that are loaded at the start. */
  readonly models?: readonly LoadedModel[]
  /** Maximum number of requests that run concurrently. */
  readonly slots?: number
  /** Prefill throughput, shared by all running requests. */
  readonly prefillTokensPerSecond?: number
  /** Time between tokens of one stream, in ms. */
  readonly decodeTime?: number
  /** Capacity of the prefix cache, in blocks. */
  readonly cacheBlocks?: number
  /** Bytes of prompt text per block. */
  readonly blockBytes?: number
  /** Time between batches of cache events, in ms. */
  readonly eventInterval?: number
  /** Time between load reports, in ms; a probe receives the latest report. */
  readonly reportInterval?: number
  /** How long a stream without a reader continues, in ms. */
  readonly resumeWindow?: number
  /** Whether orders with an outdated fencing token are rejected. */
  readonly fenced?: boolean
  /** Time to load weights when no weight store is configured, in ms. */
  readonly loadTime?: number
  /** URL of the weight store. */
  readonly weightsUrl?: string
  /** URL of the KV cache store. */
  readonly kvUrl?: string
}

/** An order that the engine received at `at`, in ms, with its fencing token and result. */
export interface ReceivedOrder {
  readonly kind: 'order'
  readonly order: EndpointOrder
  readonly fence: number
  readonly at: number
  readonly result: 'done' | 'staleFence' | 'failed'
}

/** An entry of the engine's record. */
export type EngineEntry = ServedRequest | ReceivedOrder

/** Objects shared by the modules of one engine. */
export interface EngineContext {
  readonly id: string
  readonly server: StandInServer
  readonly cache: EngineCache
  readonly batch: Batch
  /** The loaded models; orders change the array in place. */
  readonly models: LoadedModel[]
  /** Returns the id of the current incarnation, which changes after a crash. */
  readonly incarnation: () => string
  /** Adds an entry to the record unless the record is full. */
  readonly addEntry: (entry: EngineEntry) => void
}
