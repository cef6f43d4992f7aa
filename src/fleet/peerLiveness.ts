/**
 * Judges from heartbeats which peers are alive and which of them read the store
 * for others. In a large fleet, instances rarely send heartbeats to one another,
 * but often to the readers and back, so the readers' reports of silent peers
 * complete what an instance hears itself.
 */
import { ageOf, type Moment } from '../lease/readLease.js'
import type { FleetMember } from '../ports/feedPort.js'
import type { Heartbeat } from './fleetMessages.js'

/** State kept of one peer. */
export interface Peer {
  member: FleetMember
  /** When its last heartbeat arrived; undefined before the first. */
  heardAt: Moment | undefined
  heartbeat: Heartbeat | undefined
  /** Liveness that was last reported. */
  reportedAlive: boolean
  /** When this instance sent the last heartbeat that the peer has acknowledged by its echo; before the first echo, when it sent the first one. */
  deliveredAt: Moment | undefined
  /** When the connection was last reset, on the steady clock in ms. */
  resetAt: number
}

/** Number of heartbeat intervals without a heartbeat after which a peer counts as silent. */
export const maxMissedHeartbeats = 4
/** Maximum time between heartbeats to and from a reader, an instance that reads the store for others, in ms; they carry its proofs and the digest of its workers. */
export const readerHeartbeatInterval = 500
/**
 * Age of the last direct response of the store, in ms, up to which an instance counts as connected to
 * it. A long poll proves only the state at the time it was sent, so the age normally rises to twice the
 * poll's wait.
 */
export const storeContactTimeout = 2_000
/** Time without a heartbeat after which a reader is no longer relied on, in ms. */
const readerTimeout = 1_500

const hasHeartbeatWithin = ({ heardAt }: Peer, time: number, now: Moment): boolean =>
  heardAt !== undefined && ageOf(heardAt, now) < time

/** Whether a peer reached the store recently, as its last heartbeat states. */
export const reachesStore = ({ heartbeat }: Peer): boolean => (heartbeat?.storeAge ?? Infinity) < storeContactTimeout

/** Whether a peer reads the store for others, reaches it and is alive. */
export const isReader = (peer: Peer, now: Moment): boolean =>
  peer.heartbeat?.readFor !== undefined && !peer.heartbeat.leaving && reachesStore(peer) && hasHeartbeatWithin(peer, readerTimeout, now)

/** Whether a peer has sent no heartbeat for longer than one to a reader may take. */
export const isSilent = (peer: Peer, now: Moment): boolean =>
  !hasHeartbeatWithin(peer, readerHeartbeatInterval * maxMissedHeartbeats, now)

/**
 * Returns the peers that are alive.
 *
 * @param peers - all peers
 * @param heartbeatInterval - time between heartbeats of instances that are not readers, in ms
 * @param now - present time
 */
export const findLivePeers = (peers: readonly Peer[], heartbeatInterval: number, now: Moment): readonly Peer[] => {
  const reportedSilent = new Set(peers.flatMap(peer => isReader(peer, now) ? peer.heartbeat?.readFor?.silent ?? [] : []))
  return peers.filter(peer =>
    hasHeartbeatWithin(peer, heartbeatInterval * maxMissedHeartbeats, now) &&
    (!reportedSilent.has(peer.member.id) || !isSilent(peer, now)))
}
