/**
 * Runs that a worker may still have although the connection of their request was
 * closed: the caller left, another attempt was faster, or the link broke. Most
 * workers drop such a run, some finish it, and a close may not reach a worker
 * whose link is cut. Its place therefore counts as taken until the worker's own
 * load shows that it is free, or for as long as a whole run takes; at a worker
 * that has been seen to drop its runs it is free at once.
 */

/** A run whose connection was closed; times in ms. */
export interface AbandonedRun {
  readonly sentAt: number
  readonly closedAt: number
  /** Memory that the run takes when it is done, in tokens. */
  readonly memoryTokens: number
  /** When the worker stops the run in any case, as its time limit has passed. */
  readonly deadline: number
  /** When the run counts as ended unless the worker shows that it is not. */
  until: number
  /** Whether it takes a place. */
  counted: boolean
  /** Whether a statement of the worker has shown if it goes on. */
  judged: boolean
}

/** The abandoned runs of one worker. */
export interface AbandonedRuns {
  /** By a key that names each, in the order in which their connections were closed. */
  readonly byKey: Map<string, AbandonedRun>
  /** Moving average of the share of runs that went on after their connection was closed. */
  goOnShare: number
}

/** Time within which a worker that drops a run has done so after its connection was closed, in ms. */
const dropTime = 20

/** Share of runs that go on below which a worker is taken to drop them. */
const droppingShare = 0.1
/** Weight of a run in the share that goes on. */
const smoothingFactor = 0.25

/** Creates the runs of a worker that has none, and of which nothing is known. */
export const createAbandonedRuns = (): AbandonedRuns => ({ byKey: new Map(), goOnShare: 1 })

/** Forgets the runs of a worker that has started anew, and what it did with them. */
export const resetAbandonedRuns = (runs: AbandonedRuns): void => {
  runs.byKey.clear()
  runs.goOnShare = 1
}

/** Removes the runs that count as ended. */
const expire = ({ byKey }: AbandonedRuns, now: number): void => {
  for (const [key, { until }] of byKey) if (until <= now) byKey.delete(key)
}

/**
 * Adds a run.
 *
 * @param runs - the worker's runs
 * @param key - name of the run
 * @param run - the run
 * @param longest - time that a run takes at most, as far as it is known, in ms
 */
export const addAbandonedRun = (runs: AbandonedRuns, key: string, run: Omit<AbandonedRun, 'until' | 'counted' | 'judged'>, longest: number): void => {
  expire(runs, run.closedAt)
  const counted = runs.goOnShare >= droppingShare
  runs.byKey.set(key, { ...run, until: Math.min(run.deadline, run.closedAt + longest), counted, judged: false })
}

const countedRuns = (runs: AbandonedRuns, now: number): readonly AbandonedRun[] => {
  if (runs.byKey.size === 0) return []
  expire(runs, now)
  return [...runs.byKey.values()].filter(({ counted }) => counted)
}

/** Number of places that runs take, as far as it is known at `now` (ms). */
export const countAbandoned = (runs: AbandonedRuns, now: number): number => {
  return countedRuns(runs, now).length
}

/** Memory that runs take, in tokens, as far as it is known at `now` (ms). */
export const abandonedMemory = (runs: AbandonedRuns, now: number): number => {
  return countedRuns(runs, now).reduce((sum, { memoryTokens }) => sum + memoryTokens, 0)
}

/** Number of runs whose connection was open at a time, in ms, or closed so shortly before that the worker had not dropped them. */
export const countOpenAt = ({ byKey }: AbandonedRuns, at: number): number =>
  [...byKey.values()].filter(({ sentAt, closedAt }) => sentAt <= at && closedAt + dropTime > at).length

const noteJudged = (runs: AbandonedRuns, run: AbandonedRun, goesOn: boolean): void => {
  if (run.judged) return
  run.judged = true
  runs.goOnShare += smoothingFactor * (Number(goesOn) - runs.goOnShare)
}

/** What a worker has stated of its load; times in ms. */
export interface StatedRequests {
  readonly at: number
  /** Requests that it has, beyond those that are known to be there. */
  readonly unexplained: number
}

/**
 * Removes the runs that the worker has dropped, by what it states of its load, the
 * oldest ones first; those that it still has are kept for one more run.
 *
 * @param runs - the worker's runs
 * @param stated - the worker's statement
 * @param longest - time that a run takes at most, as far as it is known, in ms
 * @returns the number of runs that were removed
 */
export const applyStatedRequests = (runs: AbandonedRuns, { at, unexplained }: StatedRequests, longest: number): number => {
  const judged = [...runs.byKey].filter(([, { closedAt }]) => closedAt + dropTime <= at)
  const dropped = Math.max(0, judged.length - Math.max(0, unexplained))
  for (const [key, run] of judged.slice(0, dropped)) {
    noteJudged(runs, run, false)
    runs.byKey.delete(key)
  }
  for (const [, run] of judged.slice(dropped)) {
    noteJudged(runs, run, true)
    run.counted = true
    run.until = Math.min(run.deadline, Math.max(run.until, at + longest))
  }
  return dropped
}
