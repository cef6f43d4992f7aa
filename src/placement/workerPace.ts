/**
 * The pace of a worker's machine, as the fourth load figure of its responses
 * states it: how long work takes there at this moment, where 100 is as usual. The
 * figure is made for workers that share their machines and slow down for moments.
 * It changes many times a second and is stated by requests that happened to end,
 * so it is smoothed, and it ages back to the usual pace when nothing is heard.
 */

/** The smoothed figure of one worker. */
export interface WorkerPace {
  /** Time that work takes, in multiples of the usual time. */
  readonly factor: number
  /** When the worker stated it last, in ms. */
  readonly at: number
}

/** The figure of a machine that is as fast as usual. */
const usualFigure = 100
/** Bounds of the figure; what is stated beyond them counts as the bound, so that one statement neither attracts all requests nor shuts a worker out. */
const minFigure = 10
const maxFigure = 1_000
/** Time, in ms, after which an earlier statement has lost most (63%) of its weight to a new one. */
const smoothingTime = 200
/** Least weight of a new statement, so that several within one moment count, too. */
const minWeight = 0.15
/** Age, in ms, up to which a statement counts in full. */
const freshTime = 300
/** Half-life, in ms, of the deviation from the usual pace beyond that age: an eighth is left after 1.5 s. */
const ageingHalfLife = 400

/**
 * Returns a worker's present pace.
 *
 * @param pace - what the worker stated; undefined if nothing
 * @param now - present time, in ms
 * @returns time that work takes, in multiples of the usual time; 1 if nothing was stated lately
 */
export const paceAt = (pace: WorkerPace | undefined, now: number): number => {
  if (pace === undefined) return 1
  const age = Math.max(0, now - pace.at - freshTime)
  return 1 + (pace.factor - 1) * 0.5 ** (age / ageingHalfLife)
}

/**
 * Adds a statement to a worker's pace.
 *
 * @param pace - the pace so far; undefined if nothing was stated before
 * @param figure - the stated figure, 100 is as usual; one that is not above 0 is ignored
 * @param now - time of the statement, in ms
 */
export const addPaceFigure = (pace: WorkerPace | undefined, figure: number, now: number): WorkerPace | undefined => {
  if (!(figure > 0) || (pace !== undefined && now < pace.at)) return pace
  const stated = Math.max(minFigure, Math.min(maxFigure, figure)) / usualFigure
  if (pace === undefined) return { factor: stated, at: now }
  const before = paceAt(pace, now)
  const weight = Math.max(minWeight, 1 - Math.exp((pace.at - now) / smoothingTime))
  return { factor: before + weight * (stated - before), at: now }
}
