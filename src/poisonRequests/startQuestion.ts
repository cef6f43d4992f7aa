/** The question of an instance that has just started: what is blocked? It is repeated until another instance has answered. */
import type { PoisonMessage } from './poisonRequestsTypes.js'

/** What the question depends on. */
export interface StartQuestionOptions {
  /** Returns some of the other instances that are known, live or not. */
  readonly somePeers: (count: number) => readonly string[]
  readonly send: (to: string, message: PoisonMessage) => void
}

/** The question of one instance; times in ms. */
export interface StartQuestion {
  readonly tick: (now: number) => void
  /** Records that an instance has answered. */
  readonly answered: () => void
}

/** Number of instances that are asked; some may be gone. */
const askedAtOnce = 8
/** Time between two questions, in ms. */
const interval = 250
/** Number of questions, after which the regular repetition has to do. */
const maxQuestions = 8

/**
 * Creates the question of an instance that starts.
 *
 * @param options - the other instances
 */
export const createStartQuestion = ({ somePeers, send }: StartQuestionOptions): StartQuestion => {
  let left = maxQuestions
  let nextAt = -Infinity

  const tick = (now: number): void => {
    if (left === 0 || now < nextAt) return
    const peers = somePeers(askedAtOnce)
    if (peers.length === 0) return
    left--
    nextAt = now + interval
    for (const peer of peers) send(peer, { kind: 'fleet.blockedQuestion' })
  }

  return { tick, answered: () => { left = 0 } }
}
