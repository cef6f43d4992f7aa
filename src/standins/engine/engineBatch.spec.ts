import { loadHash } from '../../hash.js'
import type { Hash } from '../../hash.js'
import { createBatch } from './engineBatch.js'
import type { Batch, Job } from './engineBatch.js'
import { createEngineCache } from './engineCache.js'
import type { EngineCache } from './engineCache.js'
import { parseSample, createTokenFunction } from './engineSample.js'

let hash: Hash

beforeAll(async () => {
  hash = await loadHash()
})

const createFixture = (cacheBlocks = 100): { batch: Batch, cache: EngineCache } => {
  const cache = createEngineCache(cacheBlocks)
  return { cache, batch: createBatch({ slots: 2, prefillTokensPerSecond: 1_000, decodeTime: 10, resumeWindow: 500, cache }) }
}

const createJob = (id: string, change: { blocks?: readonly string[], promptTokens?: number, priority?: number, maxTokens?: number, salt?: string } = {}): Job => {
  const { blocks = [`${id}-block`], promptTokens = 100, priority = 0, maxTokens = 3, salt = 'north' } = change
  return {
    served: { kind: 'request', id, workspace: 'north', salt, model: 'drafter', weightVersion: '1', at: 0, promptTokens, from: 0, cachedTokens: 0, generated: 0, outcome: 'open' },
    sample: { chat: true, model: 'drafter', texts: [], key: id, from: 0, maxTokens },
    token: createTokenFunction(hash, id),
    chain: { blocks, words: new Uint32Array(2 * blocks.length), levels: [blocks.length], tokens: promptTokens, tokenEnds: blocks.map((_, index) => promptTokens * (index + 1) / blocks.length) },
    priority,
    events: [],
    state: 'waiting',
    prefillLeft: promptTokens,
    nextTokenAt: 0,
    unreadSince: undefined,
    overAt: 0
  }
}

const run = (batch: Batch, from: number, to: number): void => {
  for (let now = from; now <= to; now += 5) batch.step(now)
}

describe('batch', () => {
  test('prefill takes the time of the uncached tokens only', () => {
    const { batch } = createFixture()
    const cold = createJob('cold', { blocks: ['a', 'b'], maxTokens: 1 })
    batch.add(cold)
    run(batch, 0, 95)
    expect(cold.events).toEqual([])
    run(batch, 100, 100)
    expect(cold.served).toMatchObject({ cachedTokens: 0, outcome: 'finished' })
    const warm = createJob('warm', { blocks: ['a', 'b', 'c', 'd'], maxTokens: 1 })
    batch.add(warm)
    run(batch, 105, 155)
    expect(warm.served).toMatchObject({ cachedTokens: 50, outcome: 'finished' })
  })

  test('another salt finds nothing cached', () => {
    const { batch } = createFixture()
    batch.add(createJob('north', { blocks: ['a'] }))
    run(batch, 0, 200)
    const south = createJob('south', { blocks: ['a'], salt: 'south' })
    batch.add(south)
    run(batch, 205, 400)
    expect(south.served.cachedTokens).toBe(0)
  })

  test('higher priority goes first, and slots bound what runs', () => {
    const { batch } = createFixture()
    const jobs = [createJob('one'), createJob('two'), createJob('low'), createJob('high', { priority: 5 })]
    for (const job of jobs) batch.add(job)
    run(batch, 0, 0)
    expect(batch.load()).toEqual({ running: 2, waiting: 2, waitingTokens: 200 })
    expect(jobs.map(({ state }) => state)).toEqual(['prefill', 'waiting', 'waiting', 'prefill'])
  })

  test('a stream without a reader ends after the window', () => {
    const { batch } = createFixture()
    const job = createJob('left', { maxTokens: 1_000 })
    batch.add(job)
    run(batch, 0, 200)
    job.unreadSince = 200
    run(batch, 205, 700)
    expect(job.served.outcome).toBe('open')
    run(batch, 705, 705)
    expect(job.served.outcome).toBe('cancelled')
  })
})

describe('cache', () => {
  test('the least recently used block goes first, the deepest of a chain before its root', () => {
    const cache = createEngineCache(3)
    cache.store(['a', 'b', 'c'], 's')
    cache.store(['a', 'x'], 's')
    expect(cache.held(['a', 'x'], 's')).toBe(2)
    expect(cache.held(['a', 'b', 'c'], 's')).toBe(2)
    cache.flush()
    expect(cache.since(1)).toMatchObject({ seq: 1, full: false, events: expect.arrayContaining([{ kind: 'removed', block: 'c' }]) })
  })

  test('a lost batch leaves a gap in the numbers', () => {
    const cache = createEngineCache(10)
    for (const block of ['a', 'b', 'c']) {
      if (block === 'b') cache.lose(1)
      cache.store([block], 's')
      cache.flush()
    }
    expect(cache.since(2)).toMatchObject({ seq: 3, events: [{ kind: 'stored', block: 'c' }] })
    expect(cache.since(4)).toBeUndefined()
    expect(cache.since(9)).toMatchObject({ seq: 3, full: true })
  })
})

describe('sample', () => {
  const message = { role: 'user', content: 'a cottage' }
  const body = { model: 'drafter', stream: true, messages: [message] }
  const tokens = (json: unknown, version: string, count: number): string[] => {
    const read = parseSample(json, version)
    if ('complaint' in read) throw new TypeError(read.complaint)
    const token = createTokenFunction(hash, read.sample.key)
    return Array.from({ length: count }, (_, index) => token(read.sample.from + index))
  }

  test('a continuation goes on in the same sample', () => {
    const whole = tokens(body, '1', 8)
    const begun = whole.slice(0, 5).join('')
    const chat = { ...body, messages: [message, { role: 'assistant', content: begun }], continue_final_message: true, x_continue_tokens: 5 }
    expect(tokens(chat, '1', 3)).toEqual(whole.slice(5))
    const plain = { model: 'drafter', stream: true, prompt: 'a cottage' }
    const wholePlain = tokens(plain, '1', 8)
    expect(tokens({ ...plain, prompt: `a cottage${wholePlain.slice(0, 5).join('')}`, x_continue_tokens: 5 }, '1', 3)).toEqual(wholePlain.slice(5))
  })

  test('other weights or another seed give another sample', () => {
    expect(tokens(body, '2', 8)).not.toEqual(tokens(body, '1', 8))
    expect(tokens({ ...body, seed: 1 }, '1', 8)).not.toEqual(tokens(body, '1', 8))
  })
})
