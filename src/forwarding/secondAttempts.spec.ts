import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import type { Route } from '../catalog/catalogTypes.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const workerIds = Array.from({ length: 6 }, (_, index) => `m${index + 1}`)

const build = (workers = workerIds.length, overrides: Partial<Route> = {}) => createFakeForwarding({
  hash,
  catalog: buildCatalog({ routes: [buildRoute({ host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: true, timeout: 5_000, objective: 500, maxWorkers: 3, targets: [{ service: 'model', weight: 1 }], ...overrides })] }),
  workers: workerIds.slice(0, workers).map(id => buildWorker(id, { service: 'model', slots: 8, models: [{ name: 'llm', version: 1 }] }))
})

const buildModelCall = (id: string) => buildCall({ id, host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 900, maxOutputTokens: 50, parts: [{ id: 'a1', tokens: 500 }, { id, tokens: 400 }] } })

const event = (id: number): string => `id: ${id}\ndata: t\n\n`

/** A stream that has brought one event at 20 ms, and whose worker is silent until a second attempt is made at 940 ms. */
const playSilence = () => {
  const fake = build()
  const request = fake.arrive(buildModelCall('c1'), 0)
  fake.head(fake.sends()[0].attempt, { headers: ['X-Run', 'first'] }, 20)
  fake.data(fake.sends()[0].attempt, event(1), 20)
  for (let now = 40; now <= 940; now += 20) fake.tick(now)
  const [first, second] = fake.sends().map(({ attempt }) => attempt)
  expect(fake.sends()).toHaveLength(2)
  return { fake, request, first, second }
}

describe('second attempts', () => {
  it('are cancelled when the first one goes on, which keeps the stream', () => {
    const { fake, request, first, second } = playSilence()
    fake.head(second, {}, 950)
    fake.data(first, event(2), 960)
    expect(fake.cancelled()).toEqual([second])
    fake.data(second, event(2), 961)
    fake.end(first, 970)
    expect(fake.callerView(request)).toMatchObject({ text: event(1) + event(2), state: 'whole' })
  })

  it('take over when the first one is cut, without a further retry', () => {
    const { fake, request, first, second } = playSilence()
    fake.fail(first, 'cut', 950)
    expect(fake.sends()).toHaveLength(2)
    fake.head(second, { headers: ['X-Run', 'second'] }, 960)
    fake.data(second, event(2), 961)
    fake.end(second, 962)
    expect(fake.callerView(request)).toEqual({ status: 200, headers: ['X-Run', 'first'], text: event(1) + event(2), state: 'whole' })
  })

  it('are made again while the first one stays silent, never at its worker and at no more workers than the route allows', () => {
    const { fake, second } = playSilence()
    fake.head(second, { status: 503, notRun: true }, 950)
    fake.end(second, 950)
    for (let now = 960; now < 2_000; now += 20) fake.tick(now)
    const [current, ...others] = fake.sends().map(({ dispatch }) => dispatch.worker)
    expect(others.length).toBeGreaterThanOrEqual(2)
    expect(others.length).toBeLessThanOrEqual(4)
    expect(others).not.toContain(current)
    expect(new Set([current, ...others]).size).toBeLessThanOrEqual(3)
  })

  it.each([['a head', ''], ['half an event', 'id: 2\nda']])('that send %s and then nothing are cancelled within 400 ms and replaced', (_name, text) => {
    const { fake, request, second } = playSilence()
    fake.head(second, {}, 960)
    if (text !== '') fake.data(second, text, 960)
    for (let now = 980; now <= 1_360; now += 20) fake.tick(now)
    expect(fake.cancelled()).toEqual([second])
    for (let now = 1_380; now < 1_700 && fake.sends().length < 3; now += 20) fake.tick(now)
    const third = fake.sends()[2].attempt
    fake.head(third, {}, 1_700)
    fake.data(third, event(2), 1_700)
    fake.end(third, 1_700)
    expect(fake.callerView(request)).toMatchObject({ text: event(1) + event(2), state: 'whole' })
  })

  it('that are silent, too, are kept while nothing can replace them', () => {
    const fake = build(2)
    const request = fake.arrive(buildModelCall('c1'), 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, event(1), 20)
    for (let now = 40; now <= 1_600; now += 20) fake.tick(now)
    const [first, second] = fake.sends().map(({ attempt }) => attempt)
    fake.fail(first, 'cut', 1_610)
    fake.head(second, {}, 1_650)
    fake.data(second, event(2), 1_650)
    fake.end(second, 1_650)
    expect(fake.callerView(request)).toMatchObject({ text: event(1) + event(2), state: 'whole' })
  })

  it('do not keep a silent worker from getting the request again for the new weights that it then states', () => {
    const fake = build(1)
    const request = fake.arrive(buildModelCall('c1'), 0)
    const { attempt: first } = fake.sends()[0]
    fake.weights.name('llm', 2, 100)
    for (let now = 20; now < 620; now += 20) fake.tick(now)
    fake.head(first, { status: 421, notRun: true, weightVersion: 2 }, 620)
    fake.end(first, 620)
    const again = fake.sends()[1].attempt
    fake.head(again, {}, 700)
    fake.data(again, event(1), 700)
    fake.end(again, 700)
    expect(fake.callerView(request)).toMatchObject({ text: event(1), state: 'whole' })
  })

  it('do not use up the retries of a request whose first attempt is cut later', () => {
    const fake = build(workerIds.length, { maxWorkers: 6 })
    const request = fake.arrive(buildModelCall('c1'), 0)
    fake.head(fake.sends()[0].attempt, {}, 20)
    fake.data(fake.sends()[0].attempt, event(1), 20)
    for (let now = 40; now <= 2_400; now += 20) {
      fake.tick(now)
      const { attempt } = fake.sends()[fake.sends().length - 1]
      if (fake.sends().length > 1 && fake.sends().length < 6) fake.fail(attempt, 'unsent', now)
    }
    fake.fail(fake.sends()[0].attempt, 'cut', 2_410)
    const last = fake.sends()[fake.sends().length - 1].attempt
    fake.head(last, {}, 2_420)
    fake.data(last, event(2), 2_420)
    fake.end(last, 2_420)
    expect(fake.callerView(request)).toMatchObject({ text: event(1) + event(2), state: 'whole' })
  })

  it('that were not sent do not make a worker forgotten that an earlier one has reached', () => {
    const fake = build(5, { maxWorkers: 2 })
    fake.arrive(buildModelCall('c1'), 0)
    const { attempt: first } = fake.sends()[0]
    fake.head(first, {}, 20)
    fake.data(first, event(1), 20)
    for (let now = 40; now < 980; now += 20) fake.tick(now)
    fake.data(first, event(2), 980)
    for (let now = 1_000; now < 5_000; now += 20) {
      fake.tick(now)
      if (fake.sends().length === 3) fake.fail(fake.sends()[2].attempt, 'unsent', now)
    }
    const reached = fake.sends().filter((_, index) => index !== 2).map(({ dispatch }) => dispatch.worker)
    expect(new Set(reached).size).toBe(2)
  })

  it('that end without an event do not complete a stream whose first worker is silent', () => {
    const { fake, request, first, second } = playSilence()
    fake.head(second, {}, 960)
    fake.end(second, 960)
    fake.data(first, event(2), 1_060)
    fake.end(first, 1_070)
    expect(fake.callerView(request)).toMatchObject({ text: event(1) + event(2), state: 'whole' })
  })

  it('that are late make their workers suspect', () => {
    const { fake } = playSilence()
    for (let now = 960; now < 1_500; now += 20) fake.tick(now)
    const suspected = fake.logEvents.flatMap(logged => logged.kind === 'workerDoubted' ? [logged.worker] : [])
    expect(suspected).toContain(fake.sends()[1].dispatch.worker)
  })

  it('are made again after a while at a worker that was full', () => {
    const fake = build(2)
    fake.arrive(buildModelCall('c1'), 0)
    for (let now = 20; now < 700; now += 20) fake.tick(now)
    const { attempt: second } = fake.sends()[1]
    fake.head(second, { status: 503, notRun: true }, 700)
    fake.end(second, 700)
    for (let now = 720; now < 1_200; now += 20) fake.tick(now)
    expect(fake.sends()).toHaveLength(3)
  })

  it('pass on their comments only once they have brought an event', () => {
    const { fake, request, first, second } = playSilence()
    fake.head(second, {}, 950)
    fake.data(second, ': waiting\n\n', 951)
    expect(fake.cancelled()).toEqual([])
    expect(fake.callerView(request)).toMatchObject({ text: event(1) })
    fake.data(second, event(2), 952)
    expect(fake.cancelled()).toEqual([first])
    expect(fake.callerView(request)).toMatchObject({ text: event(1) + ': waiting\n\n' + event(2) })
  })

  it('begin a stream with the head of the attempt that brought its first event', () => {
    const fake = build()
    const request = fake.arrive(buildModelCall('c1'), 0)
    for (let now = 20; now < 2_000 && fake.sends().length < 2; now += 20) fake.tick(now)
    const [first, second] = fake.sends().map(({ attempt }) => attempt)
    fake.head(second, { headers: ['X-Run', 'second'] }, 2_000)
    expect(fake.callerView(request)).toBeUndefined()
    fake.data(second, event(1), 2_001)
    expect(fake.cancelled()).toEqual([first])
    expect(fake.callerView(request)).toEqual({ status: 200, headers: ['X-Run', 'second'], text: event(1), state: 'open' })
  })

  it('end with their request at its deadline and when its caller leaves', () => {
    const atDeadline = playSilence()
    atDeadline.fake.tick(5_000)
    expect(atDeadline.second).toBeDefined()
    expect(atDeadline.fake.cancelled()).toStrictEqual([atDeadline.first, atDeadline.second])
    const left = playSilence()
    left.fake.leave(left.request, 960)
    expect(left.fake.cancelled()).toEqual([left.first, left.second])
  })

  it('leave half of the retry budget to requests whose attempt has failed or whose worker is out of reach', () => {
    const fake = build()
    const count = 200
    for (let index = 0; index < count; index++) fake.arrive(buildModelCall(`c${index}`), 0)
    const firsts = fake.sends().map(({ attempt }) => attempt)
    for (const attempt of firsts) {
      fake.head(attempt, {}, 20)
      fake.data(attempt, event(1), 20)
    }
    for (let now = 940; now < 1_900; now += 20) fake.tick(now)
    const budget = 0.75 * (0.2 * count + 50)
    const retries = (): number => fake.sends().length - count
    expect(retries()).toBeGreaterThan(0)
    expect(retries()).toBeLessThanOrEqual(budget / 2)
    for (const worker of workerIds.slice(0, 2)) fake.probed(worker, false, 1_900)
    expect(retries()).toBeGreaterThan(budget / 2)
    expect(retries()).toBeLessThanOrEqual(budget)
    for (const attempt of firsts.slice(0, 20)) fake.fail(attempt, 'cut', 1_900)
    expect(fake.logEvents.filter(({ kind }) => kind === 'brokenOff')).toEqual([])
  })
})
