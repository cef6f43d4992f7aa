/**
 * Seeded random numbers. Decisions use a `Random` instead of `Math.random`, so
 * that a run can be replayed from its seed.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A sequence of random numbers. */
export interface Random {
  /** Returns an integer from 0 to `bound - 1`, uniformly distributed. */
  readonly below: (bound: number) => number
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly unit: () => number
}

/** Number of distinct values of `unit`. */
const unitSteps = 2 ** 30

/**
 * Creates a random sequence from a seed.
 *
 * @param seed - any 32-bit integer
 * @returns a sequence that is the same for the same seed
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(seed)
  const below = (bound: number): number => uniformInt(generator, 0, bound - 1)
  return { below, unit: () => below(unitSteps) / unitSteps }
}
