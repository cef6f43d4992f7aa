/**
 * Plays a crowd on a fleet of gateways before workers that are brittle for a while,
 * hold fewer waiting requests from the middle of that time on, and of whose runs
 * some go on after their callers have left. Counts how often the workers end.
 */
import type { Hash } from '../../src/hash.js'
import type { Call } from '../../src/ports/forwardPort.js'
import { createRandom } from '../../src/random.js'
import { createBatchingWorkers, type BatchingWorkers } from '../fakes/batchingWorkers.js'
import { createFakeGateways, type FakeCall, type FakeGateways } from '../fakes/fakeGateways.js'
import { buildCall, buildCatalog, buildWorker } from '../fixtures/forwarding.js'

/** Options of a play; times in ms. */
export interface BrittleOptions {
  readonly hash: Hash
  readonly instances: number
  readonly workers: number
  /** Requests, relative to what the workers can run. */
  readonly load: number
  /** Share of the callers that leave early. */
  readonly leave: number
  /** Share of the workers that run on after the connection of a run was closed. */
  readonly goOn: number
  /** Whether single runs go on, and not all runs of some workers. */
  readonly byRun?: boolean
  /** Whether the workers state their load. */
  readonly statesLoad?: boolean
  readonly seed?: number
  /** Schedules further faults. */
  readonly disturb?: (fleet: FakeGateways) => void
}

/** What became of the workers and the requests. */
export interface BrittleReport {
  /** Workers that ended because they had to turn away too many requests. */
  readonly falls: number
  /** Requests that workers turned away while they might end of it. */
  readonly rejections: number
  /** Runs that went on after their connection was closed. */
  readonly wentOn: number
  /** Requests whose callers stayed, sent while the workers were brittle, and those of them that were answered whole. */
  readonly stayed: number
  readonly whole: number
  readonly calls: readonly FakeCall[]
  readonly fleet: FakeGateways
}

/** When the workers begin to state that they are brittle, hold fewer waiting requests and may end, and state it no longer, in ms. */
export const brittleFrom = 6_000
export const fewerFrom = 10_000
export const brittleUntil = 14_000
const trafficFrom = 1_500 // ms
const trafficUntil = 14_000 // ms
const end = 16_000 // ms
const slots = 8
const longQueue = 4
const shortQueue = 1
const allowedRefusals = 3
const events = 24
const eventInterval = 50 // ms
/** Time, in ms, that a run takes from its start to its last event. */
const runTime = events * eventInterval + eventInterval
/** Earliest time at which a caller leaves, and its random addition, in ms. */
const earliestLeave = 100
const leaveSpread = 600
const parts = 16
const msPerSecond = 1_000

/** Falls in one time of brittle workers that the users allow. */
export const allowedFalls = (workers: number): number => 2 + workers / 10

const buildModelCall = (count: number): Call => buildCall({
  id: `c${count}`,
  host: 'model.example',
  path: '/model/x',
  target: '/model/x',
  prompt: { model: 'llm', inputTokens: 900, maxOutputTokens: 50, parts: [{ id: `a${count % parts}`, tokens: 500 }, { id: `b${count}`, tokens: 400 }] },
  body: Buffer.from(`c${count}`)
})

const isWhole = ({ status, state }: FakeCall): boolean => status === 200 && state === 'whole'

/**
 * Plays requests at instances picked at random.
 *
 * @param options - size, load and what callers and workers do
 */
export const playBrittle = (options: BrittleOptions): BrittleReport => {
  const { hash, instances, workers, load, leave, goOn, byRun = false, statesLoad = true, seed = 1 } = options
  const random = createRandom(seed)
  const calls: { readonly at: number, readonly leaves: boolean, readonly call: FakeCall }[] = []
  const falls: string[] = []
  const goesOn = (key: string): boolean => hash.h32(key, seed) / 2 ** 32 < goOn
  let batching: BatchingWorkers | undefined
  const fleet = createFakeGateways({
    hash,
    instances,
    seed,
    catalog: buildCatalog(),
    workers: Array.from({ length: workers }, (_, index) => buildWorker(`w${index + 1}`, { service: 'model', slots, models: [{ name: 'llm', version: 1 }] })),
    batching: (time, endWorker) => {
      batching = createBatchingWorkers({
        time,
        slots,
        queue: now => now >= fewerFrom && now < brittleUntil ? shortQueue : longQueue,
        brittle: now => now >= brittleFrom && now < brittleUntil ? allowedRefusals : undefined,
        fallsFrom: fewerFrom,
        events,
        eventInterval,
        goesOn: (call, worker) => goesOn(byRun ? call.id : worker.split('.')[0]),
        statesLoad,
        onFall: worker => {
          falls.push(worker)
          endWorker(worker)
        }
      })
      return batching
    }
  })
  const perSecond = load * workers * slots * msPerSecond / runTime
  const sendNext = (count: number): void => {
    const { time } = fleet
    if (time.now() >= trafficUntil) return
    const live = fleet.live()
    const call = fleet.send(live[random.below(live.length)], buildModelCall(count))
    const leaves = random.unit() < leave
    calls.push({ at: time.now(), leaves, call })
    if (leaves) time.after(earliestLeave + leaveSpread * random.unit(), () => fleet.hangUp(call))
    time.after(2 * msPerSecond * random.unit() / perSecond, () => sendNext(count + 1))
  }
  fleet.time.after(trafficFrom, () => sendNext(1))
  options.disturb?.(fleet)
  fleet.time.runUntil(end)
  const stayed = calls.filter(({ at, leaves }) => !leaves && at >= brittleFrom && at < brittleUntil - runTime)
  return {
    falls: falls.length,
    rejections: (batching?.rejections ?? []).filter(({ at }) => at >= fewerFrom && at < brittleUntil).length,
    wentOn: batching?.wentOn() ?? 0,
    stayed: stayed.length,
    whole: stayed.filter(({ call }) => isWhole(call)).length,
    calls: calls.map(({ call }) => call),
    fleet
  }
}
