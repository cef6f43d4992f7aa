/** Orders to model workers, and questions about their state. */
import type { Address } from '../catalog/catalogTypes.js'
import type { HeldModel } from '../workers/workersTypes.js'

/** An order to bring one model to a version. */
export interface WeightsOrder {
  readonly worker: string
  readonly address: Address
  readonly model: string
  readonly version: number
  /** What becomes of runs in progress. */
  readonly runs: 'finishFirst' | 'reset' | 'goOn'
  readonly holder: string
  /** Fencing number. */
  readonly fence: number
  /** The order is carried out only if the worker has accepted this many since its start. */
  readonly expectedOrders: number
}

/** What the core asks of workers. */
export type OrderEffect =
  | { readonly kind: 'order.send', readonly token: number, readonly order: WeightsOrder }
  | { readonly kind: 'worker.ask', readonly token: number, readonly worker: string, readonly address: Address }

/** How a worker took an order. */
export type OrderOutcome =
  | 'accepted'
  /** What was ordered holds already. */
  | 'holds'
  /** Another order is under way, or the count of orders differs. */
  | 'conflict'
  /** A higher fencing number was seen. */
  | 'fenced'
  /** Another lifetime has the address. */
  | 'otherWorker'
  | 'invalid'
  /** No answer; it may still be carried out. */
  | 'silent'

/** What a worker says of itself. */
export interface WorkerStatus {
  readonly models: readonly HeldModel[]
  readonly busy: boolean
  readonly orders: number
}

/** What workers answer. */
export type OrderInput =
  | { readonly kind: 'order.answered', readonly token: number, readonly outcome: OrderOutcome }
  /** Undefined if there was no answer. */
  | { readonly kind: 'worker.told', readonly token: number, readonly status: WorkerStatus | undefined }
