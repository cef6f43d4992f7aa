/**
 * Workers that may be out of reach. It answers the load in which a machine goes
 * dark: connections to it hang, and each instance would learn that again and
 * again at the cost of a request. A doubted worker gets no new work; it is probed
 * by connecting, apart from requests, until it can be reached, and the doubt is
 * shared, so that one instance's lost time is enough for all. A worker that is
 * merely slow answers the first probe at once; then the others never hear of it,
 * since each of them would open a connection that the worker has to serve.
 */
import type { ForwardingContext } from './forwardingContext.js'
import type { SuspectReason } from './forwardingTypes.js'

/** The doubts of one instance. */
export interface SuspectWorkers {
  readonly markSuspect: (worker: string, reason: SuspectReason, now: number) => void
  /** Takes in a probe; answers with the time for which the worker has been doubted if it is out of reach. */
  readonly handleProbeResult: (worker: string, reachable: boolean, now: number) => number | undefined
  readonly tick: (now: number) => void
}

/** What doubts need of the instance. */
export type SuspectWorkersContext = Pick<ForwardingContext, 'workers' | 'loadOf' | 'emit' | 'note' | 'tellDoubt'>

/** Time between probes of a worker that stays out of reach, in ms. */
const firstPause = 100
const longestPause = 800

/** Time within which a probe of a worker in reach is answered, in ms. */
const probeTime = 60
/** Time after a probe that was answered in which mere lateness raises no new doubt, in ms. */
const settledTime = 250

interface Doubt {
  readonly since: number
  /** When the others hear of it; infinite once they have. */
  tellAt: number
  nextProbe: number
  pause: number
}

/**
 * Creates the doubts of one instance.
 *
 * @param context - the instance
 */
export const createSuspectWorkers = (context: SuspectWorkersContext): SuspectWorkers => {
  const doubts = new Map<string, Doubt>()

  const probe = (worker: string, doubt: Doubt): void => {
    const address = context.workers.get(worker)?.address
    doubt.nextProbe = Infinity
    if (address === undefined) doubts.delete(worker)
    else context.emit({ kind: 'worker.probe', worker, address })
  }

  const tell = (worker: string, doubt: Doubt): void => {
    doubt.tellAt = Infinity
    context.announceSuspect(worker)
  }

  const tellTime = (reason: SuspectReason, now: number): number => {
    switch (reason) {
      case 'unreachable':
      case 'otherWorker': return now
      case 'silent': return now + probeTime
      case 'peer': return Infinity
    }
  }

  const isSettled = (worker: string, reason: SuspectReason, now: number): boolean =>
    (reason === 'silent' || reason === 'peer') && now - (context.loadOf(worker).lastReachableAt ?? -Infinity) < settledTime

  const raise = (worker: string, reason: SuspectReason, now: number): void => {
    if (doubts.has(worker) || context.workers.get(worker) === undefined || isSettled(worker, reason, now)) return
    const doubt: Doubt = { since: now, nextProbe: now, pause: firstPause, tellAt: tellTime(reason, now) }
    doubts.set(worker, doubt)
    context.loadOf(worker).suspectedSince = now
    context.log({ kind: 'workerDoubted', worker, reason })
    if (now >= doubt.tellAt) tell(worker, doubt)
    probe(worker, doubt)
  }

  const probed = (worker: string, reachable: boolean, now: number): number | undefined => {
    const doubt = doubts.get(worker)
    if (doubt === undefined) return undefined
    const doubted = now - doubt.since
    if (reachable) {
      doubts.delete(worker)
      const load = context.loadOf(worker)
      load.suspectedSince = undefined
      load.lastReachableAt = now
      context.log({ kind: 'workerProbed', worker, reachable, doubted: Math.round(doubted) })
      return undefined
    }
    if (Number.isFinite(doubt.tellAt)) tell(worker, doubt)
    doubt.nextProbe = now + doubt.pause
    doubt.pause = Math.min(longestPause, doubt.pause * 2)
    return doubted
  }

  const tick = (now: number): void => {
    for (const [worker, doubt] of doubts) {
      if (now >= doubt.tellAt) tell(worker, doubt)
      if (now >= doubt.nextProbe) probe(worker, doubt)
    }
  }

  return { markSuspect: raise, handleProbeResult: probed, tick }
}
