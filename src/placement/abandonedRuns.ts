/**
 * Runs that a worker may still have although the connection of their request was
 * closed: the caller left, another attempt was faster, or the link broke. Most
 * workers drop such a run, some finish it, and a close may not reach a worker
 * whose link is cut. Its place therefore counts as taken until the worker's own
 * load shows that it is free, or for as long as a whole run takes.
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
}

/** Abandoned runs of one worker, by a key that names each, in the order in which their connections were closed. */
export type AbandonedRuns = Map<string, AbandonedRun>

/** Time within which a worker that drops a run has done so after its connection was closed, in ms. */
const dropTime = 20

/** Removes the runs that count as ended. */
const expire = (runs: AbandonedRuns, now: number): void => {
  for (const [key, { until }] of runs) if (until <= now) runs.delete(key)
}

/**
 * Adds a run.
 *
 * @param runs - the worker's runs
 * @param key - name of the run
 * @param run - the run
 * @param longest - time that a run takes at most, as far as it is known, in ms
 */
export const addAbandonedRun = (runs: AbandonedRuns, key: string, run: Omit<AbandonedRun, 'until'>, longest: number): void => {
  expire(runs, run.closedAt)
  runs.set(key, { ...run, until: Math.min(run.deadline, run.closedAt + longest) })
}

/** Number of places that runs take, as far as it is known at `now` (ms). */
export const countAbandoned = (runs: AbandonedRuns, now: number): number => {
  if (runs.size > 0) expire(runs, now)
  return runs.size
}

/** Memory that runs take, in tokens, as far as it is known at `now` (ms). */
export const abandonedMemory = (runs: AbandonedRuns, now: number): number => {
  if (countAbandoned(runs, now) === 0) return 0
  return [...runs.values()].reduce((sum, { memoryTokens }) => sum + memoryTokens, 0)
}

/** Number of runs whose connection was open at a time, in ms, or closed so shortly before that the worker had not dropped them. */
export const countOpenAt = (runs: AbandonedRuns, at: number): number =>
  [...runs.values()].filter(({ sentAt, closedAt }) => sentAt <= at && closedAt + dropTime > at).length

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
  const judged = [...runs].filter(([, { closedAt }]) => closedAt + dropTime <= at)
  const dropped = Math.max(0, judged.length - Math.max(0, unexplained))
  for (const [key] of judged.slice(0, dropped)) runs.delete(key)
  for (const [, run] of judged.slice(dropped)) run.until = Math.min(run.deadline, Math.max(run.until, at + longest))
  return dropped
}
