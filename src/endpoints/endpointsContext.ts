/** Inputs, effects and shared state of the endpoints feature. */
import type { EndpointEffect, EndpointInput } from '../ports/endpointPort.js'
import type { Member, MembershipInput } from '../ports/membershipPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import type { EndpointRecord, EndpointsDb } from './endpointsDb.js'
import type { EndpointsMessage } from './endpointsMessages.js'
import type { DispatchOutcome, EndpointChange } from './endpointsTypes.js'

/** Result of a dispatch, reported by the requests feature. */
export interface EndpointEvidence {
  readonly kind: 'endpoints.evidence'
  readonly endpoint: string
  readonly outcome: DispatchOutcome
  /** The incarnation that answered, if the response named it. */
  readonly incarnation?: string
}

/** An operator's command to send no new work to an endpoint. */
export interface EndpointDrain {
  readonly kind: 'endpoints.drain'
  readonly endpoint: string
}

/** The instances that are alive, reported by the membership feature. */
export interface MembershipChanged {
  readonly kind: 'membership.changed'
  readonly members: readonly Member[]
}

/** Inputs of the endpoints feature; peer messages of other features are ignored. */
export type EndpointsInput =
  | Tick
  | Extract<EndpointInput, { kind: 'endpoint.report' | 'endpoint.unreachable' }>
  | EndpointEvidence
  | EndpointDrain
  | MembershipChanged
  | MembershipInput
  | PeerInput

/** Notifies the other features of this instance that the registry changed. */
export interface EndpointsChanged {
  readonly kind: 'endpoints.changed'
  readonly endpoint: string
  readonly reason: EndpointChange
}

/** Effects that the endpoints feature emits. */
export type EndpointsEffect =
  | Extract<EndpointEffect, { kind: 'endpoint.probe' }>
  | PeerEffect<EndpointsMessage>
  | EndpointsChanged

/** State and functions shared by the modules of the endpoints feature. */
export interface EndpointsContext {
  /** The id of this instance. */
  readonly self: string
  readonly random: Random
  readonly db: EndpointsDb
  /** Returns the instance that probes an endpoint on behalf of all others. */
  readonly ownerOf: (id: string) => string
  /** Returns the ids of the other instances that are alive. */
  readonly peers: () => readonly string[]
  readonly emit: (effect: EndpointsEffect) => void
  readonly send: (to: string, message: EndpointsMessage) => void
  /** Returns the number of changes so far. */
  readonly version: () => number
  /** Emits a change notification and marks the view as outdated. */
  readonly emitChange: (record: EndpointRecord, reason: EndpointChange) => void
  /** Queues the endpoint's state to be sent to peers once the current input has been handled. */
  readonly queueAnnouncement: (record: EndpointRecord) => void
  /** Schedules the next probe of an endpoint at `probeAt`, in ms, unless an earlier one is scheduled already. */
  readonly probeSoon: (record: EndpointRecord, probeAt: number) => void
}
