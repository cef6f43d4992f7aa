/** What the parts of the endpoints feature share. */
import type { EndpointEffect, EndpointInput } from '../ports/endpointPort.js'
import type { Member, MembershipInput } from '../ports/membershipPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import type { EndpointRecord, EndpointsDb } from './endpointsDb.js'
import type { EndpointsMessage } from './endpointsMessages.js'
import type { DispatchOutcome, EndpointChange } from './endpointsTypes.js'

/** A dispatch told by the requests feature. */
export interface EndpointEvidence {
  readonly kind: 'endpoints.evidence'
  readonly endpoint: string
  readonly outcome: DispatchOutcome
  /** The incarnation that answered. */
  readonly incarnation?: string
}

/** An operator's wish that an endpoint gets no new work. */
export interface EndpointDrain {
  readonly kind: 'endpoints.drain'
  readonly endpoint: string
}

/** The instances that are alive, told by the membership feature. */
export interface MembershipChanged {
  readonly kind: 'membership.changed'
  readonly members: readonly Member[]
}

/** What the endpoints feature reacts to; inputs of other kinds are ignored. */
export type EndpointsInput =
  | Tick
  | Extract<EndpointInput, { kind: 'endpoint.report' | 'endpoint.unreachable' }>
  | EndpointEvidence
  | EndpointDrain
  | MembershipChanged
  | MembershipInput
  | PeerInput

/** Tells the node's other features that the registry changed. */
export interface EndpointsChanged {
  readonly kind: 'endpoints.changed'
  readonly endpoint: string
  readonly reason: EndpointChange
}

/** What the endpoints feature asks for. */
export type EndpointsEffect =
  | Extract<EndpointEffect, { kind: 'endpoint.probe' }>
  | PeerEffect<EndpointsMessage>
  | EndpointsChanged

/** Shared state and functions. */
export interface EndpointsContext {
  readonly self: string
  readonly random: Random
  readonly db: EndpointsDb
  /** The instance that probes an endpoint for all. */
  readonly ownerOf: (id: string) => string
  /** The other instances that are alive. */
  readonly peers: () => readonly string[]
  readonly emit: (effect: EndpointsEffect) => void
  readonly send: (to: string, message: EndpointsMessage) => void
  /** Counts the changes so far. */
  readonly version: () => number
  /** Emits a change and marks the view as outdated. */
  readonly emitChange: (record: EndpointRecord, reason: EndpointChange) => void
  /** Tells the others a fact at the end of the present input. */
  readonly queueAnnouncement: (record: EndpointRecord) => void
  /** Probes an endpoint at the next opportunity. */
  readonly probeSoon: (record: EndpointRecord, now: number) => void
}
