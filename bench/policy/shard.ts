/** Runs a list of bench cases in this process. */
import { loadHash } from '../../src/hash.js'
import { baselines } from './baselines.js'
import type { Deployment } from './benchTypes.js'
import { harrowgate, wspolnyTor } from './deployments.js'
import { runWorkload } from './driver.js'
import { figuresOf } from './metrics.js'
import type { Row } from './results.js'
import { oracle, variants, wasabireel } from './wasabireel.js'
import { createWorkload } from './workloads.js'

/** A workload of a deployment with a seed, to be run with every policy. */
export interface BenchCase {
  readonly deployment: Deployment['name']
  readonly workload: string
  readonly seed: number
}

const deployments = { harrowgate, wspolnyTor }
/** Workloads that also run the ablation variants; the others run only the main policies. */
const ablationWorkloads = ['nested', 'lostEvents', 'load90', 'load200']

/** Runs each case with its policies and returns one row for each run. */
export const runShard = async (cases: readonly BenchCase[]): Promise<Row[]> => {
  const hash = await loadHash()
  return cases.flatMap(({ deployment: name, workload: workloadName, seed }) => {
    const deployment = deployments[name]
    const workload = createWorkload(workloadName, deployment, seed)
    const policies = [...baselines, ...ablationWorkloads.includes(workloadName) ? variants : [], wasabireel, oracle]
    return policies.map(policy => {
      const run = runWorkload(hash, deployment, workload, policy, seed)
      return { deployment: name, workload: workloadName, policy: policy.name, seed, figures: figuresOf(run, workload) }
    })
  })
}
