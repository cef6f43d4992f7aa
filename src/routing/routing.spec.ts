import type { Endpoint } from '../endpoints/endpointsTypes.js'
import { loadHash } from '../hash.js'
import { createCache } from '../cache/cacheMachine.js'
import { cacheDefaults } from '../cache/cacheTypes.js'
import { createPrefixHasher } from '../prefix/prefixHasher.js'
import { createRandom } from '../random.js'
import { createRouting } from './routingMachine.js'
import type { WorkerChoice, RoutingRequest, Routing } from './routingTypes.js'
import { latencyObjective } from './routingTypes.js'

const model = { model: 'm', weightVersion: '1' }

const worker = (id: string, changes: Partial<Endpoint> = {}): Endpoint => ({
  id,
  kind: 'worker',
  address: { host: '127.0.0.1', port: 1 },
  dataCentre: 'd',
  incarnation: 'i1',
  state: 'live',
  fenced: true,
  models: [model],
  slots: 8,
  since: 0,
  ...changes
})

const service = (id: string, dataCentre: string): Endpoint =>
  worker(id, { kind: 'service', dataCentre, models: [{ model: 'booking', weightVersion: '' }] })

const fleetOf = (count: number): Endpoint[] => Array.from({ length: count }, (_, index) => worker(`w${index}`))

const createSetting = async (seed: number, endpoints: () => readonly Endpoint[]): Promise<{ routing: Routing, ask: (texts: readonly string[], changes?: Partial<RoutingRequest>) => RoutingRequest }> => {
  const hash = await loadHash()
  const random = createRandom(seed)
  const cache = createCache({ ...cacheDefaults, random, workers: endpoints, endpointOf: id => endpoints().find(one => one.id === id) })
  const prefix = createPrefixHasher(hash)
  const ask = (texts: readonly string[], changes: Partial<RoutingRequest> = {}): RoutingRequest => {
    const chain = prefix.chain({ workspace: 'ws', ...model }, texts)
    return { workspace: 'ws', ...model, chain, promptTokens: chain.tokens, expectedTokens: 100, priority: 0, worth: 1, deadline: 1e6, exclude: [], ...changes }
  }
  return { routing: createRouting({ hash, random, cache, objective: latencyObjective, dataCentre: 'd' }), ask }
}

const guidance = 'g'.repeat(6000)

describe('routing', () => {
  it('gives the same answer from every fresh instance', async () => {
    for (const size of [6, 100]) {
      const endpoints = fleetOf(size)
      const chosen = new Set<string>()
      for (let seed = 1; seed <= 8; seed++) {
        const { routing, ask } = await createSetting(seed, () => endpoints)
        chosen.add(routing.choose(ask([guidance, 'branch '.repeat(60), 'listing '.repeat(40)]), endpoints, 0)._unsafeUnwrap().endpoint)
      }
      expect(chosen.size).toBe(1)
    }
  })

  it('never chooses an endpoint that is not live, excluded, or holds something else', async () => {
    const endpoints = [
      worker('leaving', { state: 'leaving' }),
      worker('suspect', { state: 'suspect' }),
      worker('older', { models: [{ model: 'm', weightVersion: '0' }] }),
      worker('adapted', { models: [{ model: 'm', adapter: 'a', weightVersion: '1' }] }),
      worker('excluded'),
      worker('right')
    ]
    const { routing, ask } = await createSetting(1, () => endpoints)
    for (let index = 0; index < 50; index++) {
      expect(routing.choose(ask([`p${index}`], { exclude: ['excluded'] }), endpoints, 0)._unsafeUnwrap().endpoint).toBe('right')
    }
    expect(routing.choose(ask(['p'], { weightVersion: '2' }), endpoints, 0)._unsafeUnwrapErr()).toMatchObject({ reason: 'notHeld' })
    expect(routing.choose(ask(['p'], { allowed: [] }), endpoints, 0)._unsafeUnwrapErr()).toMatchObject({ reason: 'allExcluded' })
  })

  it('notices at once that an endpoint has left, and that it came back', async () => {
    const live = fleetOf(3)
    const { routing, ask } = await createSetting(1, () => live)
    const first = routing.choose(ask([guidance]), live, 0)._unsafeUnwrap().endpoint
    const left = live.map(one => one.id === first ? { ...one, state: 'leaving' as const } : one)
    expect(routing.choose(ask([guidance]), left, 1)._unsafeUnwrap().endpoint).not.toBe(first)
    expect(routing.choose(ask([guidance]), live, 2)._unsafeUnwrap().endpoint).toBe(first)
  })

  it('spills a burst of one prefix over several workers, counting its own requests at once', async () => {
    const endpoints = fleetOf(6)
    const { routing, ask } = await createSetting(1, () => endpoints)
    const used = new Map<string, number>()
    for (let index = 0; index < 48; index++) {
      const question = ask([guidance, `listing ${index}`])
      const choice = routing.choose(question, endpoints, 0)._unsafeUnwrap()
      routing.started(question, choice, 0)
      used.set(choice.endpoint, (used.get(choice.endpoint) ?? 0) + 1)
    }
    expect(used.size).toBeGreaterThanOrEqual(4)
    expect(Math.max(...used.values())).toBeLessThanOrEqual(16)
  })

  it('learns that a worker is slow and gives it less', async () => {
    const endpoints = fleetOf(2)
    const { routing, ask } = await createSetting(1, () => endpoints)
    const speed: Record<string, number> = { w0: 0.1, w1: 1 }
    const used: Record<string, number> = { w0: 0, w1: 0 }
    let now = 0
    for (let index = 0; index < 200; index++) {
      const question = ask([`${index}`.repeat(2000)])
      const choice: WorkerChoice = routing.choose(question, endpoints, now)._unsafeUnwrap()
      const flight = routing.started(question, choice, now)
      now += question.promptTokens * speed[choice.endpoint]
      routing.firstToken(flight, now)
      routing.finished(flight, { promptTokens: question.promptTokens, cachedTokens: 0, completionTokens: 10 }, now + 10)
      if (index >= 100) used[choice.endpoint]++
    }
    expect(used.w0).toBeGreaterThan(4 * used.w1)
  })

  it('counts nothing twice when an attempt ends twice or after a restart', async () => {
    let endpoints = fleetOf(1)
    const { routing, ask } = await createSetting(1, () => endpoints)
    const question = ask([guidance])
    const start = (): ReturnType<Routing['started']> => routing.started(question, routing.choose(question, endpoints, 0)._unsafeUnwrap(), 0)
    const [one, two] = [start(), start()]
    routing.failed(one)
    routing.failed(one)
    expect(routing.dump().workers[0]).toMatchObject({ inFlight: 1 })
    endpoints = [worker('w0', { incarnation: 'i2' })]
    start()
    routing.finished(two, { promptTokens: 1500, cachedTokens: 0, completionTokens: 1 }, 5)
    expect(routing.dump().workers[0]).toMatchObject({ inFlight: 1, incarnation: 'i2' })
  })

  it('starts a worker slowly after its restart, but not because this instance is fresh', async () => {
    let endpoints = [worker('w0', { since: 1000 })]
    const { routing, ask } = await createSetting(1, () => endpoints)
    const question = ask(['p'])
    const waitWithFour = (now: number): number => {
      for (let index = 0; index < 4; index++) routing.started(question, routing.choose(question, endpoints, now)._unsafeUnwrap(), now)
      return routing.explain(question, endpoints, now)[0].wait
    }
    expect(waitWithFour(1000)).toBeLessThan(50)
    endpoints = [worker('w0', { since: 2000, incarnation: 'i2' })]
    expect(waitWithFour(2000)).toBeGreaterThan(500)
  })

  it('sends service calls to the nearest free endpoint', async () => {
    const endpoints = [service('near', 'd'), service('far', 'e')]
    const { routing } = await createSetting(1, () => endpoints)
    const choose = (exclude: string[] = []): string => routing.chooseService({ service: 'booking', exclude }, endpoints)._unsafeUnwrap().endpoint
    expect(choose()).toBe('near')
    expect(choose(['near'])).toBe('far')
    for (let index = 0; index < 8; index++) routing.serviceStarted('near')
    expect(choose()).toBe('far')
    expect(routing.chooseService({ service: 'other', exclude: [] }, endpoints)._unsafeUnwrapErr()).toMatchObject({ reason: 'noService' })
  })
})
