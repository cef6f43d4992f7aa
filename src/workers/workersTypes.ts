/** Workers as discovery announces them. */
import type { Address } from '../catalog/catalogTypes.js'

/** Weights that a worker holds. */
export interface HeldModel {
  readonly name: string
  readonly version: number
}

/** One lifetime of a worker. */
export interface Worker {
  /** Name of the lifetime; an old name may come back with a later start. */
  readonly id: string
  readonly service: string
  readonly address: Address
  readonly dataCentre: string
  readonly slots: number
  readonly state: 'live' | 'draining'
  readonly models: readonly HeldModel[]
  /** Unix ms of its start; 0 if it did not say. */
  readonly startedAt: number
}

/** What discovery says of one name: a worker, or that it has left. */
export type WorkerRecord =
  | { readonly kind: 'present', readonly worker: Worker }
  | { readonly kind: 'absent', readonly id: string }
