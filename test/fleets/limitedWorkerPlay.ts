/** Plays a load on a fleet of gateways of which one worker states a limit, and counts what reaches that worker. */
import type { Hash } from '../../src/hash.js'
import { createRandom } from '../../src/random.js'
import { createFakeGateways, type FakeCall, type FakeGateways, type WorkerArrival } from '../fakes/fakeGateways.js'
import { buildCall, buildCatalog, buildWorker } from '../fixtures/forwarding.js'

/** Options of a play; times in ms. */
export interface LimitedWorkerOptions {
  readonly hash: Hash
  readonly instances: number
  /** Limit that the worker states, in requests a second. */
  readonly perSecond: number
  /** Requests a second to all instances together. */
  readonly load: number
  readonly workers?: number
  readonly end?: number
  /** When the worker states its limit no longer. */
  readonly until?: number
  /** Schedules faults. */
  readonly disturb?: (fleet: FakeGateways) => void
  /** Whether the network counts bytes. */
  readonly countBytes?: boolean
}

/** What reached the limited worker from `stableTime` after it stated its limit. */
export interface LimitedWorkerReport {
  /** Most requests in one span. */
  readonly most: number
  /** Requests a second, on average. */
  readonly used: number
  readonly calls: readonly FakeCall[]
  readonly fleet: FakeGateways
}

/** Id of the limited worker. */
export const limitedWorker = 'w1'
/** When it states its limit, in ms. */
export const statedAt = 2_000
const trafficFrom = 1_500 // ms
/** Time after which the limit holds, in ms, as the users state it. */
const stableTime = 3_000
/** Length of the spans over which requests are counted, in ms, as the users state it. */
const span = 4_000
const msPerSecond = 1_000

/** Most requests that a worker with a limit may get in a span, as the users state it. */
export const allowedInSpan = (perSecond: number): number => 1.5 * perSecond * span / msPerSecond + 5

const buildModelWorker = (id: string) => buildWorker(id, { service: 'model', slots: 8, models: [{ name: 'llm', version: 1 }] })

const buildModelCall = (count: number) => buildCall({
  id: `c${count}`,
  host: 'model.example',
  path: '/model/x',
  prompt: { model: 'llm', inputTokens: 900, maxOutputTokens: 50, parts: [{ id: `a${count % 8}`, tokens: 500 }, { id: `b${count}`, tokens: 400 }] }
})

const mostInSpan = (arrivals: readonly WorkerArrival[]): number =>
  Math.max(0, ...arrivals.map(({ at }) => arrivals.filter(other => other.at > at - span && other.at <= at).length))

/**
 * Plays requests at instances picked at random.
 *
 * @param options - size, load and limit
 * @returns what reached the limited worker
 */
export const playLimitedWorker = (options: LimitedWorkerOptions): LimitedWorkerReport => {
  const { hash, instances, perSecond, load, workers = 4, end = 20_000, until = Infinity, countBytes = false } = options
  const random = createRandom(7)
  const calls: FakeCall[] = []
  const fleet = createFakeGateways({
    hash,
    instances,
    catalog: buildCatalog(),
    workers: Array.from({ length: workers }, (_, index) => buildModelWorker(`w${index + 1}`)),
    statements: ({ id }, now) => id === limitedWorker && now >= statedAt && now < until ? { limit: { kind: 'perSecond', requests: perSecond } } : {},
    countBytes
  })
  const sendNext = (count: number): void => {
    const live = fleet.live()
    calls.push(fleet.send(live[random.below(live.length)], buildModelCall(count)))
    fleet.time.after(2 * msPerSecond * random.unit() / load, () => sendNext(count + 1))
  }
  fleet.time.after(trafficFrom, () => sendNext(1))
  options.disturb?.(fleet)
  fleet.time.runUntil(end)
  const counted = fleet.arrivals.filter(({ worker, at }) => worker === limitedWorker && at >= statedAt + stableTime)
  return { most: mostInSpan(counted), used: counted.length / ((end - statedAt - stableTime) / msPerSecond), calls, fleet }
}
