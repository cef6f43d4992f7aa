/**
 * Workers that may be out of reach. It answers the load in which a machine goes
 * dark: connections to it hang, and each instance would learn that again and
 * again at the cost of a request. A doubted worker gets no new work; it is probed
 * by connecting, apart from requests, until it can be reached, and the doubt is
 * shared, so that one instance's lost time is enough for all.
 */
import type { ForwardingContext } from './forwardingContext.js'
import type { DoubtReason } from './forwardingTypes.js'

/** The doubts of one instance. */
export interface Doubts {
  readonly raise: (worker: string, reason: DoubtReason, now: number) => void
  /** Takes in a probe; answers with the time for which the worker has been doubted if it is out of reach. */
  readonly probed: (worker: string, reachable: boolean, now: number) => number | undefined
  readonly tick: (now: number) => void
}

/** Time between probes of a worker that stays out of reach, in ms. */
const firstPause = 100
const longestPause = 800

interface Doubt {
  readonly since: number
  nextProbe: number
  pause: number
}

/**
 * Creates the doubts of one instance.
 *
 * @param context - the instance
 */
export const createDoubts = (context: ForwardingContext): Doubts => {
  const doubts = new Map<string, Doubt>()

  const probe = (worker: string, doubt: Doubt): void => {
    const address = context.workers.get(worker)?.address
    doubt.nextProbe = Infinity
    if (address === undefined) doubts.delete(worker)
    else context.emit({ kind: 'worker.probe', worker, address })
  }

  const raise = (worker: string, reason: DoubtReason, now: number): void => {
    if (doubts.has(worker) || context.workers.get(worker) === undefined) return
    const doubt: Doubt = { since: now, nextProbe: now, pause: firstPause }
    doubts.set(worker, doubt)
    context.loadOf(worker).doubtedSince = now
    context.note({ kind: 'workerDoubted', worker, reason })
    if (reason !== 'peer') context.tellDoubt(worker)
    probe(worker, doubt)
  }

  const probed = (worker: string, reachable: boolean, now: number): number | undefined => {
    const doubt = doubts.get(worker)
    if (doubt === undefined) return undefined
    const doubted = now - doubt.since
    if (reachable) {
      doubts.delete(worker)
      context.loadOf(worker).doubtedSince = undefined
      context.note({ kind: 'workerProbed', worker, reachable, doubted: Math.round(doubted) })
      return undefined
    }
    doubt.nextProbe = now + doubt.pause
    doubt.pause = Math.min(longestPause, doubt.pause * 2)
    return doubted
  }

  const tick = (now: number): void => {
    for (const [worker, doubt] of doubts) if (now >= doubt.nextProbe) probe(worker, doubt)
  }

  return { raise, probed, tick }
}
