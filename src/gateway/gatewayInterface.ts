/** What the core of a gateway depends on, and what it offers to the process around it. */
import type { RetryBudgetOptions } from '../admission/retryBudget.js'
import type { ForwardingBounds } from '../forwarding/forwardingContext.js'
import type { Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import type { FleetMember } from '../ports/feedPort.js'
import type { Random } from '../random.js'
import type { GatewayEffect, GatewayGauges, GatewayInput } from './gatewayTypes.js'
import type { ShutdownBounds } from './shutdown.js'

/** Limits and timeouts of a gateway; times in ms. */
export interface GatewayBounds extends ShutdownBounds {
  readonly forwarding: ForwardingBounds
  readonly retries: RetryBudgetOptions
  /** Fraction of a service's workers that may load weights at the same time. */
  readonly loadShare: number
  /** Time after its last order to a worker within which an instance does not order again after another one, in ms. */
  readonly reacquireAfter: number
}

/** What a gateway depends on. */
export interface GatewayOptions {
  readonly self: FleetMember
  readonly bounds: () => GatewayBounds
  readonly hash: Hash
  readonly random: Random
}

/** The addresses that callers may connect to, and how long callers may cache them. */
export interface DirectoryAnswer {
  /** `IP:PORT` of each instance. */
  readonly addresses: readonly string[]
  /** Time to live, in ms. */
  readonly ttl: number
}

/** The core of a gateway. */
export interface Gateway {
  /** Processes one input and returns the effects that it causes. */
  readonly handle: (input: GatewayInput, now: Moment) => readonly GatewayEffect[]
  readonly directory: (now: Moment) => DirectoryAnswer
  /** Whether the instance accepts requests: the proof of its configuration is recent enough to accept keys, and it is not shutting down. */
  readonly isReady: (now: Moment) => boolean
  /** Finds the workspace that an API key belongs to by the configuration in force. */
  readonly workspaceOfKey: (key: string) => string | undefined
  /** Current values for the metrics; `proofAge` in ms. */
  readonly gauges: (now: Moment) => GatewayGauges
  /** State of all features, for diagnosis. */
  readonly dump: (now: Moment) => unknown
}
