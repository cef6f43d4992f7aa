/** What the node knows of a worker or a plain service. */

/** An IP address and a TCP port. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** A model, with or without an adapter, that a worker holds in memory. */
export interface LoadedModel {
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
}

/** A worker's report of its load; it lags. */
export interface LoadReport {
  /** When it arrived here, in ms. */
  readonly at: number
  readonly incarnation: string
  readonly running: number
  readonly waiting: number
  /** Prompt tokens waiting for prefill. */
  readonly waitingTokens: number
}

/** Whether an endpoint may get new work. */
export type EndpointState = 'live' | 'suspect' | 'leaving' | 'gone'

/** A worker or plain service. */
export interface Endpoint {
  readonly id: string
  readonly kind: 'worker' | 'service'
  readonly address: Address
  readonly dataCentre: string
  /** Changes whenever the process restarts, and its cache is then empty. */
  readonly incarnation: string
  readonly state: EndpointState
  /** Whether it refuses orders with an old fencing number. */
  readonly fenced: boolean
  readonly models: readonly LoadedModel[]
  /** Requests that it serves at once. */
  readonly slots: number
  readonly report?: LoadReport
  /** When this incarnation was first seen, in ms; a fresh one has an empty cache. */
  readonly since: number
}

/** An endpoint that the settings name; its state is learned later. */
export interface EndpointDescriptor {
  readonly id: string
  readonly kind: 'worker' | 'service'
  readonly address: Address
  readonly dataCentre: string
  /** Whether it refuses orders with an old fencing number. */
  readonly fenced: boolean
  readonly slots: number
  /** Expected until its first report says what it holds. */
  readonly models: readonly LoadedModel[]
}

/** How a dispatch to an endpoint went. */
export type DispatchOutcome = 'refused' | 'cut' | 'timeout' | 'answered'

/** Why the registry changed. */
export type EndpointChange = 'added' | 'incarnation' | 'models' | 'state' | 'gone'
