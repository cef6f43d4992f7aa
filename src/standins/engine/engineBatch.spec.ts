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
    detachedSince: undefined,
    endedAt: 0
  }
}

const run = (batch: Batch, from: number, to: number): void => {
  for (let now = from; now <= to; now += 5) batch.step(now)
}

describe('batch', () => {
  test('computes only the uncached prompt tokens in prefill', () => {
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

  test('does not reuse blocks cached under another salt', () => {
    const { batch } = createFixture()
    batch.add(createJob('north', { blocks: ['a'] }))
    run(batch, 0, 200)
    const south = createJob('south', { blocks: ['a'], salt: 'south' })
    batch.add(south)
    run(batch, 205, 400)
    expect(south.served.cachedTokens).toBe(0)
  })

  test('admits requests of higher priority first and runs no more requests than slots', () => {
    const { batch } = createFixture()
    const jobs = [createJob('one'), createJob('two'), createJob('low'), createJob('high', { priority: 5 })]
    for (const job of jobs) batch.add(job)
    run(batch, 0, 0)
    expect(batch.load()).toEqual({ running: 2, waiting: 2, waitingTokens: 200 })
    expect(jobs.map(({ state }) => state)).toEqual(['prefill', 'waiting', 'waiting', 'prefill'])
  })

  test('cancels a stream without a reader after the resume window', () => {
    const { batch } = createFixture()
    const job = createJob('left', { maxTokens: 1_000 })
    batch.add(job)
    run(batch, 0, 200)
    job.detachedSince = 200
    run(batch, 205, 700)
    expect(job.served.outcome).toBe('open')
    run(batch, 705, 705)
    expect(job.served.outcome).toBe('cancelled')
  })
})

describe('cache', () => {
  test('evicts the least recently used block first, and the last block of a chain before its first', () => {
    const cache = createEngineCache(3)
    cache.store(['a', 'b', 'c'], 's')
    cache.store(['a', 'x'], 's')
    expect(cache.held(['a', 'x'], 's')).toBe(2)
    expect(cache.held(['a', 'b', 'c'], 's')).toBe(2)
    cache.flush()
    expect(cache.since(1)).toMatchObject({ seq: 1, full: false, events: expect.arrayContaining([{ kind: 'removed', block: 'c' }]) })
  })

  test('leaves a gap in the sequence numbers for a dropped batch', () => {
    const cache = createEngineCache(10)
    for (const block of ['a', 'b', 'c']) {
      if (block === 'b') cache.dropBatches(1)
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
    const parsed = parseSample(json, version)
    if ('complaint' in parsed) throw new TypeError(parsed.complaint)
    const token = createTokenFunction(hash, parsed.sample.key)
    return Array.from({ length: count }, (_, index) => token(parsed.sample.from + index))
  }

  test('continues the same token sequence when a request carries partial output', () => {
    const sequence = tokens(body, '1', 8)
    const partialOutput = sequence.slice(0, 5).join('')
    const chat = { ...body, messages: [message, { role: 'assistant', content: partialOutput }], continue_final_message: true, x_continue_tokens: 5 }
    expect(tokens(chat, '1', 3)).toEqual(sequence.slice(5))
    const plain = { model: 'drafter', stream: true, prompt: 'a cottage' }
    const plainSequence = tokens(plain, '1', 8)
    expect(tokens({ ...plain, prompt: `a cottage${plainSequence.slice(0, 5).join('')}`, x_continue_tokens: 5 }, '1', 3)).toEqual(plainSequence.slice(5))
  })

  test('generates other tokens for another weight version or seed', () => {
    expect(tokens(body, '2', 8)).not.toEqual(tokens(body, '1', 8))
    expect(tokens({ ...body, seed: 1 }, '1', 8)).not.toEqual(tokens(body, '1', 8))
  })
})
