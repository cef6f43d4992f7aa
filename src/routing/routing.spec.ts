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

const createWorkers = (count: number): Endpoint[] => Array.from({ length: count }, (_, index) => worker(`w${index}`))

const createTestRouting = async (seed: number, endpoints: () => readonly Endpoint[]): Promise<{ routing: Routing, ask: (texts: readonly string[], changes?: Partial<RoutingRequest>) => RoutingRequest }> => {
  const hash = await loadHash()
  const random = createRandom(seed)
  const cache = createCache({ ...cacheDefaults, random, workers: endpoints, endpointOf: id => endpoints().find(endpoint => endpoint.id === id) })
  const prefix = createPrefixHasher(hash)
  const ask = (texts: readonly string[], changes: Partial<RoutingRequest> = {}): RoutingRequest => {
    const chain = prefix.chain({ workspace: 'ws', ...model }, texts)
    return { workspace: 'ws', ...model, chain, promptTokens: chain.tokens, expectedTokens: 100, priority: 0, worth: 1, deadline: 1e6, exclude: [], ...changes }
  }
  return { routing: createRouting({ hash, random, cache, objective: latencyObjective, dataCentre: 'd' }), ask }
}

const systemPrompt = 'g'.repeat(6000)

describe('routing', () => {
  it('gives the same answer from every fresh instance', async () => {
    for (const size of [6, 100]) {
      const endpoints = createWorkers(size)
      const chosen = new Set<string>()
      for (let seed = 1; seed <= 8; seed++) {
        const { routing, ask } = await createTestRouting(seed, () => endpoints)
        chosen.add(routing.choose(ask([systemPrompt, 'branch '.repeat(60), 'listing '.repeat(40)]), endpoints, 0)._unsafeUnwrap().endpoint)
      }
      expect(chosen.size).toBe(1)
    }
  })

  it('never chooses an endpoint that is not live, is excluded or holds another model, adapter or weight version', async () => {
    const endpoints = [
      worker('leaving', { state: 'leaving' }),
      worker('suspect', { state: 'suspect' }),
      worker('older', { models: [{ model: 'm', weightVersion: '0' }] }),
      worker('adapted', { models: [{ model: 'm', adapter: 'a', weightVersion: '1' }] }),
      worker('excluded'),
      worker('right')
    ]
    const { routing, ask } = await createTestRouting(1, () => endpoints)
    for (let index = 0; index < 50; index++) {
      expect(routing.choose(ask([`p${index}`], { exclude: ['excluded'] }), endpoints, 0)._unsafeUnwrap().endpoint).toBe('right')
    }
    expect(routing.choose(ask(['p'], { weightVersion: '2' }), endpoints, 0)._unsafeUnwrapErr()).toMatchObject({ reason: 'notHeld' })
    expect(routing.choose(ask(['p'], { allowed: [] }), endpoints, 0)._unsafeUnwrapErr()).toMatchObject({ reason: 'allExcluded' })
  })

  it('stops choosing an endpoint as soon as it is leaving, and chooses it again as soon as it is live', async () => {
    const live = createWorkers(3)
    const { routing, ask } = await createTestRouting(1, () => live)
    const first = routing.choose(ask([systemPrompt]), live, 0)._unsafeUnwrap().endpoint
    const withoutFirst = live.map(endpoint => endpoint.id === first ? { ...endpoint, state: 'leaving' as const } : endpoint)
    expect(routing.choose(ask([systemPrompt]), withoutFirst, 1)._unsafeUnwrap().endpoint).not.toBe(first)
    expect(routing.choose(ask([systemPrompt]), live, 2)._unsafeUnwrap().endpoint).toBe(first)
  })

  it('spreads a burst of requests with one prefix over several workers by its own requests in flight', async () => {
    const endpoints = createWorkers(6)
    const { routing, ask } = await createTestRouting(1, () => endpoints)
    const counts = new Map<string, number>()
    for (let index = 0; index < 48; index++) {
      const request = ask([systemPrompt, `listing ${index}`])
      const choice = routing.choose(request, endpoints, 0)._unsafeUnwrap()
      routing.started(request, choice, 0)
      counts.set(choice.endpoint, (counts.get(choice.endpoint) ?? 0) + 1)
    }
    expect(counts.size).toBeGreaterThanOrEqual(4)
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(16)
  })

  it('sends fewer requests to a worker that is measured to be slower', async () => {
    const endpoints = createWorkers(2)
    const { routing, ask } = await createTestRouting(1, () => endpoints)
    const costPerToken: Record<string, number> = { w0: 0.1, w1: 1 }
    const counts: Record<string, number> = { w0: 0, w1: 0 }
    let now = 0
    for (let index = 0; index < 200; index++) {
      const request = ask([`${index}`.repeat(2000)])
      const choice: WorkerChoice = routing.choose(request, endpoints, now)._unsafeUnwrap()
      const dispatched = routing.started(request, choice, now)
      now += request.promptTokens * costPerToken[choice.endpoint]
      routing.firstToken(dispatched, now)
      routing.finished(dispatched, { promptTokens: request.promptTokens, cachedTokens: 0, completionTokens: 10 }, now + 10)
      if (index >= 100) counts[choice.endpoint]++
    }
    expect(counts.w0).toBeGreaterThan(4 * counts.w1)
  })

  it('counts each request once when it ends twice or ends after a restart of the worker', async () => {
    let endpoints = createWorkers(1)
    const { routing, ask } = await createTestRouting(1, () => endpoints)
    const request = ask([systemPrompt])
    const start = (): ReturnType<Routing['started']> => routing.started(request, routing.choose(request, endpoints, 0)._unsafeUnwrap(), 0)
    const [first, second] = [start(), start()]
    routing.failed(first)
    routing.failed(first)
    expect(routing.dump().workers[0]).toMatchObject({ inFlight: 1 })
    endpoints = [worker('w0', { incarnation: 'i2' })]
    start()
    routing.finished(second, { promptTokens: 1500, cachedTokens: 0, completionTokens: 1 }, 5)
    expect(routing.dump().workers[0]).toMatchObject({ inFlight: 1, incarnation: 'i2' })
  })

  it('reduces the slots of a worker after its restart, but not because this instance has just started', async () => {
    let endpoints = [worker('w0', { since: 1000 })]
    const { routing, ask } = await createTestRouting(1, () => endpoints)
    const request = ask(['p'])
    const waitWithFour = (now: number): number => {
      for (let index = 0; index < 4; index++) routing.started(request, routing.choose(request, endpoints, now)._unsafeUnwrap(), now)
      return routing.explain(request, endpoints, now)[0].wait
    }
    expect(waitWithFour(1000)).toBeLessThan(50)
    endpoints = [worker('w0', { since: 2000, incarnation: 'i2' })]
    expect(waitWithFour(2000)).toBeGreaterThan(500)
  })

  it('sends service calls to its own data centre first, and to another one when the endpoint there is excluded or full', async () => {
    const endpoints = [service('near', 'd'), service('far', 'e')]
    const { routing } = await createTestRouting(1, () => endpoints)
    const choose = (exclude: string[] = []): string => routing.chooseService({ service: 'booking', exclude }, endpoints)._unsafeUnwrap().endpoint
    expect(choose()).toBe('near')
    expect(choose(['near'])).toBe('far')
    for (let index = 0; index < 8; index++) routing.serviceStarted('near')
    expect(choose()).toBe('far')
    expect(routing.chooseService({ service: 'other', exclude: [] }, endpoints)._unsafeUnwrapErr()).toMatchObject({ reason: 'noService' })
  })
})
