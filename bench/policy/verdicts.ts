/** Checks the results against the bounds that the users require; each is met or missed (`RED`), as measured. */
import type { Deployment } from './benchTypes.js'
import type { Figures } from './metrics.js'
import type { Results } from './results.js'
import { baselineNames, oraclePolicyName, ownPolicyName } from './results.js'

/** One bound with the measured value. */
export interface Verdict {
  readonly deployment: string
  readonly bound: string
  readonly measured: string
  readonly met: boolean
}

/** Differences below this fraction of the compared value count as noise. */
const noiseFloor = 0.02

const fixed = (value: number, digits = 3): string => value.toFixed(digits)

/** Compares one figure of the wasabireel policy with another policy's over seeds: mean ratio, above 1 if the wasabireel policy is worse, and the part of it that noise explains (two standard errors, at least `noiseFloor`). */
const compare = (own: readonly Figures[], other: readonly Figures[], figure: keyof Figures, lowerIsBetter: boolean): { worse: number, noise: number } => {
  const ratios = own.map((row, seed) => {
    const [ownValue, otherValue] = [Math.max(1e-9, row[figure]), Math.max(1e-9, other[seed]?.[figure] ?? 0)]
    return lowerIsBetter ? ownValue / otherValue : otherValue / ownValue
  })
  const mean = ratios.reduce((sum, ratio) => sum + ratio, 0) / Math.max(1, ratios.length)
  const variance = ratios.reduce((sum, ratio) => sum + (ratio - mean) ** 2, 0) / Math.max(1, ratios.length - 1)
  return { worse: mean, noise: Math.max(noiseFloor, 2 * Math.sqrt(variance / Math.max(1, ratios.length))) }
}

/** For each workload: no baseline is better on the primary metric by more than noise. */
const noBaselineBetter = (results: Results, deployment: Deployment): Verdict[] => results.workloads(deployment.name).map(workload => {
  const lowerIsBetter = deployment.primaryMetric === 'ttftP99'
  const own = results.figures(deployment.name, workload, ownPolicyName)
  const compared = baselineNames.map(name => ({ name, ...compare(own, results.figures(deployment.name, workload, name), deployment.primaryMetric, lowerIsBetter) }))
  const worst = compared.reduce((left, right) => right.worse - right.noise > left.worse - left.noise ? right : left)
  return {
    deployment: deployment.name,
    bound: `${workload}: no baseline better on ${deployment.primaryMetric}`,
    measured: `closest ${worst.name}, own/its ${fixed(worst.worse)} ± ${fixed(worst.noise)} (1 is equal, above is worse)`,
    met: worst.worse <= 1 + worst.noise
  }
})

/** Over all workloads: the geometric mean of a figure is better than the best baseline's. */
const overall = (results: Results, deployment: Deployment, figure: keyof Figures, lowerIsBetter: boolean): Verdict => {
  const workloads = results.workloads(deployment.name)
  const combined = (policy: string): number =>
    Math.exp(workloads.reduce((sum, workload) => sum + Math.log(Math.max(1e-9, results.mean(deployment.name, workload, policy, figure))), 0) / workloads.length)
  const others = baselineNames.map(name => ({ name, value: combined(name) }))
  const best = others.reduce((left, right) => (lowerIsBetter ? right.value < left.value : right.value > left.value) ? right : left)
  const own = combined(ownPolicyName)
  return {
    deployment: deployment.name,
    bound: `all workloads: better ${figure} than the best baseline`,
    measured: `own ${fixed(own)}, ${best.name} ${fixed(best.value)} (geometric mean)`,
    met: lowerIsBetter ? own < best.value : own > best.value
  }
}

/** For each workload: the hit rate is at least 0.9 of the oracle policy's. */
const hitRateNearOracle = (results: Results, deployment: Deployment): Verdict[] => results.workloads(deployment.name).map(workload => {
  const own = results.mean(deployment.name, workload, ownPolicyName, 'hitRate')
  const best = results.mean(deployment.name, workload, oraclePolicyName, 'hitRate')
  return {
    deployment: deployment.name,
    bound: `${workload}: hit rate at least 0.9 of all-knowing`,
    measured: `${fixed(own)} of ${fixed(best)}: ${fixed(own / best)}`,
    met: own >= 0.9 * best
  }
})

/** After a restart of all entry instances and after a shift of the hot prompts: hit rate and latency stay within 10 %. */
const recovery = (results: Results, { name }: Deployment): Verdict[] => {
  const mean = (workload: string, figure: keyof Figures): number => results.mean(name, workload, ownPolicyName, figure)
  const hitRatio = mean('herdRestart', 'hitFirstSecond') / mean('herdRestart', 'hitBefore')
  const tailRatio = mean('herdRestart', 'ttftFirstSecond') / mean('herdRestart', 'ttftBefore')
  const hitRatioToNested = mean('herdRestart', 'hitFirstSecond') / mean('nested', 'hitFirstSecond')
  const tailRatioToNested = mean('herdRestart', 'ttftFirstSecond') / mean('nested', 'ttftFirstSecond')
  const shiftRatio = mean('hotShift', 'hitAfter') / mean('hotShift', 'hitBefore')
  return [
    { deployment: name, bound: 'herdRestart: first second\'s hit rate within 10% of before', measured: fixed(hitRatio), met: hitRatio >= 0.9 },
    { deployment: name, bound: 'herdRestart: first second\'s p95 within 10% of before', measured: fixed(tailRatio), met: tailRatio <= 1.1 },
    { deployment: name, bound: 'herdRestart: first second\'s hit rate within 10% of the same second without it', measured: fixed(hitRatioToNested), met: hitRatioToNested >= 0.9 },
    { deployment: name, bound: 'herdRestart: first second\'s p95 within 10% of the same second without it', measured: fixed(tailRatioToNested), met: tailRatioToNested <= 1.1 },
    { deployment: name, bound: 'hotShift: hit rate 3 to 8 s later within 10% of before', measured: fixed(shiftRatio), met: shiftRatio >= 0.9 }
  ]
}

/** Under overload, worker crashes and a flooding workspace: goodput, latency of admitted calls, retries and the other workspaces' calls answered on time stay within their bounds. */
const overload = (results: Results, { name }: Deployment): Verdict[] => {
  const mean = (workload: string, figure: keyof Figures): number => results.mean(name, workload, ownPolicyName, figure)
  const goodputRatio = mean('load200', 'goodput') / mean('load100', 'goodput')
  const others = mean('flooding', 'othersAfter') / mean('flooding', 'othersBefore')
  return [
    { deployment: name, bound: 'load200: goodput at least 0.9 of load100', measured: fixed(goodputRatio), met: goodputRatio >= 0.9 },
    { deployment: name, bound: 'load200: p95 of what is admitted within its target', measured: `${fixed(mean('load200', 'admittedP95'))} of target`, met: mean('load200', 'admittedP95') <= 1 },
    { deployment: name, bound: 'load200: retries at most 0.1 of first attempts', measured: fixed(mean('load200', 'retries')), met: mean('load200', 'retries') <= 0.1 },
    { deployment: name, bound: 'engineCrash: retries at most 0.1 of first attempts', measured: fixed(mean('engineCrash', 'retries')), met: mean('engineCrash', 'retries') <= 0.1 },
    { deployment: name, bound: 'flooding: others answered on time as before (0.98)', measured: fixed(others), met: others >= 0.98 }
  ]
}

/** With lost or fewer cache events: the wasabireel policy and its variants are no worse than stateless routing by more than noise. */
const degradation = (results: Results, deployment: Deployment): Verdict[] => ['answersOnly', 'levelEvents', ownPolicyName].map(policy => {
  const workload = policy === ownPolicyName ? 'lostEvents' : 'nested'
  const lowerIsBetter = deployment.primaryMetric === 'ttftP99'
  const { worse, noise } = compare(results.figures(deployment.name, workload, policy), results.figures(deployment.name, workload, 'stateless'), deployment.primaryMetric, lowerIsBetter)
  return {
    deployment: deployment.name,
    bound: `${workload}: ${policy} not below stateless on ${deployment.primaryMetric}`,
    measured: `own/stateless ${fixed(worse)} ± ${fixed(noise)} (above 1 is worse)`,
    met: worse <= 1 + noise
  }
})

/** Checks all bounds of a deployment. */
export const verdictsOf = (results: Results, deployment: Deployment): readonly Verdict[] => [
  ...noBaselineBetter(results, deployment),
  ...deployment.primaryMetric === 'ttftP99'
    ? [overall(results, deployment, 'ttftP99', true)]
    : [overall(results, deployment, 'worthServed', false), overall(results, deployment, 'recomputed', true)],
  ...hitRateNearOracle(results, deployment),
  ...recovery(results, deployment),
  ...overload(results, deployment),
  ...degradation(results, deployment)
]
