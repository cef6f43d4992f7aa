/** Plays a load on a fleet of gateways of which some lose their links to the workers for a while, and counts what callers got at these and at the others. */
import type { Hash } from '../../src/hash.js'
import type { Call } from '../../src/ports/forwardPort.js'
import { createRandom } from '../../src/random.js'
import { createFakeGateways, type FakeCall, type FakeGateways, type LinkCut } from '../fakes/fakeGateways.js'
import { buildCall, buildCatalog, buildWorker } from '../fixtures/forwarding.js'

/** Options of a play; times in ms. */
export interface PartitionedOptions {
  readonly hash: Hash
  readonly instances: number
  /** Number of instances that lose their links. */
  readonly partitioned: number
  readonly cut: LinkCut
  readonly workers?: number
  /** Requests a second to all instances together, half of them to each service. */
  readonly load?: number
  readonly end?: number
  readonly seed?: number
  /** Schedules further faults. */
  readonly disturb?: (fleet: FakeGateways) => void
}

/** First tries of callers at some instances, and those that were served. */
export interface Served {
  readonly sent: number
  readonly served: number
}

/** What callers got from `stableTime` after the cut to its end. */
export interface PartitionedReport {
  /** At instances without links; if the links of one service were cut, of its requests. */
  readonly partitioned: Served
  readonly others: Served
  /** Whether the users' rule is broken. */
  readonly isBroken: boolean
  /** All requests, with the time at which they were sent. */
  readonly calls: readonly (readonly [number, FakeCall])[]
  readonly fleet: FakeGateways
}

const trafficFrom = 1_500 // ms
/** When the links are cut, and when they work again, in ms. */
export const cutFrom = 5_000
export const cutUntil = 17_000
/** Time after which the rule holds, in ms, as the users state it. */
const stableTime = 3_000
/** Share of the others' served first tries that instances without links have to serve. */
const minServedShare = 2 / 3
/** Failed first tries that the users allow in any case: a number, and a share of all. */
const allowedFailures = 10
const allowedFailureShare = 1 / 50
const msPerSecond = 1_000

const buildModelCall = (id: string, part: string): Call => buildCall({
  id,
  host: 'model.example',
  path: '/model/x',
  target: '/model/x',
  prompt: { model: 'llm', inputTokens: 200, maxOutputTokens: 50, parts: [{ id: part, tokens: 100 }, { id: `last-${id}`, tokens: 100 }] },
  body: Buffer.from(id)
})

const isServed = ({ status, state }: FakeCall): boolean => status === 200 && state === 'whole'

const count = (calls: readonly FakeCall[]): Served => ({ sent: calls.length, served: calls.filter(isServed).length })

const shareOf = ({ sent, served }: Served): number => sent === 0 ? 1 : served / sent

/**
 * Plays requests at instances picked at random.
 *
 * @param options - size, load and cut
 */
export const playPartitioned = (options: PartitionedOptions): PartitionedReport => {
  const { hash, instances, partitioned, cut, workers = 8, load = 60, end = 22_000, seed = 7 } = options
  const random = createRandom(seed)
  const calls: (readonly [number, FakeCall])[] = []
  const cutOff = Array.from({ length: partitioned }, (_, index) => `n${index}`)
  const fleet = createFakeGateways({
    hash,
    instances,
    seed,
    catalog: buildCatalog(),
    workers: Array.from({ length: workers }, (_, index) => buildWorker(`w${index + 1}`, index % 2 === 0 ? { slots: 24 } : { service: 'model', slots: 24, models: [{ name: 'llm', version: 1 }] })),
    streamEvents: 5
  })
  const sendNext = (number: number): void => {
    const live = fleet.live()
    const id = `c${number}`
    const call = number % 2 === 0 ? buildCall({ id, body: Buffer.from(id) }) : buildModelCall(id, `a${number % 16}`)
    calls.push([fleet.time.now(), fleet.send(live[random.below(live.length)], call)])
    fleet.time.after(2 * msPerSecond * random.unit() / load, () => sendNext(number + 1))
  }
  fleet.time.after(trafficFrom, () => sendNext(1))
  fleet.time.at(cutFrom, () => fleet.cutLinks(cutOff, cut))
  fleet.time.at(cutUntil, () => fleet.healLinks())
  options.disturb?.(fleet)
  fleet.time.runUntil(end)
  const concerned = calls.filter(([at, { call }]) => at >= cutFrom + stableTime && at < cutUntil - stableTime / 3 && (cut.service === undefined || call.host.startsWith(cut.service))).map(([, call]) => call)
  const at = new Set(cutOff)
  const partitionedServed = count(concerned.filter(({ instance }) => at.has(instance)))
  const others = count(concerned.filter(({ instance }) => !at.has(instance)))
  const failed = partitionedServed.sent - partitionedServed.served
  const isBroken = shareOf(partitionedServed) < minServedShare * shareOf(others) && failed > allowedFailures + allowedFailureShare * concerned.length
  return { partitioned: partitionedServed, others, isBroken, calls, fleet }
}
