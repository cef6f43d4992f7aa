import type { Endpoint } from '../endpoints/endpointsTypes.js'
import { loadHash } from '../hash.js'
import type { CacheEvent } from '../ports/endpointPort.js'
import { createPrefixHasher } from '../prefix/prefixHasher.js'
import type { PrefixChain } from '../prefix/prefixTypes.js'
import { createRandom } from '../random.js'
import { createBlockSet } from './blockSet.js'
import { createCache } from './cacheMachine.js'
import type { Cache, CacheEffect, CacheOptions } from './cacheTypes.js'
import { cacheDefaults } from './cacheTypes.js'

const worker = (id: string, incarnation = 'i1'): Endpoint => ({
  id,
  kind: 'worker',
  address: { host: '127.0.0.1', port: 1 },
  dataCentre: 'd',
  incarnation,
  state: 'live',
  fenced: true,
  models: [],
  slots: 8,
  since: 0
})

interface Setting {
  readonly cache: Cache
  readonly workers: Map<string, Endpoint>
  readonly chain: PrefixChain
  readonly tick: (now: number) => readonly CacheEffect[]
  readonly events: (seq: number, events: readonly CacheEvent[], changes?: { full?: boolean, incarnation?: string }) => void
}

const stored = (blocks: readonly string[]): CacheEvent[] => blocks.map(block => ({ kind: 'stored', block }))

const createSetting = async (changes: Partial<CacheOptions> = {}, ids: readonly string[] = ['w']): Promise<Setting> => {
  const workers = new Map(ids.map(id => [id, worker(id)]))
  const cache = createCache({
    ...cacheDefaults,
    random: createRandom(3),
    endpointOf: id => workers.get(id),
    workers: () => [...workers.values()],
    ...changes
  })
  const chain = createPrefixHasher(await loadHash()).chain({ workspace: 'ws', model: 'm', weightVersion: '1' }, ['g'.repeat(2000), 'branch'])
  const events: Setting['events'] = (seq, list, { full = false, incarnation = 'i1' } = {}) => {
    cache.handle({ kind: 'endpoint.events', endpoint: ids[0], incarnation, seq, full, events: list }, 100)
  }
  return { cache, workers, chain, tick: now => cache.handle({ kind: 'tick' }, now), events }
}

describe('cache knowledge', () => {
  it('follows a worker and knows its blocks from the listing and the events after it', async () => {
    const { cache, chain, tick, events } = await createSetting()
    expect(tick(0)).toMatchObject([{ kind: 'endpoint.follow', endpoint: 'w' }])
    expect(cache.matched('w', 'i1', chain, 1).known).toBe(false)
    events(5, stored(chain.blocks.slice(0, 2)), { full: true })
    expect(cache.matched('w', 'i1', chain, 200)).toMatchObject({ blocks: 2, certain: true })
    events(6, stored(chain.blocks.slice(2)))
    expect(cache.matched('w', 'i1', chain, 200).blocks).toBe(chain.blocks.length)
    events(7, [{ kind: 'removed', block: chain.blocks[chain.blocks.length - 1] }])
    expect(cache.matched('w', 'i1', chain, 200).blocks).toBe(chain.blocks.length - 1)
  })

  it('takes a repeated or late batch once', async () => {
    const { cache, chain, tick, events } = await createSetting()
    tick(0)
    events(1, stored(chain.blocks), { full: true })
    events(2, [{ kind: 'removed', block: chain.blocks[0] }])
    events(1, stored(chain.blocks))
    events(1, stored(chain.blocks), { full: true })
    expect(cache.matched('w', 'i1', chain, 200)).toMatchObject({ certain: true })
    expect(cache.dump().workers[0].blocks).toBe(chain.blocks.length - 1)
  })

  it('doubts a worker after a gap and asks for a listing later', async () => {
    const { cache, chain, tick, events } = await createSetting()
    tick(0)
    events(1, stored(chain.blocks), { full: true })
    events(3, [])
    expect(cache.matched('w', 'i1', chain, 200)).toMatchObject({ certain: false, known: true })
    expect(tick(400)).toMatchObject([{ kind: 'endpoint.follow' }])
    events(9, [], { full: true })
    expect(cache.matched('w', 'i1', chain, 500)).toMatchObject({ blocks: 0, certain: true })
  })

  it('does not take a listing for the present state when later events have arrived before it', async () => {
    const { cache, chain, tick, events } = await createSetting()
    tick(0)
    events(2, [{ kind: 'removed', block: chain.blocks[0] }])
    events(1, stored(chain.blocks), { full: true })
    expect(cache.matched('w', 'i1', chain, 150).certain).toBe(false)
    expect(tick(200)).toMatchObject([{ kind: 'endpoint.follow' }])
    events(2, [], { full: true })
    expect(cache.matched('w', 'i1', chain, 300)).toMatchObject({ blocks: 0, certain: true })
  })

  it('relies on nothing of a dead incarnation, neither events nor answers', async () => {
    const { cache, workers, chain, tick, events } = await createSetting()
    tick(0)
    events(1, stored(chain.blocks), { full: true })
    cache.learned('w', 'i1', chain, 0, 100)
    expect(cache.matched('w', 'i2', chain, 200).blocks).toBe(0)
    workers.set('w', worker('w', 'i2'))
    tick(250)
    events(2, stored(chain.blocks), { full: true })
    cache.learned('w', 'i1', chain, chain.tokens, 300)
    expect(cache.matched('w', 'i2', chain, 300).blocks).toBe(0)
  })

  it('asks for a few listings at once after a herd of gaps', async () => {
    const ids = Array.from({ length: 20 }, (_, index) => `w${index}`)
    const { tick } = await createSetting({ listingsAtOnce: 4 }, ids)
    expect(tick(0)).toHaveLength(4)
    expect(tick(50)).toHaveLength(0)
  })

  it('follows only the workers that it uses when there are many', async () => {
    const ids = Array.from({ length: 20 }, (_, index) => `w${index}`)
    const { cache, chain, tick } = await createSetting({ maxFollowed: 3 }, ids)
    expect(tick(0)).toHaveLength(0)
    for (let index = 0; index < 5; index++) cache.learned('w7', 'i1', chain, 0, 100)
    expect(tick(1000)).toMatchObject([{ kind: 'endpoint.follow', endpoint: 'w7' }])
  })

  it('believes answers until their retention has passed, and learns the retention', async () => {
    const { cache, chain } = await createSetting({ depth: 'none' })
    cache.learned('w', 'i1', chain, 0, 0)
    const match = cache.matched('w', 'i1', chain, 10_000)
    expect(match).toMatchObject({ blocks: chain.blocks.length, certain: false })
    for (let index = 0; index < 8; index++) cache.learned('w', 'i1', chain, 0, 10_000, match)
    expect(cache.matched('w', 'i1', chain, 25_000).blocks).toBe(0)
  })
})

describe('block set', () => {
  it('agrees with a set of strings under random changes', () => {
    const random = createRandom(11)
    const set = createBlockSet(10_000)
    const model = new Set<string>()
    for (let step = 0; step < 20_000; step++) {
      const [high, low] = [random.below(4), random.below(300) * 64 + 1]
      const key = `${high}:${low}`
      if (random.below(2) === 0) {
        set.add(high, low)
        model.add(key)
      } else {
        set.remove(high, low)
        model.delete(key)
      }
      if (set.has(high, low) !== model.has(key)) expect(step).toBe('equal')
    }
    expect(set.size()).toBe(model.size)
  })
})
