/** Creates seeded workloads: nested prompts with a Zipf distribution over branches and items, and the incidents during the run. */
import type { Random } from '../../src/random.js'
import { createRandom } from '../../src/random.js'
import type { Call, Deployment, Incident, Workload, WorkspaceShape } from './benchTypes.js'
import { capacityOf } from './deployments.js'

/** Offered load at a time, as a fraction of capacity. */
type LoadCurve = (at: number) => number

/** Load, incidents and distributions from which a workload is built; times are in ms. */
interface WorkloadShape {
  readonly load: LoadCurve
  readonly duration?: number
  readonly incidents?: readonly Incident[]
  readonly disturbedAt?: number
  /** Returns the name of the prompt texts in use at a time; a different name gives different texts. */
  readonly generation?: (at: number, workspace: string) => string
  readonly flooder?: { readonly workspace: string, readonly load: LoadCurve }
  readonly entrySizes?: readonly number[]
  readonly eventFaults?: Workload['eventFaults']
  /** Returns the factor on a workspace's share of the load at a time, by index of the workspace. */
  readonly weight?: (index: number, at: number) => number
}

const bytesPerToken = 4
/** Tokens of the last prompt level, which is unique to each call. */
const questionTokens = 60
/** Duration of a workload in ms, unless its shape gives another. */
const duration = 40_000
/** Start of the measurement, in ms. */
const measureFrom = 12_000
/** Exponent of the Zipf distribution of branches and items. */
const zipfExponent = 1.1

/** Prompt texts by name and size, so that equal texts are built once. */
const texts = new Map<string, string>()

const textOf = (name: string, tokens: number): string => {
  const key = `${name}|${tokens}`
  const cached = texts.get(key)
  if (cached !== undefined) return cached
  const text = `${name} `.padEnd(tokens * bytesPerToken, `${name}.`)
  texts.set(key, text)
  return text
}

/** Draws an index below `count` from an approximate Zipf distribution. */
const drawZipfIndex = (random: Random, count: number): number => {
  const range = 1 - (count + 1) ** (1 - zipfExponent)
  const drawn = (1 - random.unit() * range) ** (1 / (1 - zipfExponent)) - 1
  return Math.min(count - 1, Math.floor(drawn))
}

/** Minimum load, as a fraction of capacity, from which the rate of arrivals is computed; avoids a division by zero. */
const minLoad = 1e-9

/** Kinds of calls by deployment; `share` is the fraction of calls, `target` is in ms. */
const callKinds = {
  harrowgate: [
    { share: 0.5, completionTokens: 12, worth: 1, priority: 0, target: 1700 },
    { share: 0.35, completionTokens: 150, worth: 1, priority: 0, target: 1700 },
    { share: 0.15, completionTokens: 60, worth: 3, priority: 1, target: 1700 }
  ],
  wspolnyTor: [
    { share: 0.35, completionTokens: 40, worth: 5, priority: 1, target: 1700 },
    { share: 0.4, completionTokens: 25, worth: 2, priority: 0, target: 1700 },
    { share: 0.25, completionTokens: 190, worth: 1, priority: 0, target: 3000 }
  ]
} as const

const pickCallKind = (deployment: Deployment, random: Random): Omit<Call, 'at' | 'workspace' | 'texts'> => {
  let drawn = random.unit()
  for (const { share, ...kind } of callKinds[deployment.name]) {
    if (drawn < share) return kind
    drawn -= share
  }
  const { share: _, ...last } = callKinds[deployment.name][0]
  return last
}

const createPrompt = (shape: WorkspaceShape, generation: string, random: Random, serial: number): string[] => {
  const branch = drawZipfIndex(random, shape.branches)
  const item = drawZipfIndex(random, shape.items)
  return [
    textOf(`${shape.name} guidance ${generation}`, shape.guidanceTokens),
    textOf(`${shape.name} branch ${branch} ${generation}`, shape.branchTokens),
    textOf(`${shape.name} item ${branch}.${item}`, shape.itemTokens),
    `question ${serial} `.padEnd(questionTokens * bytesPerToken, '?')
  ]
}

const pickWorkspace = (deployment: Deployment, random: Random, at: number, weight: WorkloadShape['weight']): WorkspaceShape => {
  const weights = deployment.workspaces.map((shape, index) => shape.share * (weight?.(index, at) ?? 1))
  let drawn = random.unit() * weights.reduce((sum, value) => sum + value, 0)
  for (let index = 0; index < weights.length; index++) {
    if (drawn < weights[index]) return deployment.workspaces[index]
    drawn -= weights[index]
  }
  return deployment.workspaces[0]
}

/** Draws the times of arrivals of a Poisson process until `end`; steps are at most 1 s, so that changes of the load take effect. */
const createArrivals = (load: LoadCurve, capacity: number, end: number, random: Random): number[] => {
  const times: number[] = []
  for (let at = 0; at < end;) {
    const rate = Math.max(minLoad, load(at)) * capacity / 1000
    at += Math.min(1000, -Math.log(1 - random.unit()) / rate)
    if (at < end && load(at) > 0) times.push(at)
  }
  return times
}

const buildWorkload = (name: string, deployment: Deployment, seed: number, shape: WorkloadShape): Workload => {
  const random = createRandom(seed)
  const capacity = capacityOf(deployment)
  const end = shape.duration ?? duration
  let serial = 0
  const call = (at: number, workspace: WorkspaceShape): Call => ({
    at,
    workspace: workspace.name,
    texts: createPrompt(workspace, shape.generation?.(at, workspace.name) ?? '', random, serial++),
    ...pickCallKind(deployment, random)
  })
  const calls = createArrivals(shape.load, capacity, end, random).map(at => call(at, pickWorkspace(deployment, random, at, shape.weight)))
  const { flooder } = shape
  if (flooder !== undefined) {
    const flooding = deployment.workspaces.find(candidate => candidate.name === flooder.workspace) ?? deployment.workspaces[0]
    calls.push(...createArrivals(flooder.load, capacity, end, random).map(at => call(at, flooding)))
    calls.sort((left, right) => left.at - right.at)
  }
  const { incidents = [], disturbedAt, entrySizes, eventFaults } = shape
  return { name, calls, incidents, duration: end, measureFrom, disturbedAt, flooder: flooder?.workspace, entrySizes, eventFaults }
}

const steadyLoad: LoadCurve = () => 0.6
/** Time of the disturbance, in ms. */
const disturbedAt = 24_000

/** Returns the workload shapes of a deployment by name, in the order of the tables. */
export const workloadShapes = (deployment: Deployment): Readonly<Record<string, WorkloadShape>> => {
  const hotWorkspaces = deployment.workspaces.slice(0, 3).map(workspace => workspace.name)
  const smallestWorkspace = deployment.workspaces[deployment.workspaces.length - 1].name
  const lostDataCentre = deployment.dataCentres[1]
  const burst: Record<string, WorkloadShape> = {
    morningBurst: {
      load: at => at > disturbedAt && at < disturbedAt + 10_000 ? 1.1 : 0.4,
      weight: (index, at) => index < 2 && at > disturbedAt && at < disturbedAt + 10_000 ? 3 : 1,
      disturbedAt
    }
  }
  const mixed: Record<string, WorkloadShape> = { mixedBookings: { load: at => 0.7 + 0.2 * Math.sin(at / 4000) } }
  return {
    nested: { load: steadyLoad, disturbedAt },
    ...(deployment.name === 'harrowgate' ? burst : mixed),
    hotShift: { load: steadyLoad, disturbedAt, generation: (at, workspace) => at > disturbedAt && hotWorkspaces.includes(workspace) ? 'b' : 'a' },
    engineCrash: {
      load: steadyLoad,
      disturbedAt,
      incidents: [{ kind: 'crash', at: disturbedAt, worker: 0, downFor: 2000 }, { kind: 'crash', at: disturbedAt + 6000, worker: 2, downFor: 2000 }]
    },
    load50: { load: () => 0.5 },
    load90: { load: () => 0.9 },
    load100: { load: () => 1 },
    load120: { load: () => 1.2 },
    load200: { load: () => 2 },
    herdRestart: { load: steadyLoad, disturbedAt, incidents: [{ kind: 'herdRestart', at: disturbedAt }] },
    flooding: { load: () => 0.5, flooder: { workspace: smallestWorkspace, load: at => at > disturbedAt ? 1.5 : 0 }, disturbedAt },
    unequalEntries: { load: steadyLoad, entrySizes: [4, 4, 2, 2, 1, 1, 0.5] },
    lostDataCentre: { load: () => 0.5, disturbedAt, incidents: [{ kind: 'loseDataCentre', at: disturbedAt, dataCentre: lostDataCentre, downFor: 10_000 }] },
    lostEvents: { load: steadyLoad, eventFaults: { lost: 0.3, delay: 3000 } },
    platformAway: {
      load: steadyLoad,
      disturbedAt,
      incidents: [{ kind: 'platformAway', at: 14_000, downFor: 26_000 }, { kind: 'crash', at: disturbedAt, worker: 1, downFor: 3000 }]
    }
  }
}

/** Creates the workload of a name and a seed. */
export const createWorkload = (name: string, deployment: Deployment, seed: number): Workload =>
  buildWorkload(name, deployment, seed, workloadShapes(deployment)[name])
