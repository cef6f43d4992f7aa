/** The two deployments: fleets of heterogeneous workers and the traffic shapes of their workspaces. */
import { latencyObjective, worthObjective } from '../../src/routing/routingTypes.js'
import type { Deployment, WorkerProfile, WorkspaceShape } from './benchTypes.js'

const createProfile = (prefillRate: number, tokenTime: number, slots: number, cacheTokens: number): WorkerProfile =>
  ({ prefillRate, tokenTime, slots, cacheTokens })

/** Fraction of the requests by workspace. */
const shares = [0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03]

const createWorkspaces = (prefix: string, [guidanceTokens, branchTokens, itemTokens]: readonly [number, number, number]): WorkspaceShape[] =>
  shares.map((share, index) => ({
    name: `${prefix}${index}`,
    share,
    branches: Math.max(4, Math.round(share * 200)),
    items: Math.max(40, Math.round(share * 3000)),
    guidanceTokens,
    branchTokens,
    itemTokens
  }))

/** Six workers; policies are ranked by the 99th percentile of the time to first token. */
export const harrowgate: Deployment = {
  name: 'harrowgate',
  dataCentres: ['nm-derby', 'nm-leicester', 'nm-nottingham'],
  workers: [createProfile(12, 14, 32, 120_000), createProfile(8, 18, 24, 100_000), createProfile(8, 20, 24, 100_000), createProfile(5, 26, 16, 80_000), createProfile(3, 36, 12, 60_000), createProfile(2, 45, 8, 50_000)],
  entries: 7,
  entriesPerWorkspace: 3,
  workspaces: createWorkspaces('agency', [2000, 1000, 800]),
  utilisation: 0.75,
  objective: latencyObjective,
  worthExponent: 0,
  primaryMetric: 'ttftP99'
}

/** Thirteen workers; policies are ranked by worth served, then by recomputed tokens. */
export const wspolnyTor: Deployment = {
  name: 'wspolnyTor',
  dataCentres: ['waw-a', 'waw-b', 'waw-c'],
  workers: [
    createProfile(9, 18, 24, 90_000), createProfile(9, 18, 24, 90_000), createProfile(7, 20, 20, 80_000), createProfile(7, 20, 20, 80_000), createProfile(6, 24, 16, 70_000),
    createProfile(5, 24, 16, 70_000), createProfile(5, 28, 16, 60_000), createProfile(4, 28, 12, 60_000), createProfile(4, 32, 12, 50_000), createProfile(3, 36, 8, 50_000),
    createProfile(3, 36, 8, 40_000), createProfile(2, 45, 8, 40_000), createProfile(2, 45, 6, 40_000)
  ],
  entries: 7,
  entriesPerWorkspace: 3,
  workspaces: createWorkspaces('member', [1500, 700, 1200]),
  utilisation: 0.55,
  objective: worthObjective,
  worthExponent: 1,
  primaryMetric: 'worthServed'
}

/** Mean tokens of an answer over the mix of calls. */
const meanCompletion = 70
/** Prompt cache hit rate that capacity assumes. */
const hitRateAtCapacity = 0.65

/** Computes the requests per second that count as the fleet's capacity, for prompts with a question of 60 tokens, 1.8 times the token time of an empty batch, and the assumed cache hit rate. */
export const capacityOf = ({ workers, utilisation, workspaces: [shape] }: Deployment): number => {
  const prompt = shape.guidanceTokens + shape.branchTokens + shape.itemTokens + 60
  return workers.reduce((sum, worker) => {
    const decode = worker.slots / (meanCompletion * worker.tokenTime * 1.8)
    const prefill = worker.prefillRate / (prompt * (1 - hitRateAtCapacity))
    return sum + 1000 * utilisation * Math.min(decode, prefill)
  }, 0)
}
