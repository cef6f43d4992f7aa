/** Lookup of the figures of a bench by deployment, workload and policy. */
import type { Deployment } from './benchTypes.js'
import type { Figures, Spread } from './metrics.js'
import { spreadOf } from './metrics.js'

/** The figures of one run, with its deployment, workload, policy and seed. */
export interface Row {
  readonly deployment: Deployment['name']
  readonly workload: string
  readonly policy: string
  readonly seed: number
  readonly figures: Figures
}

/** All rows of a bench and lookups over them. */
export interface Results {
  readonly rows: readonly Row[]
  readonly workloads: (deployment: string) => readonly string[]
  readonly policies: readonly string[]
  /** Returns the figures of each seed, in the order of the seeds. */
  readonly figures: (deployment: string, workload: string, policy: string) => readonly Figures[]
  readonly mean: (deployment: string, workload: string, policy: string, figure: keyof Figures) => number
  readonly spread: (deployment: string, workload: string, policy: string, figure: keyof Figures) => Spread
}

/** Names of the baseline policies. */
export const baselineNames = ['random', 'roundRobin', 'leastLoaded', 'consistentHash', 'boundedHash', 'preciseIndex'] as const
/** Name of the project's own policy. */
export const ownPolicyName = 'wasabireel'
/** Name of the oracle policy, which decides with exact cache contents and queues. */
export const oraclePolicyName = 'allKnowing'

/** Creates the lookups over rows. */
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
