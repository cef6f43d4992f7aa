/**
 * Seeded random numbers. Decisions take a `Random`, never the platform's own
 * generator, so that a run can be replayed from its seed.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A stream of random numbers. */
export interface Random {
  /** An integer from 0 to `bound - 1`. */
  readonly below: (bound: number) => number
  /** A number from 0 up to but excluding 1. */
  readonly unit: () => number
}

const unitSteps = 2 ** 30

/**
 * Creates a stream from a seed.
 *
 * @param seed - any 32-bit integer
 * @returns a stream that is equal for equal seeds
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed)
  const below = (bound: number): number => uniformInt(generator, 0, bound - 1)
  return { below, unit: () => below(unitSteps) / unitSteps }
}
