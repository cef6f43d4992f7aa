import { createHash } from 'node:crypto'
import { createFakeGateways, type FakeCall, type FakeGateways } from '../../test/fakes/fakeGateways.js'
import { buildCall, buildCatalog, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { AnswerHead } from '../ports/forwardPort.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const workers = Array.from({ length: 8 }, (_, index) => buildWorker(`m${index}.1`, { service: 'model', slots: 8, models: [{ name: 'm', version: 1 }] }))
const requests = 300
const firstAt = 2_000 // ms
/** Time from the arrival at a worker to the end of a stream of six events, in ms. */
const streamTime = 285

interface Play {
  readonly interval?: number
  readonly instances?: number
  /** Tokens of the shared part; sends of prompts below 1,000 tokens are not announced. */
  readonly sharedTokens?: number
  readonly statement?: (now: number) => Partial<AnswerHead>
  readonly disturb?: (fleet: FakeGateways) => void
}

/** Sends 300 streams that share seven parts to five instances in turn. */
const play = ({ interval = 15, instances = 5, sharedTokens = 2_000, statement, disturb }: Play = {}): { readonly fleet: FakeGateways, readonly calls: readonly FakeCall[] } => {
  const load = (now: number) => ({ running: Math.floor(now / 100) % 5, waiting: 0, slots: 8 })
  const fleet = createFakeGateways({ hash, instances, catalog: buildCatalog(), workers, seed: 3, streamEvents: 6, statements: (_worker, now) => ({ load: load(now), ...statement?.(now) }) })
  const calls: FakeCall[] = []
  for (let index = 0; index < requests; index++) {
    fleet.time.at(firstAt + interval * index, () => {
      const parts = [{ id: `b${index % 7}`, tokens: sharedTokens }, { id: `o${index}`, tokens: 100 + index }]
      const prompt = { model: 'm', inputTokens: sharedTokens + 100 + index, maxOutputTokens: 100, parts }
      calls.push(fleet.send(`n${index % instances}`, buildCall({ id: `c${index}`, host: 'model.example', path: '/model/x', target: '/model/x', prompt })))
    })
  }
  disturb?.(fleet)
  fleet.time.runUntil(9_000)
  return { fleet, calls }
}

const withPace = (): Partial<AnswerHead> => ({ load: { running: 1, waiting: 0, slots: 8, pace: 100 } })
const coordinatorsOf = ({ logEvents }: FakeGateways): readonly string[] =>
  logEvents.flatMap(({ event }) => event.kind === 'sent' && event.coordinator !== undefined ? [event.coordinator] : [])
/** Largest number of requests that a worker had at the same time. */
const mostAtOnce = ({ arrivals }: FakeGateways): number =>
  Math.max(...arrivals.map(({ worker, at }) => arrivals.filter(other => other.worker === worker && other.at <= at && other.at > at - streamTime).length))

/** Mean over moments of the largest over the mean number of requests at a worker, from the time when all instances have heard the workers. */
const meanOfLargest = ({ arrivals }: FakeGateways): number => {
  const moments = Array.from({ length: 60 }, (_, index) => firstAt + 500 + 30 * index)
  const ratios = moments.map(now => {
    const counts = workers.map(({ id }) => arrivals.filter(({ worker, at }) => worker === id && at <= now && at > now - streamTime).length)
    return Math.max(...counts) * counts.length / counts.reduce((sum, count) => sum + count, 0)
  })
  return ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length
}

/** Fields of log lines that have been added since the commit whose lines are compared. */
const addedFields = new Set(['scope', 'isolated'])
const withoutAddedFields = (key: string, value: unknown): unknown => addedFields.has(key) ? undefined : value

describe('a fleet in front of workers that state no pace', () => {
  it('decides as before there were coordinators: the same sends, log lines and messages', () => {
    const { fleet } = play({
      disturb: ({ time, kill, crashWorker }) => {
        time.at(3_000, () => kill('n2'))
        time.at(3_500, () => { crashWorker('m3.1') })
      }
    })
    const lines = [...fleet.arrivals.map(arrival => JSON.stringify(arrival)), ...fleet.logEvents.map(entry => JSON.stringify(entry, withoutAddedFields)), String(fleet.network.messages())]
    // As the commit a1af7e0 gives it, the last one without coordinators.
    expect([lines.length, createHash('sha256').update(lines.join('\n')).digest('hex').slice(0, 16)]).toEqual([846, 'ca290b98bda4bcb0'])
  })
})

describe('a fleet in front of workers that state their pace', () => {
  it('places by coordinators, which name the worker in time, and answers all', () => {
    const { fleet, calls } = play({ statement: withPace })
    expect(coordinatorsOf(fleet).length).toBeGreaterThan(0.9 * requests)
    expect(calls.filter(({ status, state }) => status !== 200 || state !== 'whole')).toEqual([])
    expect(fleet.logEvents.filter(({ event }) => event.kind === 'coordinatorAvoided')).toEqual([])
  })

  it('loads the workers more evenly than without coordinators', () => {
    const [before, after] = [{}, { statement: withPace }].map(over => play({ interval: 8, sharedTokens: 500, ...over }))
    process.stdout.write(`largest over mean requests at a worker: ${meanOfLargest(before.fleet).toFixed(2)} before, ${meanOfLargest(after.fleet).toFixed(2)} after\n`)
    expect(meanOfLargest(after.fleet)).toBeLessThan(meanOfLargest(before.fleet))
  })

  it('places without messages when there are two instances', () => {
    const { fleet } = play({ statement: withPace, instances: 2 })
    for (const { instance, event } of fleet.logEvents) if (event.kind === 'sent' && event.coordinator !== undefined) expect(event.coordinator).toBe(instance)
    expect(coordinatorsOf(fleet).length).toBeGreaterThan(0.9 * requests)
  })

  it.each<[string, (fleet: FakeGateways, coordinator: string) => void]>([
    ['is killed', (fleet, coordinator) => fleet.kill(coordinator)],
    ['is cut off', (fleet, coordinator) => fleet.network.intercept(({ from, to }) => from === coordinator || to === coordinator ? 'drop' : 'deliver')],
    ['answers late', (fleet, coordinator) => fleet.network.intercept(({ from, message }) => from === coordinator && message.kind === 'fleet.placementDecision' ? 'late' : 'deliver')]
  ])('sends each request within 70 ms when its coordinator %s, and says which one it leaves out', (_fault, disturb) => {
    const coordinator = coordinatorsOf(play({ statement: withPace }).fleet)[0]
    const { fleet, calls } = play({ statement: withPace, disturb: disturbed => disturbed.time.at(3_000, () => disturb(disturbed, coordinator)) })
    const others = calls.filter(({ instance }) => instance !== coordinator)
    expect(others.filter(({ status, state }) => status !== 200 || state !== 'whole')).toEqual([])
    for (const { call: { id } } of others) {
      const arrival = fleet.arrivals.find(({ call }) => call === id)
      expect((arrival?.at ?? Infinity) - firstAt - 15 * Number(id.slice(1))).toBeLessThanOrEqual(70)
    }
    expect(fleet.logEvents.filter(({ event }) => event.kind === 'coordinatorAvoided').length).toBeLessThanOrEqual(4 * 6)
    expect(fleet.logEvents.some(({ event }) => event.kind === 'coordinatorAvoided' && event.coordinator === coordinator)).toBe(true)
  })
})

describe('a fleet in front of brittle workers', () => {
  it('has no more requests at a worker than its slots, also while a coordinator is cut off', () => {
    const brittle = (): Partial<AnswerHead> => ({ load: { running: 1, waiting: 0, slots: 8 }, brittle: { kind: 'brittle', refusals: 2 } })
    const { fleet } = play({ statement: brittle, interval: 5 })
    const cut = play({ statement: brittle, interval: 5, disturb: disturbed => disturbed.time.at(2_700, () => disturbed.network.intercept(({ from, to }) => from === 'n0' || to === 'n0' ? 'drop' : 'deliver')) })
    expect(mostAtOnce(fleet)).toBeLessThanOrEqual(8 + 1)
    expect(mostAtOnce(cut.fleet)).toBeLessThanOrEqual(8 + 5)
    expect(coordinatorsOf(fleet).length).toBeGreaterThan(0.7 * requests)
  })
})
