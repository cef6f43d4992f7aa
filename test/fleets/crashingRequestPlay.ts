/** Plays a load on a fleet of gateways whose workers crash when they begin to run certain requests, which come again under new ids, and counts what reaches them. */
import type { Hash } from '../../src/hash.js'
import type { Call } from '../../src/ports/forwardPort.js'
import { createRandom } from '../../src/random.js'
import { createFakeGateways, type FakeCall, type FakeGateways } from '../fakes/fakeGateways.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../fixtures/forwarding.js'

/** The service that the requests are for: a plain one, or one of model workers. */
export type CrashingService = 'desk' | 'model'

/** Options of a play; times in ms. */
export interface CrashingRequestOptions {
  readonly hash: Hash
  readonly instances: number
  readonly service?: CrashingService
  readonly workers?: number
  /** Number of different requests that crash workers. */
  readonly guilty?: number
  /** How often a second each of them comes. */
  readonly rate?: number
  /** Sound requests a second to all instances together. */
  readonly load?: number
  /** When the guilty requests first come, and when they no longer crash workers. */
  readonly from?: number
  readonly until?: number
  readonly end?: number
  readonly seed?: number
  /** Schedules faults. */
  readonly disturb?: (fleet: FakeGateways) => void
}

/** What one guilty request did. */
export interface GuiltyReport {
  /** When workers crashed under it, in ms. */
  readonly crashes: readonly number[]
  /** Number of its attempts that reached workers later than `stableTime` after the third crash. */
  readonly after: number
  readonly calls: readonly FakeCall[]
}

/** What callers and workers saw. */
export interface CrashingRequestReport {
  readonly guilty: readonly GuiltyReport[]
  /** Fraction of the sound requests that were served, before any crash, and in the last part of the play. */
  readonly soundBefore: number
  readonly soundAfter: number
  /** Sound requests that were refused as blocked. */
  readonly innocentRefused: number
  readonly fleet: FakeGateways
}

/** Attempts that may still reach workers, as the users state it. */
export const allowedAfter = 3
/** Number of crashes after which that holds, as the users state it. */
const countedCrashes = 3
/** Time after which it holds, in ms, as the users state it. */
const stableTime = 3_000
const trafficFrom = 1_500 // ms
/** When the guilty requests first come unless the play says otherwise, in ms. */
export const guiltyFrom = 5_000
/** Length of the span at the end in which sound requests are counted, in ms; the last second is left out, as answers may be missing. */
const countedSpan = 8_000
const msPerSecond = 1_000
/** Most workers that a request may reach. */
const maxWorkers = 3
/** Time after which the caller of a sound request that failed comes again, in ms. */
const returnDelay = 300

const buildPlainCall = (id: string, body: string): Call => buildCall({ id, body: Buffer.from(body) })

const buildModelCall = (id: string, body: string): Call => buildCall({
  id,
  host: 'model.example',
  path: '/model/x',
  target: '/model/x',
  prompt: { model: 'llm', inputTokens: 300, maxOutputTokens: 50, parts: [{ id: 'a0', tokens: 100 }, { id: `b${body.at(-1)}`, tokens: 100 }, { id: `last-${body}`, tokens: 100 }] },
  body: Buffer.from(body)
})

const isServed = ({ status, state }: FakeCall): boolean => status === 200 && state === 'whole'

const servedShare = (calls: readonly (readonly [number, FakeCall])[], from: number, to: number): number => {
  const counted = calls.filter(([at]) => at >= from && at < to)
  return counted.length === 0 ? 1 : counted.filter(([, call]) => isServed(call)).length / counted.length
}

const reportOf = (fleet: FakeGateways, calls: readonly FakeCall[], crashes: readonly number[]): GuiltyReport => {
  const ids = new Set(calls.map(({ call }) => call.id))
  const counted = (crashes[countedCrashes - 1] ?? Infinity) + stableTime
  return { crashes, after: fleet.arrivals.filter(({ call, at }) => ids.has(call) && at > counted).length, calls }
}

/**
 * Plays requests at instances picked at random. A caller whose sound request fails
 * comes again once, with the same body under a new id.
 *
 * @param options - size, load and guilty requests
 */
export const playCrashingRequests = (options: CrashingRequestOptions): CrashingRequestReport => {
  const { hash, instances, service = 'desk', workers = 6, guilty = 1, rate = 4, load = 33, from = guiltyFrom, until = Infinity, end = 24_000, seed = 7 } = options
  const random = createRandom(seed)
  const buildRequest = service === 'desk' ? buildPlainCall : buildModelCall
  const sound: (readonly [number, FakeCall])[] = []
  const guiltyCalls = Array.from({ length: guilty }, (): FakeCall[] => [])
  const crashes = Array.from({ length: guilty }, (): number[] => [])
  const guiltyIndex = ({ body }: Call): number => body.toString().startsWith('guilty') ? Number(body.toString().slice('guilty'.length)) : -1
  const catalog = buildCatalog()
  const fleet = createFakeGateways({
    hash,
    instances,
    seed,
    catalog: { ...catalog, routes: [buildRoute({ maxWorkers }), ...catalog.routes.slice(1)] },
    workers: Array.from({ length: workers }, (_, index) => buildWorker(`w${index + 1}`, service === 'desk' ? { slots: 24 } : { service, slots: 24, models: [{ name: 'llm', version: 1 }] })),
    streamEvents: 5,
    crashes: (call, now) => guiltyIndex(call) >= 0 && now < until,
    onCrash: call => crashes[guiltyIndex(call)].push(fleet.time.now())
  })
  const pickInstance = (): string => {
    const live = fleet.live()
    return live[random.below(live.length)]
  }
  const sendSound = (count: number): void => {
    const body = `sound${count}`
    const call = fleet.send(pickInstance(), buildRequest(`s${count}`, body))
    sound.push([fleet.time.now(), call])
    const comeAgain = (): void => { if (!isServed(call)) fleet.send(pickInstance(), buildRequest(`s${count}-again`, body)) }
    fleet.time.after(returnDelay, comeAgain)
    fleet.time.after(2 * msPerSecond * random.unit() / load, () => sendSound(count + 1))
  }
  const sendGuilty = (index: number, count: number): void => {
    guiltyCalls[index].push(fleet.send(pickInstance(), buildRequest(`g${index}-${count}`, `guilty${index}`)))
    fleet.time.after(2 * msPerSecond * random.unit() / rate, () => sendGuilty(index, count + 1))
  }
  fleet.time.after(trafficFrom, () => sendSound(1))
  for (let index = 0; index < guilty; index++) fleet.time.at(from, () => sendGuilty(index, 1))
  options.disturb?.(fleet)
  fleet.time.runUntil(end)
  return {
    guilty: guiltyCalls.map((calls, index) => reportOf(fleet, calls, crashes[index])),
    soundBefore: servedShare(sound, trafficFrom, from - msPerSecond),
    soundAfter: servedShare(sound, end - countedSpan, end - msPerSecond),
    innocentRefused: fleet.logEvents.filter(({ event }) => event.kind === 'refused' && event.reason === 'blockedRequest' && event.id.startsWith('s')).length,
    fleet
  }
}
