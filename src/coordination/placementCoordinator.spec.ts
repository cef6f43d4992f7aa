import { fleetMessageSchema } from '../fleet/fleetMessages.js'
import { loadHash, type Hash } from '../hash.js'
import { createRandom } from '../random.js'
import type { PlacementRequest, PlacementUpdates } from './coordinationMessages.js'
import { boundedPrompt } from './coordinationMessages.js'
import { createFlightReports, type ReportedWorker } from './flightReports.js'
import { createPlacementCoordinator } from './placementCoordinator.js'
import { createWorkerLoad, noteAbandoned, noteEnded, noteLoadCounts, noteSent, type InFlightRequest } from '../placement/workerLoad.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const workers = ['w1', 'w2', 'w3']

const build = () => {
  const listed = new Set(workers)
  const lifetimes = new Map(workers.map(worker => [worker, 1]))
  const coordinator = createPlacementCoordinator({
    hash,
    random: createRandom(1),
    queryOf: (_request, loadOf) => ({ kind: 'plain', candidates: [...listed].map(id => ({ id, load: loadOf(id), slots: 4, sameDataCentre: true })) }),
    noteParts: () => { /* No prompts. */ },
    startedAt: worker => listed.has(worker) ? lifetimes.get(worker) : undefined
  })
  const counts = () => workers.map(worker => coordinator.loadOf(worker).flights.size)
  return { coordinator, listed, lifetimes, counts }
}

const buildRequest = (id: number): PlacementRequest => ({ kind: 'fleet.placementRequest', id, service: 's', group: 0, alternatives: [], excluded: [], loads: [] })

const buildUpdates = (over: Partial<PlacementUpdates> = {}): PlacementUpdates => ({ kind: 'fleet.placementUpdates', flights: [], begun: [], ended: [], abandoned: [], running: [], reports: [], ...over })

const buildFlight = (attempt: number, worker: string): InFlightRequest =>
  ({ attempt, worker, unreadTokens: 10, fetchedTokens: 0, memoryTokens: 100, tokensAhead: 10, sentAt: 0, expected: 20, firstEventAt: undefined })

describe('a coordinator', () => {
  it('spreads requests that arrive in one moment over all workers with room, and then says that none has', () => {
    const { coordinator, counts } = build()
    for (let id = 0; id < 24; id++) expect(coordinator.decide('a', buildRequest(id), 0).kind).toBe('placed')
    expect(counts()).toEqual([8, 8, 8])
    expect(coordinator.decide('b', buildRequest(1), 0)).toMatchObject({ kind: 'noRoom' })
  })

  it('drops a placement that is never confirmed after a second, one without news after five, and those of a worker that has left', () => {
    const { coordinator, counts, listed } = build()
    for (let id = 0; id < 9; id++) coordinator.decide('a', buildRequest(id), 0)
    coordinator.update('a', buildUpdates({ running: [0, 1, 2, 3, 4, 5] }), 500)
    coordinator.tick(1_000)
    expect(coordinator.size()).toBe(6)
    listed.delete('w3')
    coordinator.tick(1_300)
    expect(counts()[2]).toBe(0)
    coordinator.tick(5_600)
    expect(coordinator.size()).toBe(0)
  })

  it('counts what another coordinator has placed, as the worker states it, and forgets it within two seconds', () => {
    const { coordinator } = build()
    coordinator.update('a', buildUpdates({ reports: [{ worker: 'w1', age: 0, running: 4, waiting: 2, slots: 4, brittle: false }] }), 0)
    const placedAt = Array.from({ length: 6 }, (_, id) => coordinator.decide('a', buildRequest(id), 10)).map(answer => answer.kind === 'placed' ? answer.worker : undefined)
    expect(placedAt).not.toContain('w1')
    const later = coordinator.decide('a', buildRequest(9), 2_500)
    expect(later).toMatchObject({ worker: 'w1' })
  })

  it('gives the place of a run without a connection away only when the worker states that it is free', () => {
    const { coordinator, listed } = build()
    listed.delete('w2')
    listed.delete('w3')
    for (let id = 0; id < 8; id++) coordinator.decide('a', buildRequest(id), 0)
    coordinator.update('a', buildUpdates({ running: [0, 1, 2, 3, 4, 5, 6, 7] }), 10)
    coordinator.update('a', buildUpdates({ abandoned: [{ id: 7, worker: 'w1', memoryTokens: 0, sent: 100, age: 0, left: 5_000 }] }), 100)
    const state = (requests: number, at: number): string => {
      coordinator.update('b', buildUpdates({ reports: [{ worker: 'w1', age: 0, running: 4, waiting: requests - 4, slots: 4, brittle: false }] }), at)
      coordinator.tick(at + 100)
      return coordinator.decide('b', buildRequest(at), at + 100).kind
    }
    expect(coordinator.decide('b', buildRequest(1), 100).kind).toBe('noRoom')
    expect(state(8, 200)).toBe('noRoom')
    expect(state(7, 400)).toBe('placed')
  })

  it('does not take requests of others for runs that a worker has dropped', () => {
    const { coordinator, listed } = build()
    listed.delete('w2')
    listed.delete('w3')
    const abandon = (id: number, at: number): void => coordinator.update('a', buildUpdates({ abandoned: [{ id, worker: 'w1', memoryTokens: 0, sent: 50, age: 0, left: 60_000 }] }), at)
    const state = (requests: number, at: number): void => coordinator.update('b', buildUpdates({ reports: [{ worker: 'w1', age: 0, running: requests, waiting: 0, slots: 4, brittle: false }] }), at)
    for (let id = 0; id < 12; id++) {
      abandon(id, 200 * id)
      state(0, 200 * id + 50)
      coordinator.tick(200 * id + 150)
    }
    for (const id of [20, 21, 22]) abandon(id, 3_000)
    state(8, 3_050)
    expect(coordinator.decide('b', buildRequest(1), 3_050).kind).toBe('noRoom')
  })

  it('forgets such runs when the worker starts anew or is not listed any more', () => {
    const { coordinator, lifetimes, listed } = build()
    const abandon = (id: number, worker: string): void => coordinator.update('a', buildUpdates({ abandoned: [{ id, worker, memoryTokens: 0, sent: 100, age: 0, left: 60_000 }] }), 0)
    for (const [id, worker] of workers.entries()) abandon(id, worker)
    abandon(9, 'unknown')
    coordinator.tick(0)
    expect(coordinator.abandonedRuns()).toBe(3)
    lifetimes.set('w1', 2)
    listed.delete('w2')
    coordinator.tick(1_000)
    expect(coordinator.abandonedRuns()).toBe(1)
  })

  it('refuses malformed messages before they reach its counts', () => {
    const updates = (over: object): boolean => fleetMessageSchema.safeParse({ ...buildUpdates(), ...over }).success
    expect(updates({})).toBe(true)
    for (const value of [-1, NaN, Infinity, 2 ** 60, 'x', null]) {
      expect(updates({ reports: [{ worker: 'w1', age: 0, running: value, waiting: 0, slots: 4 }] })).toBe(false)
      expect(updates({ begun: [{ id: 1, age: value }] })).toBe(false)
      expect(updates({ abandoned: [{ id: 1, worker: 'w1', memoryTokens: 0, sent: 0, age: 0, left: value }] })).toBe(false)
    }
    expect(updates({ ended: Array.from({ length: 10_000 }, (_, id) => id) })).toBe(false)
  })
})

describe('reports of requests in flight', () => {
  const buildReported = (coordinator: string): readonly ReportedWorker[] => [{ id: 'w1', service: 's', coordinator, load: createWorkerLoad('w1') }]

  it('tell the next coordinator of all that is in flight, and the one before that it is not its own any more', () => {
    const reports = createFlightReports(() => 100)
    const [before] = buildReported('b')
    noteSent(before.load, buildFlight(1, 'w1'))
    reports.assign(1, reports.nextId(), 'b')
    expect(reports.collect(() => [before], 0)).toMatchObject([{ to: 'b', updates: { flights: [], running: [101] } }])
    expect(reports.collect(() => [{ ...before, coordinator: 'c' }], 60)).toMatchObject([
      { to: 'c', updates: { flights: [{ id: 101, worker: 'w1', memoryTokens: 112 }] } },
      { to: 'b', updates: { ended: [101] } }
    ])
  })

  it('tell of every end, also of a placement that was not sent, at most once in 50 ms', () => {
    const reports = createFlightReports(() => 100)
    const [worker] = buildReported('b')
    const flight = buildFlight(1, 'w1')
    noteSent(worker.load, flight)
    reports.assign(1, reports.nextId(), 'b')
    reports.assign(2, reports.nextId(), 'b')
    expect(reports.collect(() => [worker], 0)).toMatchObject([{ updates: { running: [101], ended: [102] } }])
    noteEnded(worker.load, flight)
    expect(reports.collect(() => [worker], 40)).toEqual([])
    expect(reports.collect(() => [worker], 50)).toMatchObject([{ to: 'b', updates: { ended: [101] } }])
    expect(reports.collect(() => [worker], 200)).toEqual([])
  })

  it('stay within the bounds of messages whatever callers and workers state, as a refused message would lose the ends of others', () => {
    const reports = createFlightReports(() => 100)
    const [worker] = buildReported('b')
    noteSent(worker.load, { ...buildFlight(1, 'w1'), unreadTokens: Infinity, memoryTokens: Infinity, tokensAhead: NaN, expected: 1e300 })
    noteLoadCounts(worker.load, { running: -5, waiting: 1e300, slots: NaN, pace: 999_999_999_999_999 }, 0)
    const endless = buildFlight(2, 'w1')
    noteSent(worker.load, endless)
    noteAbandoned(worker.load, endless, Infinity, 0)
    for (const { updates } of reports.collect(() => [worker], 0)) expect(fleetMessageSchema.safeParse(updates).success).toBe(true)
    const parts = [{ id: 'a', tokens: Infinity }, { id: 'f'.repeat(65_536), tokens: 1 }, ...Array.from({ length: 200 }, (_, index) => ({ id: `p${index}`, tokens: 1 }))]
    const prompt = boundedPrompt({ model: 'm', inputTokens: Infinity, maxOutputTokens: 2 ** 60, parts })
    expect(fleetMessageSchema.safeParse({ ...buildRequest(1), prompt }).success).toBe(true)
    expect(prompt.parts).toHaveLength(1)
  })

  it('tell of a run without a connection once, and not that it has ended', () => {
    const reports = createFlightReports(() => 100)
    const [worker] = buildReported('b')
    const flight = buildFlight(1, 'w1')
    noteSent(worker.load, flight)
    reports.assign(1, reports.nextId(), 'b')
    reports.collect(() => [worker], 0)
    noteAbandoned(worker.load, flight, 900, 60)
    expect(reports.collect(() => [worker], 100)).toMatchObject([{ to: 'b', updates: { ended: [], abandoned: [{ id: 101, worker: 'w1', memoryTokens: 112, sent: 100, age: 40, left: 800 }] } }])
    expect(reports.collect(() => [worker], 200)).toEqual([])
    expect(reports.collect(() => [{ ...worker, coordinator: 'c' }], 300)).toMatchObject([{ to: 'c', updates: { abandoned: [{ worker: 'w1', left: 600 }] } }])
  })

  it('divide many changes into messages that the receiver takes', () => {
    const reports = createFlightReports(() => 100)
    const [worker] = buildReported('b')
    for (let attempt = 0; attempt < 300; attempt++) noteSent(worker.load, buildFlight(attempt, 'w1'))
    const messages = reports.collect(() => [worker], 0)
    expect(messages.map(({ updates }) => updates.flights.length)).toEqual([128, 128, 44])
    for (const { updates } of messages) expect(fleetMessageSchema.safeParse(updates).success).toBe(true)
  })
})
