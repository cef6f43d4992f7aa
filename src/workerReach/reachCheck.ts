/**
 * A check whether an instance reaches any worker of a service. The load pattern is
 * a fleet in which all instances notice at the same time that the same workers have
 * ended: the check probes one other worker first, and more only if that one does
 * not answer at once, so that the workers in reach get few probes.
 */
import type { Random } from '../random.js'

/** A check that is under way or due; times in ms. */
export interface ReachCheck {
  readonly beginsAt: number
  /** When the first worker was probed; undefined before that. */
  begunAt: number | undefined
  readonly probed: Set<string>
}

/** What a check depends on. */
export interface ReachCheckInput {
  /** Ids of the live workers of the service. */
  readonly live: readonly string[]
  /** Whether connections to the worker fail. */
  readonly hasFailed: (worker: string) => boolean
  /** Number of live workers that have failed or are probed once the check has probed all that it wants. */
  readonly wanted: number
  readonly random: Random
}

/** Time for the first worker that is probed to answer, in ms. */
const firstProbeTimeout = 60
/** Shortest time between the beginnings of two checks, in ms. */
const checkInterval = 500
/** Time, in ms for each live instance, over which the checks of a fleet are spread. */
const spreadPerInstance = 8

/**
 * Returns `count` items drawn at random without repetition, or all if there are fewer.
 *
 * @param items - the items to draw from
 * @param count - number of items to draw
 * @param random - source of the choice
 */
export const drawSome = <Item>(items: readonly Item[], count: number, random: Random): readonly Item[] => {
  const rest = [...items]
  return Array.from({ length: Math.max(0, Math.min(count, rest.length)) }, () => rest.splice(random.below(rest.length), 1)[0])
}

/** Figures by which the beginning of a check is chosen; times in ms. */
export interface CheckTiming {
  /** When the last check began. */
  readonly lastBegunAt: number
  /** Whether other instances do not reach the same workers, so that it is likely that these have ended. */
  readonly isSeenByOthers: boolean
  /** Number of live instances. */
  readonly instances: number
}

/**
 * Creates a check that begins at once, unless the last one began just now or other instances have the same to check.
 *
 * @param timing - last check and size of the fleet
 * @param random - source of the spread
 * @param now - present time, in ms
 */
export const createReachCheck = ({ lastBegunAt, isSeenByOthers, instances }: CheckTiming, random: Random, now: number): ReachCheck => {
  const delay = isSeenByOthers ? random.unit() * spreadPerInstance * instances : 0
  return { beginsAt: Math.max(lastBegunAt + checkInterval, now + delay), begunAt: undefined, probed: new Set() }
}

/** Returns whether the check has been under way for so long that a new one may begin. */
export const isOverdue = ({ begunAt }: ReachCheck, now: number): boolean => begunAt !== undefined && now - begunAt >= checkInterval

/**
 * Returns the workers to probe now, and records them as probed.
 *
 * @param check - the check, which is changed
 * @param input - workers of the service
 * @param now - present time, in ms
 * @returns ids of workers, none before the check begins or while the first probe may still be answered
 */
export const takeProbes = (check: ReachCheck, { live, hasFailed, wanted, random }: ReachCheckInput, now: number): readonly string[] => {
  if (now < check.beginsAt) return []
  const isFirst = check.begunAt === undefined
  check.begunAt ??= now
  const isAnswerOpen = now - check.begunAt < firstProbeTimeout && ![...check.probed].some(hasFailed)
  if (!isFirst && isAnswerOpen) return []
  const candidates = live.filter(worker => !hasFailed(worker) && !check.probed.has(worker))
  const missing = wanted - (live.length - candidates.length)
  const drawn = drawSome(candidates, isFirst ? 1 : missing, random)
  for (const worker of drawn) check.probed.add(worker)
  return drawn
}
