/** Seeded workloads: nested prompts of which few are very hot, and what happens to the fleet meanwhile. */
import type { Random } from '../../src/random.js'
import { createRandom } from '../../src/random.js'
import type { Call, Deployment, Incident, Workload, WorkspaceShape } from './benchTypes.js'
import { capacityOf } from './deployments.js'

/** Offered load at a time, as a part of capacity. */
type LoadCurve = (at: number) => number

interface Shape {
  readonly load: LoadCurve
  readonly duration?: number
  readonly incidents?: readonly Incident[]
  readonly disturbedAt?: number
  /** Names the texts in use at a time; another name is another text. */
  readonly generation?: (at: number, workspace: string) => string
  readonly flooder?: { readonly workspace: string, readonly load: LoadCurve }
  readonly entrySizes?: readonly number[]
  readonly eventFaults?: Workload['eventFaults']
  /** Moves load between workspaces at a time: weight by index. */
  readonly weight?: (index: number, at: number) => number
}

const bytesPerToken = 4
const questionTokens = 60
const duration = 40_000
const measureFrom = 12_000
/** Skew of the choice among branches and items. */
const hotness = 1.1

const filler = new Map<string, string>()

const textOf = (name: string, tokens: number): string => {
  const key = `${name}|${tokens}`
  const known = filler.get(key)
  if (known !== undefined) return known
  const made = `${name} `.padEnd(tokens * bytesPerToken, `${name}.`)
  filler.set(key, made)
  return made
}

/** An index below `count` with the skew of Zipf's law. */
const skewed = (random: Random, count: number): number => {
  const top = 1 - (count + 1) ** (1 - hotness)
  const drawn = (1 - random.unit() * top) ** (1 / (1 - hotness)) - 1
  return Math.min(count - 1, Math.floor(drawn))
}

const expired = 1e-9

const kinds = {
  harrowgate: [
    { part: 0.5, completionTokens: 12, worth: 1, priority: 0, target: 1700 },
    { part: 0.35, completionTokens: 150, worth: 1, priority: 0, target: 1700 },
    { part: 0.15, completionTokens: 60, worth: 3, priority: 1, target: 1700 }
  ],
  wspolnyTor: [
    { part: 0.35, completionTokens: 40, worth: 5, priority: 1, target: 1700 },
    { part: 0.4, completionTokens: 25, worth: 2, priority: 0, target: 1700 },
    { part: 0.25, completionTokens: 190, worth: 1, priority: 0, target: 3000 }
  ]
} as const

const kindFor = (deployment: Deployment, random: Random): Omit<Call, 'at' | 'workspace' | 'texts'> => {
  let drawn = random.unit()
  for (const { part, ...kind } of kinds[deployment.name]) {
    if (drawn < part) return kind
    drawn -= part
  }
  const { part: _, ...last } = kinds[deployment.name][0]
  return last
}

const promptOf = (shape: WorkspaceShape, generation: string, random: Random, serial: number): string[] => {
  const branch = skewed(random, shape.branches)
  const item = skewed(random, shape.items)
  return [
    textOf(`${shape.name} guidance ${generation}`, shape.guidanceTokens),
    textOf(`${shape.name} branch ${branch} ${generation}`, shape.branchTokens),
    textOf(`${shape.name} item ${branch}.${item}`, shape.itemTokens),
    `question ${serial} `.padEnd(questionTokens * bytesPerToken, '?')
  ]
}

const pickShape = (deployment: Deployment, random: Random, at: number, weight: Shape['weight']): WorkspaceShape => {
  const weights = deployment.workspaces.map((shape, index) => shape.share * (weight?.(index, at) ?? 1))
  let drawn = random.unit() * weights.reduce((sum, one) => sum + one, 0)
  for (let index = 0; index < weights.length; index++) {
    if (drawn < weights[index]) return deployment.workspaces[index]
    drawn -= weights[index]
  }
  return deployment.workspaces[0]
}

const arrivals = (load: LoadCurve, capacity: number, end: number, random: Random): number[] => {
  const times: number[] = []
  for (let at = 0; at < end;) {
    const rate = Math.max(expired, load(at)) * capacity / 1000
    at += Math.min(1000, -Math.log(1 - random.unit()) / rate)
    if (at < end && load(at) > 0) times.push(at)
  }
  return times
}

const build = (name: string, deployment: Deployment, seed: number, shape: Shape): Workload => {
  const random = createRandom(seed)
  const capacity = capacityOf(deployment)
  const end = shape.duration ?? duration
  let serial = 0
  const call = (at: number, of: WorkspaceShape): Call => ({
    at,
    workspace: of.name,
    texts: promptOf(of, shape.generation?.(at, of.name) ?? '', random, serial++),
    ...kindFor(deployment, random)
  })
  const calls = arrivals(shape.load, capacity, end, random).map(at => call(at, pickShape(deployment, random, at, shape.weight)))
  const { flooder } = shape
  if (flooder !== undefined) {
    const flooding = deployment.workspaces.find(one => one.name === flooder.workspace) ?? deployment.workspaces[0]
    calls.push(...arrivals(flooder.load, capacity, end, random).map(at => call(at, flooding)))
    calls.sort((left, right) => left.at - right.at)
  }
  const { incidents = [], disturbedAt, entrySizes, eventFaults } = shape
  return { name, calls, incidents, duration: end, measureFrom, disturbedAt, flooder: flooder?.workspace, entrySizes, eventFaults }
}

const steady: LoadCurve = () => 0.6
const disturbedAt = 24_000

/** The workloads of a deployment by name, in the order of their weight. */
export const workloadShapes = (deployment: Deployment): Readonly<Record<string, Shape>> => {
  const hot = deployment.workspaces.slice(0, 3).map(one => one.name)
  const small = deployment.workspaces[deployment.workspaces.length - 1].name
  const lost = deployment.dataCentres[1]
  const burst: Record<string, Shape> = {
    morningBurst: {
      load: at => at > disturbedAt && at < disturbedAt + 10_000 ? 1.1 : 0.4,
      weight: (index, at) => index < 2 && at > disturbedAt && at < disturbedAt + 10_000 ? 3 : 1,
      disturbedAt
    }
  }
  const mixed: Record<string, Shape> = { mixedBookings: { load: at => 0.7 + 0.2 * Math.sin(at / 4000) } }
  return {
    nested: { load: steady, disturbedAt },
    ...(deployment.name === 'harrowgate' ? burst : mixed),
    hotShift: { load: steady, disturbedAt, generation: (at, workspace) => at > disturbedAt && hot.includes(workspace) ? 'b' : 'a' },
    engineCrash: {
      load: steady,
      disturbedAt,
      incidents: [{ kind: 'crash', at: disturbedAt, worker: 0, downFor: 2000 }, { kind: 'crash', at: disturbedAt + 6000, worker: 2, downFor: 2000 }]
    },
    load50: { load: () => 0.5 },
    load90: { load: () => 0.9 },
    load100: { load: () => 1 },
    load120: { load: () => 1.2 },
    load200: { load: () => 2 },
    herdRestart: { load: steady, disturbedAt, incidents: [{ kind: 'herdRestart', at: disturbedAt }] },
    flooding: { load: () => 0.5, flooder: { workspace: small, load: at => at > disturbedAt ? 1.5 : 0 }, disturbedAt },
    unequalEntries: { load: steady, entrySizes: [4, 4, 2, 2, 1, 1, 0.5] },
    lostDataCentre: { load: () => 0.5, disturbedAt, incidents: [{ kind: 'loseDataCentre', at: disturbedAt, dataCentre: lost, downFor: 10_000 }] },
    lostEvents: { load: steady, eventFaults: { lost: 0.3, delay: 3000 } },
    platformAway: {
      load: steady,
      disturbedAt,
      incidents: [{ kind: 'platformAway', at: 14_000, downFor: 26_000 }, { kind: 'crash', at: disturbedAt, worker: 1, downFor: 3000 }]
    }
  }
}

/** Makes one workload. */
export const createWorkload = (name: string, deployment: Deployment, seed: number): Workload =>
  build(name, deployment, seed, workloadShapes(deployment)[name])
