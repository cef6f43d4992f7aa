/**
 * Failure detection after SWIM (Das, Gupta and Motivala, 2002): one random peer
 * is probed per interval; a peer that does not answer is probed through others
 * before it is suspected.
 */
import type { Random } from '../random.js'

/** What the prober wants done. */
export interface ProberActions {
  /** A bare probe carries no rumors. */
  readonly ping: (target: string, seq: number, bare: boolean) => void
  readonly pingVia: (relay: string, target: string, seq: number) => void
  readonly suspect: (target: string, now: number) => void
  /** All that can be probed. */
  readonly peers: () => readonly string[]
}

/** The probes of one instance. */
export interface Prober {
  /** Starts the probe of the next peer in a shuffled round. */
  readonly next: (now: number) => void
  /** Probes one peer out of turn, unless a probe of it is under way; `suspected` false never leads to suspicion. */
  readonly probe: (target: string, now: number, suspected?: boolean) => void
  /** Probes several peers that may have failed together, without indirect probes. */
  readonly probeTogether: (targets: readonly string[], now: number) => void
  readonly answered: (seq: number) => void
  /** Acts on probes whose time is up. */
  readonly check: (now: number) => void
  /** Drops all outstanding probes; the time that they waited does not count. */
  readonly reset: () => void
}

interface Outstanding {
  readonly target: string
  readonly sentAt: number
  readonly suspected: boolean
  indirect: boolean
}

/** Time after which a probe goes through others, in ms. */
const directTimeout = 350
/** Time after which a peer is suspected, in ms. */
const probeTimeout = 1_000
const relays = 3
/** Probes that one failed probe starts where others have failed already. */
const fanOut = 3
/** Probes outstanding at once that are started in this way. */
const mostTogether = 12

/**
 * Creates a prober.
 *
 * @param random - the order of the rounds
 * @param actions - what the prober wants done
 */
export const createProber = (random: Random, actions: ProberActions): Prober => {
  const outstanding = new Map<number, Outstanding>()
  let round: string[] = []
  let seq = 0

  const shuffled = (ids: readonly string[]): string[] => {
    const order = [...ids]
    for (let index = order.length - 1; index > 0; index--) {
      const other = random.below(index + 1)
      const swapped = order[index]
      order[index] = order[other]
      order[other] = swapped
    }
    return order
  }

  const probe = (target: string, now: number, suspected = true): void => {
    for (const pending of outstanding.values()) if (pending.target === target) return
    seq++
    outstanding.set(seq, { target, sentAt: now, suspected, indirect: false })
    actions.ping(target, seq, false)
  }

  const probeTogether = (targets: readonly string[], now: number): void => {
    const probed = new Set([...outstanding.values()].map(({ target }) => target))
    const room = mostTogether - outstanding.size
    for (const target of shuffled(targets.filter(id => !probed.has(id))).slice(0, Math.min(fanOut, Math.max(0, room)))) {
      seq++
      outstanding.set(seq, { target, sentAt: now, suspected: true, indirect: true })
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

  const goIndirect = (pending: Outstanding, id: number): void => {
    pending.indirect = true
    const others = actions.peers().filter(peer => peer !== pending.target)
    shuffled(others).slice(0, relays).forEach(relay => actions.pingVia(relay, pending.target, id))
  }

  const check = (now: number): void => {
    for (const [id, pending] of outstanding) {
      const waited = now - pending.sentAt
      if (waited >= directTimeout && !pending.indirect && pending.suspected) goIndirect(pending, id)
      if (waited < probeTimeout) continue
      outstanding.delete(id)
      if (pending.suspected) actions.suspect(pending.target, now)
    }
  }

  return {
    next,
    probe,
    probeTogether,
    answered: id => outstanding.delete(id),
    check,
    reset: () => outstanding.clear()
  }
}
