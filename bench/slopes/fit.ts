/** Straight lines through measured points. */

/** One measured point. */
export interface Point {
  readonly at: number
  readonly value: number
}

/** A line by least squares. */
export interface Line {
  readonly slope: number
  readonly intercept: number
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)

/**
 * Fits a line.
 *
 * @param points - at two places or more; one place gives a level line
 */
export const fit = (points: readonly Point[]): Line => {
  const x = mean(points.map(({ at }) => at))
  const y = mean(points.map(({ value }) => value))
  const variance = points.reduce((sum, { at }) => sum + (at - x) ** 2, 0)
  const covariance = points.reduce((sum, { at, value }) => sum + (at - x) * (value - y), 0)
  const slope = variance === 0 ? 0 : covariance / variance
  return { slope, intercept: y - slope * x }
}

/** The line's value at a place. */
export const valueAt = ({ slope, intercept }: Line, at: number): number => intercept + slope * at
