/**
 * Tells crashes of workers from other ends of connections. When an attempt is
 * cut, its worker is probed; it has crashed if its machine refuses the
 * connection or its lifetime is over soon after. A worker that only resets
 * connections is reached, a machine that fails or cannot be reached is silent, and a
 * worker that is leaving or no longer listed ends on purpose: none of these is a crash.
 */
import { LRUCache } from 'lru-cache'
import { onsetTime } from './poisonRequestsTypes.js'

/** An attempt that was cut; times in ms. */
export interface CutAttempt {
  readonly scope: string
  /** The features of its request, in the order of `featuresOf`. */
  readonly features: readonly string[]
  /** Id that the request shares with its repeats. */
  readonly request: string
  /** Whether the head of a response had arrived. */
  readonly answered: boolean
  /** When its first event arrived; undefined before. */
  readonly begunAt: number | undefined
  readonly cutAt: number
}

/** A crash of a lifetime of a worker, with the attempts that may have caused it. */
export interface WorkerCrash {
  readonly worker: string
  readonly startedAt: number
  /** Time of the crash, in ms. */
  readonly at: number
  readonly attempts: readonly CutAttempt[]
}

/** What crash detection depends on. */
export interface WorkerCrashesOptions {
  /** State of a lifetime of a worker: listed and not leaving, leaving, or over, in which case the worker is not listed or has started anew. */
  readonly stateOf: (worker: string, startedAt: number) => 'inService' | 'leaving' | 'over'
  /** Whether this instance reaches the workers of the same service; what it sees says nothing of a worker while that is not so. */
  readonly reachOf: (worker: string) => 'reached' | 'uncertain' | 'cutOff'
  /** Probes a worker unless that was done a moment ago. */
  readonly probe: (worker: string, now: number) => void
}

/** The crashes that one instance notices; times in ms. */
export interface WorkerCrashes {
  /** Records an attempt that was cut; returns whether it may have crashed the worker, if that has crashed. */
  readonly cut: (worker: string, startedAt: number, attempt: CutAttempt) => boolean
  /** Records the result of a probe; `refused` says that its machine answered and no process did. */
  readonly probed: (worker: string, result: { readonly reachable: boolean, readonly refused: boolean }, now: number) => void
  /** Probes the workers that are in doubt, and returns the crashes to report. A crash is returned again if more of its attempts are cut later. */
  readonly tick: (now: number) => readonly WorkerCrash[]
}

/** Time in which the connections of a worker that ends are closed, in ms. */
const collectTime = 25
/** Time after a cut, in ms, within which the end of the worker counts as a crash. */
const confirmTime = 5_000
/** Time after a cut, in ms, from which a probe that was begun after it can have succeeded. */
const minProbeTime = 5
/** Number of workers in doubt. */
const maxWorkers = 500
/** Number of cut attempts that are kept of a worker. */
const maxAttempts = 200

interface Doubt {
  readonly worker: string
  readonly startedAt: number
  readonly at: number
  attempts: CutAttempt[]
  isCrash: boolean
}

/** Whether the attempt may have caused the crash: its answer began shortly before, or perhaps without its first event having arrived. */
const mayHaveCaused = ({ begunAt, cutAt }: CutAttempt): boolean => begunAt === undefined || cutAt - begunAt <= onsetTime

/**
 * Creates the crash detection of an instance.
 *
 * @param options - the worker records and the prober
 */
export const createWorkerCrashes = ({ stateOf, reachOf, probe }: WorkerCrashesOptions): WorkerCrashes => {
  const doubts = new LRUCache<string, Doubt>({ max: maxWorkers })

  const cut = (worker: string, startedAt: number, attempt: CutAttempt): boolean => {
    const known = doubts.get(worker)
    const isSame = known?.startedAt === startedAt
    if (!isSame && stateOf(worker, startedAt) !== 'inService') return false
    const doubt: Doubt = isSame ? known : { worker, startedAt, at: attempt.cutAt, attempts: [], isCrash: false }
    doubts.set(worker, doubt)
    const isSuspect = mayHaveCaused(attempt)
    if (isSuspect && doubt.attempts.length < maxAttempts) doubt.attempts.push(attempt)
    if (!doubt.isCrash) probe(worker, attempt.cutAt)
    return isSuspect
  }

  const probed: WorkerCrashes['probed'] = (worker, { reachable, refused }, now) => {
    const doubt = doubts.get(worker)
    if (doubt === undefined || doubt.isCrash) return
    if (refused) doubt.isCrash = true
    else if (reachable && now - doubt.at >= minProbeTime) doubts.delete(worker)
  }

  const tick = (now: number): readonly WorkerCrash[] => {
    const crashes: WorkerCrash[] = []
    for (const [worker, doubt] of doubts.entries()) {
      const state = stateOf(worker, doubt.startedAt)
      if (now - doubt.at > confirmTime || (state === 'leaving' && !doubt.isCrash)) {
        doubts.delete(worker)
        continue
      }
      doubt.isCrash ||= state === 'over'
      const reach = state === 'over' ? 'reached' : reachOf(worker)
      if (reach !== 'reached') continue
      if (!doubt.isCrash) probe(worker, now)
      else if (doubt.attempts.length > 0 && now - doubt.at >= collectTime) crashes.push({ worker, startedAt: doubt.startedAt, at: doubt.at, attempts: doubt.attempts.splice(0) })
    }
    return crashes
  }

  return { cut, probed, tick }
}
