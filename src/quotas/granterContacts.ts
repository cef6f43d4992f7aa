/**
 * Fraction of the live instances that a granter still reaches. In a large fleet an
 * instance that is cut off together with some others, none of which reads the store
 * for all, hears of it only after many seconds, while the others soon have another
 * granter. A granter therefore asks a few instances for a sign of life twice a
 * second; in a small fleet, where heartbeats are frequent, it does not.
 */

/** What the contacts depend on. */
export interface GranterContactsOptions {
  /** Number of live instances, this one included. */
  readonly instances: () => number
  /** Returns some of the other live instances, others with each `turn`. */
  readonly somePeers: (count: number, turn: number) => readonly string[]
  readonly send: (to: string, message: { readonly kind: 'fleet.quotaContact', readonly turn: number }) => void
}

/** The contacts of one granter; times in ms. */
export interface GranterContacts {
  /** Asks some instances, if that is due. */
  readonly tick: (now: number) => void
  readonly noteAnswer: (from: string, turn: number) => void
  /** Fraction of the questions of the last second that were answered; 1 without any. */
  readonly share: (now: number) => number
}

/** Size of a fleet up to which heartbeats tell soon enough who is live. */
const maxSmallFleet = 12
/** Number of instances that are asked at a time, and the time between two turns, in ms. */
const askedPerTurn = 5
const turnInterval = 500
/** Time for an answer, in ms. */
const answerTime = 250
/** Age from which questions no longer count, in ms. */
const maxAge = 1_250

interface Turn {
  readonly at: number
  readonly asked: number
  readonly answered: Set<string>
}

/** Creates the contacts of a granter that has asked nobody. */
export const createGranterContacts = ({ instances, somePeers, send }: GranterContactsOptions): GranterContacts => {
  const turns = new Map<number, Turn>()
  let lastTurn = 0
  let nextTurn = -Infinity

  const tick = (now: number): void => {
    if (now < nextTurn) return
    nextTurn = now + turnInterval
    for (const [turn, { at }] of turns) if (now - at > maxAge) turns.delete(turn)
    if (instances() <= maxSmallFleet) return
    lastTurn++
    const peers = somePeers(askedPerTurn, lastTurn)
    turns.set(lastTurn, { at: now, asked: peers.length, answered: new Set() })
    for (const peer of peers) send(peer, { kind: 'fleet.quotaContact', turn: lastTurn })
  }

  const share = (now: number): number => {
    const due = [...turns.values()].filter(({ at }) => now - at >= answerTime && now - at <= maxAge)
    const asked = due.reduce((sum, turn) => sum + turn.asked, 0)
    const answered = due.reduce((sum, turn) => sum + turn.answered.size, 0)
    return asked === 0 ? 1 : Math.min(1, answered / asked)
  }

  return { tick, noteAnswer: (from, turn) => { turns.get(turn)?.answered.add(from) }, share }
}
