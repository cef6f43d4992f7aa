/** Computes the figures of a run from the outcomes of its calls. */
import type { Outcome, RunResult, Workload } from './benchTypes.js'

/** The figures of one run. */
export interface Figures {
  /** Fraction of the prompt tokens of finished calls that were cached. */
  readonly hitRate: number
  /** Time to first token from the caller's first arrival, in ms; a call without one counts with the time at which its caller gives up. */
  readonly ttftP50: number
  readonly ttftP95: number
  readonly ttftP99: number
  /** Recomputed prompt tokens, in thousands. */
  readonly recomputed: number
  /** Worth of calls answered within their target, as a fraction of all worth offered. */
  readonly worthServed: number
  /** Calls per second whose first token came within the target, measured from the arrival that was admitted. */
  readonly goodput: number
  /** Fraction of the calls answered within their target. */
  readonly onTime: number
  /** 95th percentile of the ratio of time to first token to target, measured from the arrival that was admitted. */
  readonly admittedP95: number
  /** Retries per first attempt. */
  readonly retries: number
  /** Jain's fairness index over the fractions of calls answered on time by workspace. */
  readonly fairness: number
  readonly refusedDeadline: number
  readonly refusedFairShare: number
  readonly refusedOther: number
  /** Hit rate and 95th percentile of time to first token around a disturbance: in the 10 s before it, in its first second, and 3 to 8 s after it (hit rate only). */
  readonly hitBefore: number
  readonly hitFirstSecond: number
  readonly hitAfter: number
  readonly ttftBefore: number
  readonly ttftFirstSecond: number
  /** Fraction of calls answered on time of all workspaces but the flooding one, before and after the disturbance. */
  readonly othersBefore: number
  readonly othersAfter: number
  /** Number of cache events sent to entry instances. */
  readonly eventsDelivered: number
  /** Mean memory of the cache index per entry instance at the end, in bytes. */
  readonly cacheIndexBytes: number
}

/** Factor on a call's target after which its caller gives up, as in the driver. */
const giveUpFactor = 3

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const ratio = (value: number, total: number): number => total === 0 ? 0 : value / total

const quantile = (values: readonly number[], share: number): number => {
  if (values.length === 0) return 0
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.ceil(share * sorted.length) - 1] ?? sorted[0]
}

/** Time to first token, at most the time at which the caller gives up, in ms. */
const countedTtft = ({ ttft, call }: Outcome): number => Math.min(ttft ?? Infinity, giveUpFactor * call.target)

const answeredInTime = (outcome: Outcome): boolean => outcome.finished && outcome.ttft !== undefined && outcome.ttft <= outcome.call.target

const admittedInTime = ({ finished, admittedTtft, call }: Outcome): boolean =>
  finished && admittedTtft !== undefined && admittedTtft <= call.target

const hitRate = (outcomes: readonly Outcome[]): number => {
  const finished = outcomes.filter(outcome => outcome.finished)
  return ratio(sum(finished.map(outcome => outcome.cachedTokens)), sum(finished.map(outcome => outcome.promptTokens)))
}

const onTimeShare = (outcomes: readonly Outcome[]): number => ratio(outcomes.filter(answeredInTime).length, outcomes.length)

const jainIndex = (values: readonly number[]): number => {
  const squares = sum(values.map(value => value * value))
  return squares === 0 ? 1 : sum(values) ** 2 / (values.length * squares)
}

const groupByWorkspace = (outcomes: readonly Outcome[]): readonly (readonly Outcome[])[] => {
  const groups = new Map<string, Outcome[]>()
  for (const outcome of outcomes) {
    const group = groups.get(outcome.call.workspace) ?? []
    groups.set(outcome.call.workspace, group)
    group.push(outcome)
  }
  return [...groups.values()]
}

const arrivedBetween = (outcomes: readonly Outcome[], from: number, to: number): readonly Outcome[] =>
  outcomes.filter(({ call }) => call.at >= from && call.at < to)

const disturbanceFigures = (outcomes: readonly Outcome[], workload: Workload): Pick<Figures, 'hitBefore' | 'hitFirstSecond' | 'hitAfter' | 'ttftBefore' | 'ttftFirstSecond' | 'othersBefore' | 'othersAfter'> => {
  const at = workload.disturbedAt ?? workload.duration
  const before = arrivedBetween(outcomes, at - 10_000, at)
  const first = arrivedBetween(outcomes, at, at + 1000)
  const others = outcomes.filter(({ call }) => call.workspace !== workload.flooder)
  return {
    hitBefore: hitRate(before),
    hitFirstSecond: hitRate(first),
    hitAfter: hitRate(arrivedBetween(outcomes, at + 3000, at + 8000)),
    ttftBefore: quantile(before.map(countedTtft), 0.95),
    ttftFirstSecond: quantile(first.map(countedTtft), 0.95),
    othersBefore: onTimeShare(arrivedBetween(others, workload.measureFrom, at)),
    othersAfter: onTimeShare(arrivedBetween(others, at, workload.duration))
  }
}

/** Computes the figures of a run over the calls from `measureFrom` on. */
export const figuresOf = (run: RunResult, workload: Workload): Figures => {
  const outcomes = run.outcomes.filter(({ call }) => call.at >= workload.measureFrom)
  const times = outcomes.map(countedTtft)
  const inTime = outcomes.filter(answeredInTime)
  const refusals = outcomes.flatMap(outcome => outcome.refusals)
  const countRefusals = (reason: string): number => refusals.filter(refusal => refusal === reason).length
  const admitted = outcomes.filter(outcome => outcome.firstAttempts > 0)
  return {
    hitRate: hitRate(outcomes),
    ttftP50: quantile(times, 0.5),
    ttftP95: quantile(times, 0.95),
    ttftP99: quantile(times, 0.99),
    recomputed: sum(outcomes.map(outcome => outcome.recomputedTokens)) / 1000,
    worthServed: ratio(sum(inTime.map(({ call }) => call.worth)), sum(outcomes.map(({ call }) => call.worth))),
    goodput: outcomes.filter(admittedInTime).length / (workload.duration - workload.measureFrom) * 1000,
    onTime: ratio(inTime.length, outcomes.length),
    admittedP95: quantile(admitted.map(({ admittedTtft, call }) => Math.min(giveUpFactor, (admittedTtft ?? Infinity) / call.target)), 0.95),
    retries: ratio(sum(outcomes.map(outcome => outcome.retries)), sum(outcomes.map(outcome => outcome.firstAttempts))),
    fairness: jainIndex(groupByWorkspace(outcomes).map(onTimeShare)),
    refusedDeadline: countRefusals('deadline'),
    refusedFairShare: countRefusals('fairShare'),
    refusedOther: refusals.length - countRefusals('deadline') - countRefusals('fairShare'),
    ...disturbanceFigures(outcomes, workload),
    eventsDelivered: run.eventsDelivered,
    cacheIndexBytes: run.cacheIndexBytes
  }
}

/** A mean, with half the difference between the largest and the smallest value as the spread. */
export interface Spread {
  readonly mean: number
  readonly spread: number
}

/** Computes the mean and the spread of one figure over seeds. */
export const spreadOf = (rows: readonly Figures[], figure: keyof Figures): Spread => {
  const values = rows.map(row => row[figure])
  return { mean: ratio(sum(values), values.length), spread: (Math.max(...values) - Math.min(...values)) / 2 }
}
