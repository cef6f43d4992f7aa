/** Port for model workers: orders to change weights, and status queries. */
import type { Address } from '../catalog/catalogTypes.js'
import type { HeldModel } from '../workers/workersTypes.js'

/** An order to load one version of a model's weights. */
export interface WeightsOrder {
  readonly worker: string
  readonly address: Address
  readonly model: string
  readonly version: number
  /** How the worker treats the requests in progress. */
  readonly runs: 'finishFirst' | 'reset' | 'goOn'
  readonly holder: string
  /** Fencing token of the rollout lease. */
  readonly fence: number
  /** The worker carries out the order only if it has accepted this many orders since its start. */
  readonly expectedOrders: number
}

/** Requests of the core to workers; `token` identifies the response. */
export type OrderEffect =
  | { readonly kind: 'order.send', readonly token: number, readonly order: WeightsOrder }
  | { readonly kind: 'worker.ask', readonly token: number, readonly worker: string, readonly address: Address }

/** How a worker responded to an order. */
export type OrderOutcome =
  | 'accepted'
  /** The worker already has the ordered version. */
  | 'holds'
  /** Another order is in progress, or the number of accepted orders differs. */
  | 'conflict'
  /** The worker has seen a higher fencing token. */
  | 'fenced'
  /** Another incarnation of a worker now uses the address. */
  | 'otherWorker'
  | 'invalid'
  /** No response was received; the order may still be carried out. */
  | 'silent'

/** The status that a worker reports. */
export interface WorkerStatus {
  readonly models: readonly HeldModel[]
  readonly busy: boolean
  /** Number of orders accepted since the start of the worker. */
  readonly orders: number
}

/** Responses of workers. */
export type OrderInput =
  | { readonly kind: 'order.answered', readonly token: number, readonly outcome: OrderOutcome }
  /** The status is undefined if no response was received. */
  | { readonly kind: 'worker.told', readonly token: number, readonly status: WorkerStatus | undefined }
