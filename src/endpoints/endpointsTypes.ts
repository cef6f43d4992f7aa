/** Types that describe workers and plain services. */

/** An IP address and a TCP port. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** A model, with or without an adapter, that is loaded on a worker. */
export interface LoadedModel {
  readonly model: string
  readonly adapter?: string
  readonly weightVersion: string
}

/** A load report of a worker; it lags behind the actual load. */
export interface LoadReport {
  /** Time at which it arrived, at this instance or at the owner that forwarded it, in ms of this instance's clock. */
  readonly at: number
  readonly incarnation: string
  readonly running: number
  readonly waiting: number
  /** Queued prompt tokens that wait for prefill. */
  readonly waitingTokens: number
}

/** Availability of an endpoint; new work goes to `live` endpoints. */
export type EndpointState = 'live' | 'suspect' | 'leaving' | 'gone'

/** A worker or plain service as routing sees it. */
export interface Endpoint {
  readonly id: string
  readonly kind: 'worker' | 'service'
  readonly address: Address
  readonly dataCentre: string
  /** Identifies one start of the process; after a change the cache is empty. */
  readonly incarnation: string
  readonly state: EndpointState
  /** Whether it rejects orders with a stale fencing token. */
  readonly fenced: boolean
  readonly models: readonly LoadedModel[]
  /** Requests that it serves concurrently. */
  readonly slots: number
  readonly report?: LoadReport
  /** Time at which this incarnation was first seen, in ms, when its cache was empty; 0 if it may have been warm already. */
  readonly since: number
}

/** Static description of an endpoint, from the settings, the membership list or a peer; its state is learned later. */
export interface EndpointDescriptor {
  readonly id: string
  readonly kind: 'worker' | 'service'
  readonly address: Address
  readonly dataCentre: string
  /** Whether it rejects orders with a stale fencing token. */
  readonly fenced: boolean
  readonly slots: number
  /** Models assumed to be loaded until the first report. */
  readonly models: readonly LoadedModel[]
}

/** Result of a dispatch to an endpoint; `cut` means that the connection broke. */
export type DispatchOutcome = 'refused' | 'cut' | 'timeout' | 'answered'

/** Reason for a change of the endpoint registry. */
export type EndpointChange = 'added' | 'incarnation' | 'models' | 'state' | 'gone'
