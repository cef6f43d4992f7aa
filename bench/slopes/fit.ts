/** Linear regression through measured points. */

/** A measurement: `value` measured at size `at`. */
export interface Point {
  readonly at: number
  readonly value: number
}

/** A straight line. */
export interface Line {
  readonly slope: number
  readonly intercept: number
}

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)

/**
 * Fits a line by least squares.
 *
 * @param points - measurements; if all are at the same size, the line is horizontal
 * @returns the line
 */
export const fit = (points: readonly Point[]): Line => {
  const meanX = mean(points.map(({ at }) => at))
  const meanY = mean(points.map(({ value }) => value))
  const variance = points.reduce((sum, { at }) => sum + (at - meanX) ** 2, 0)
  const covariance = points.reduce((sum, { at, value }) => sum + (at - meanX) * (value - meanY), 0)
  const slope = variance === 0 ? 0 : covariance / variance
  return { slope, intercept: meanY - slope * meanX }
}

/** Returns the value of a line at a size. */
export const valueAt = ({ slope, intercept }: Line, at: number): number => intercept + slope * at
