/**
 * Failure detection after SWIM (Das, Gupta and Motivala, 2002): one random peer
 * is probed per interval; a peer that does not answer is probed indirectly,
 * through other peers, before it is suspected.
 */
import type { Random } from '../random.js'

/** Callbacks of the prober. */
export interface ProberActions {
  /** Sends a probe; `withoutQueue` leaves out the queued rumors. */
  readonly ping: (target: string, seq: number, withoutQueue: boolean) => void
  /** Asks `relay` to probe `target`. */
  readonly pingVia: (relay: string, target: string, seq: number) => void
  /** Called when no direct or indirect probe of `target` was answered in time. */
  readonly suspect: (target: string, now: number) => void
  /** Ids of all peers that can be probed. */
  readonly peers: () => readonly string[]
}

/** The prober of one instance. Times are in ms. */
export interface Prober {
  /** Starts the probe of the next peer in a shuffled round. */
  readonly next: (now: number) => void
  /** Probes one peer immediately, unless a probe of it is outstanding; with `maySuspect` false an unanswered probe does not lead to suspicion. */
  readonly probe: (target: string, now: number, maySuspect?: boolean) => void
  /** Probes up to `groupProbeFanOut` of several peers that may have failed together, without indirect probes. */
  readonly probeGroup: (targets: readonly string[], now: number) => void
  /** Ends the probe that was answered. */
  readonly answered: (seq: number) => void
  /** Starts indirect probes and suspicions for the outstanding probes that timed out. */
  readonly check: (now: number) => void
  /** Drops all outstanding probes without suspecting their targets, as when this process was paused while they waited. */
  readonly reset: () => void
}

interface OutstandingProbe {
  readonly target: string
  readonly sentAt: number
  readonly maySuspect: boolean
  indirect: boolean
}

/** Time after which an unanswered probe is followed by indirect probes, in ms. */
const directTimeout = 350
/** Time after which the target of an unanswered probe is suspected, in ms. */
const probeTimeout = 1_000
/** Number of peers that are asked for an indirect probe. */
const maxRelays = 3
/** Number of probes that one failed probe starts in a data centre where several instances have failed already. */
const groupProbeFanOut = 3
/** Number of outstanding probes of all kinds up to which group probes are started. */
const maxGroupProbes = 12

/**
 * Creates a prober.
 *
 * @param random - source of randomness for the order of the rounds and the choice of relays
 * @param actions - callbacks that send probes and suspect peers
 * @returns the prober, without outstanding probes
 */
export const createProber = (random: Random, actions: ProberActions): Prober => {
  const outstanding = new Map<number, OutstandingProbe>()
  let round: string[] = []
  let seq = 0

  const shuffled = (ids: readonly string[]): string[] => {
    const order = [...ids]
    for (let index = order.length - 1; index > 0; index--) {
      const otherIndex = random.below(index + 1)
      const moved = order[index]
      order[index] = order[otherIndex]
      order[otherIndex] = moved
    }
    return order
  }

  const probe = (target: string, now: number, maySuspect = true): void => {
    for (const pending of outstanding.values()) if (pending.target === target) return
    seq++
    outstanding.set(seq, { target, sentAt: now, maySuspect, indirect: false })
    actions.ping(target, seq, false)
  }

  const probeGroup = (targets: readonly string[], now: number): void => {
    const probed = new Set([...outstanding.values()].map(({ target }) => target))
    const available = maxGroupProbes - outstanding.size
    for (const target of shuffled(targets.filter(id => !probed.has(id))).slice(0, Math.min(groupProbeFanOut, Math.max(0, available)))) {
      seq++
      outstanding.set(seq, { target, sentAt: now, maySuspect: true, indirect: true })
      actions.ping(target, seq, true)
    }
  }

  const next = (now: number): void => {
    const peers = actions.peers()
    if (peers.length === 0) return
    const present = new Set(peers)
    if (round.length === 0) round = shuffled(peers)
    let target = round.pop()
    while (target !== undefined && !present.has(target)) target = round.pop()
    if (target !== undefined) probe(target, now)
  }

  const probeIndirectly = (pending: OutstandingProbe, id: number): void => {
    pending.indirect = true
    const others = actions.peers().filter(peer => peer !== pending.target)
    shuffled(others).slice(0, maxRelays).forEach(relay => actions.pingVia(relay, pending.target, id))
  }

  const check = (now: number): void => {
    for (const [id, pending] of outstanding) {
      const waited = now - pending.sentAt
      if (waited >= directTimeout && !pending.indirect && pending.maySuspect) probeIndirectly(pending, id)
      if (waited < probeTimeout) continue
      outstanding.delete(id)
      if (pending.maySuspect) actions.suspect(pending.target, now)
    }
  }

  return {
    next,
    probe,
    probeGroup,
    answered: id => outstanding.delete(id),
    check,
    reset: () => outstanding.clear()
  }
}
