/** Figures of one run. */
import type { Outcome, RunResult, Workload } from './benchTypes.js'

/** The figures of one run, or means of several. */
export interface Figures {
  readonly hitRate: number
  /** Time to first token from the caller's arrival, in ms; a call without one counts with the time at which its caller gives up. */
  readonly ttftP50: number
  readonly ttftP95: number
  readonly ttftP99: number
  /** Tokens computed again, in thousands. */
  readonly recomputed: number
  /** Worth of calls answered within their target, as a part of all worth offered. */
  readonly worthServed: number
  /** Calls answered within their target of the attempt that was admitted, per second. */
  readonly goodput: number
  /** Part of the calls answered within their target. */
  readonly onTime: number
  /** 95th percentile of time to first token over target, from the attempt that was admitted. */
  readonly admittedP95: number
  /** Retries per first attempt. */
  readonly retries: number
  /** Jain's index over the workspaces' parts answered on time. */
  readonly fairness: number
  readonly refusedDeadline: number
  readonly refusedFairShare: number
  readonly refusedOther: number
  /** Around a disturbance: hit rate and 95th percentile before it, in its first second, and 3 to 8 s after it. */
  readonly hitBefore: number
  readonly hitFirstSecond: number
  readonly hitAfter: number
  readonly ttftBefore: number
  readonly ttftFirstSecond: number
  /** Part answered on time of all workspaces but the flooding one, before and after the disturbance. */
  readonly othersBefore: number
  readonly othersAfter: number
  readonly eventsDelivered: number
  readonly cacheIndexBytes: number
}

const giveUpFactor = 3

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const ratio = (value: number, total: number): number => total === 0 ? 0 : value / total

const quantile = (values: readonly number[], share: number): number => {
  if (values.length === 0) return 0
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.ceil(share * sorted.length) - 1] ?? sorted[0]
}

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

/** Works out the figures of a run. */
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

/** A mean with half the distance between the largest and the smallest value. */
export interface Spread {
  readonly mean: number
  readonly spread: number
}

/** The mean of one figure over seeds. */
export const spreadOf = (rows: readonly Figures[], figure: keyof Figures): Spread => {
  const values = rows.map(row => row[figure])
  return { mean: ratio(sum(values), values.length), spread: (Math.max(...values) - Math.min(...values)) / 2 }
}
