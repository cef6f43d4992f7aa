/** Requests at a worker that is silent for a second and then goes on: nothing that the caller or the worker holds is given up. */
import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import type { Route } from '../catalog/catalogTypes.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

/** What happens to every further attempt of the request. */
type LaterAttempts = 'rejected' | 'cut' | 'unreachable' | 'silent'

const tickInterval = 20 // ms
const answerDelay = 30 // ms
const silentFrom = 60 // ms
const probeInterval = 200 // ms

const event = (id: number): string => `id: ${id}\ndata: t\n\n`

const modelRoute = (overrides: Partial<Route> = {}): Route =>
  buildRoute({ host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: true, timeout: 5_000, objective: 500, targets: [{ service: 'model', weight: 1 }], maxWorkers: 3, ...overrides })

const modelCall = buildCall({ host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 900, maxOutputTokens: 50, parts: [{ id: 'a1', tokens: 500 }, { id: 'b2', tokens: 400 }] } })

const buildModel = (count: number, overrides: Partial<Route> = {}) => createFakeForwarding({
  hash,
  catalog: buildCatalog({ routes: [modelRoute(overrides), buildRoute({ timeout: 4_000 })] }),
  workers: Array.from({ length: count }, (_, index) => buildWorker(`m${index + 1}`, { service: 'model', slots: 8, models: [{ name: 'llm', version: 1 }] }))
})

const buildDesk = (count: number, overrides: Partial<Route> = {}) => createFakeForwarding({
  hash,
  catalog: buildCatalog({ routes: [buildRoute({ timeout: 4_000, ...overrides })] }),
  workers: Array.from({ length: count }, (_, index) => buildWorker(`w${index + 1}`))
})

type Fake = ReturnType<typeof buildModel>

const failLater = (fake: Fake, attempt: number, how: LaterAttempts, now: number): void => {
  switch (how) {
    case 'rejected':
      fake.head(attempt, { status: 503, notRun: true }, now)
      fake.end(attempt, now)
      return
    case 'cut': return fake.fail(attempt, 'cut', now)
    case 'unreachable': return fake.fail(attempt, 'unsent', now)
    case 'silent':
  }
}

/** Lets the time pass from `from` to `to` (ms); attempts after the first fail in the given way. */
const pass = (fake: Fake, from: number, to: number, how: LaterAttempts): void => {
  const failed = new Set<number>()
  const sentAt = new Map<number, number>()
  for (let now = from; now < to; now += tickInterval) {
    fake.tick(now)
    for (const { attempt } of fake.sends().slice(1)) {
      const at = sentAt.get(attempt) ?? now
      sentAt.set(attempt, at)
      if (failed.has(attempt) || now < at + answerDelay) continue
      failed.add(attempt)
      failLater(fake, attempt, how, now)
    }
  }
}

/** As `pass`, while probes do not reach the worker of the first attempt. */
const passUnreachable = (fake: Fake, worker: string, to: number, how: LaterAttempts): void => {
  for (let now = silentFrom; now < to; now += probeInterval) {
    pass(fake, now, now + probeInterval, how)
    fake.probed(worker, false, now + probeInterval)
  }
}

const counts = [2, 3, 5]
const ways: readonly LaterAttempts[] = ['rejected', 'cut', 'unreachable', 'silent']

/** The cases in which the caller does not get the whole expected body. */
const lostCases = (play: (count: number, how: LaterAttempts) => { readonly fake: Fake, readonly request: number }, body: string): readonly string[] =>
  counts.flatMap(count => ways.flatMap(how => {
    const { fake, request } = play(count, how)
    const view = fake.callerView(request)
    return view?.state === 'whole' && view.status === 200 && view.text === body ? [] : [`${count} workers, others ${how}: ${view?.state} ${view?.status}`]
  }))

describe('a worker that is silent for a second and goes on', () => {
  it('does not cost a stream that has begun', () => {
    const play = (count: number, how: LaterAttempts) => {
      const fake = buildModel(count)
      const request = fake.arrive(modelCall, 0)
      const [{ attempt }] = fake.sends()
      fake.head(attempt, {}, silentFrom)
      fake.data(attempt, event(1), silentFrom)
      pass(fake, silentFrom, silentFrom + 1_000, how)
      fake.data(attempt, event(2), silentFrom + 1_000)
      fake.end(attempt, silentFrom + 1_010)
      return { fake, request }
    }
    expect(lostCases(play, event(1) + event(2))).toEqual([])
  })

  it('does not cost a stream that has not begun', () => {
    const play = (count: number, how: LaterAttempts) => {
      const fake = buildModel(count)
      const request = fake.arrive(modelCall, 0)
      const [{ attempt }] = fake.sends()
      pass(fake, silentFrom, silentFrom + 1_000, how)
      fake.head(attempt, {}, silentFrom + 1_000)
      fake.data(attempt, event(1), silentFrom + 1_000)
      fake.end(attempt, silentFrom + 1_010)
      return { fake, request }
    }
    expect(lostCases(play, event(1))).toEqual([])
  })

  it('does not cost a plain request', () => {
    const play = (count: number, how: LaterAttempts) => {
      const fake = buildDesk(count)
      const request = fake.arrive(buildCall(), 0)
      const [{ attempt }] = fake.sends()
      pass(fake, silentFrom, silentFrom + 1_000, how)
      fake.head(attempt, {}, silentFrom + 1_000)
      fake.data(attempt, 'late', silentFrom + 1_000)
      fake.end(attempt, silentFrom + 1_010)
      return { fake, request }
    }
    expect(lostCases(play, 'late')).toEqual([])
  })

  it('does not cost a stream while it also accepts no connections', () => {
    const play = (count: number, how: LaterAttempts) => {
      const fake = buildModel(count)
      const request = fake.arrive(modelCall, 0)
      const [{ attempt, dispatch: { worker } }] = fake.sends()
      fake.head(attempt, {}, silentFrom)
      fake.data(attempt, event(1), silentFrom)
      passUnreachable(fake, worker, 2_000, how)
      fake.data(attempt, event(2), 2_060)
      fake.end(attempt, 2_070)
      return { fake, request }
    }
    expect(lostCases(play, event(1) + event(2))).toEqual([])
  })

  it('is not seen where this instance itself was held up', () => {
    const fake = buildModel(5)
    const attempts = Array.from({ length: 10 }, (_, index) => {
      fake.arrive({ ...modelCall, id: `c${index}` }, 0)
      return fake.sends()[index].attempt
    })
    for (const attempt of attempts) {
      fake.head(attempt, {}, 20)
      fake.data(attempt, event(1), 20)
    }
    fake.tick(40)
    // Timers run before the sockets are read.
    fake.tick(1_000)
    for (const attempt of attempts) fake.data(attempt, event(2), 1_001)
    fake.tick(1_020)
    expect(fake.sends()).toHaveLength(10)
    expect(fake.probes()).toEqual([])
  })

  it('does not cost a request that may run only once while it also accepts no connections', () => {
    const play = (count: number, how: LaterAttempts) => {
      const fake = buildDesk(count, { kind: 'once', maxWorkers: 1 })
      const request = fake.arrive(buildCall(), 0)
      const [{ attempt, dispatch: { worker } }] = fake.sends()
      passUnreachable(fake, worker, 2_500, how)
      fake.head(attempt, {}, 2_560)
      fake.data(attempt, 'booked', 2_560)
      fake.end(attempt, 2_570)
      expect(fake.sends()).toHaveLength(1)
      return { fake, request }
    }
    expect(lostCases(play, 'booked')).toEqual([])
  })
})
