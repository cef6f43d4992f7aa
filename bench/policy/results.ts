/** All figures of a bench, looked up by deployment, workload and policy. */
import type { Deployment } from './benchTypes.js'
import type { Figures, Spread } from './metrics.js'
import { spreadOf } from './metrics.js'

/** The figures of one run, with what was run. */
export interface Row {
  readonly deployment: Deployment['name']
  readonly workload: string
  readonly policy: string
  readonly seed: number
  readonly figures: Figures
}

/** All rows of a bench. */
export interface Results {
  readonly rows: readonly Row[]
  readonly workloads: (deployment: string) => readonly string[]
  readonly policies: readonly string[]
  readonly figures: (deployment: string, workload: string, policy: string) => readonly Figures[]
  readonly mean: (deployment: string, workload: string, policy: string, figure: keyof Figures) => number
  readonly spread: (deployment: string, workload: string, policy: string, figure: keyof Figures) => Spread
}

/** Names of the policies that are compared with. */
export const baselineNames = ['random', 'roundRobin', 'leastLoaded', 'consistentHash', 'boundedHash', 'preciseIndex'] as const
/** The project's own policy. */
export const ownPolicyName = 'wasabireel'
/** The chooser with exact knowledge. */
export const oraclePolicyName = 'allKnowing'

/** Indexes rows. */
export const createResults = (rows: readonly Row[]): Results => {
  const index = new Map<string, Figures[]>()
  for (const row of [...rows].sort((left, right) => left.seed - right.seed)) {
    const key = `${row.deployment}/${row.workload}/${row.policy}`
    const rowFigures = index.get(key) ?? []
    index.set(key, rowFigures)
    rowFigures.push(row.figures)
  }
  const figures: Results['figures'] = (deployment, workload, policy) => index.get(`${deployment}/${workload}/${policy}`) ?? []
  const spread: Results['spread'] = (deployment, workload, policy, figure) => spreadOf(figures(deployment, workload, policy), figure)
  return {
    rows,
    workloads: deployment => [...new Set(rows.filter(row => row.deployment === deployment).map(row => row.workload))],
    policies: [...new Set(rows.map(row => row.policy))],
    figures,
    spread,
    mean: (...where) => spread(...where).mean
  }
}
