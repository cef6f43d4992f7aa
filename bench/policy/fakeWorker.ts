/**
 * Fake worker in virtual time with a given profile: a priority queue, prefill of
 * one prompt at a time, decoding in a batch, and a prefix cache with
 * least-recently-used eviction.
 */
import type { CacheEvent } from '../../src/ports/endpointPort.js'
import type { PrefixChain } from '../../src/prefix/prefixTypes.js'
import type { Usage } from '../../src/routing/routingTypes.js'
import type { VirtualTime } from '../../test/fakes/virtualTime.js'
import type { WorkerProfile } from './benchTypes.js'

/** One request at a worker. */
export interface Job {
  readonly chain: PrefixChain
  readonly completionTokens: number
  readonly priority: number
  readonly onFirstToken: () => void
  readonly onFinished: (usage: Usage) => void
  readonly onFailed: () => void
  /** Progress of the job; `ended` covers finished, cancelled and failed jobs. */
  phase: 'waiting' | 'prefill' | 'decode' | 'ended'
  /** Prompt tokens that were in the cache when prefill started. */
  cachedTokens: number
  /** Incarnation of the worker that took the job. */
  incarnation: number
}

/** Load of a worker as its report gives it. */
export interface FakeReport {
  readonly running: number
  readonly waiting: number
  readonly waitingTokens: number
}

/** A fake worker. */
export interface FakeWorker {
  readonly id: string
  readonly dataCentre: string
  readonly profile: WorkerProfile
  readonly incarnation: () => string
  readonly up: () => boolean
  /** Queues a job; false if the worker is down. */
  readonly submit: (job: Job) => boolean
  readonly cancel: (job: Job) => void
  /** Fails all jobs, empties the cache and takes the worker down. */
  readonly crash: () => void
  readonly restart: () => void
  readonly report: () => FakeReport
  /** Returns the tokens of the longest prefix of a prompt that the cache holds now. */
  readonly cachedTokens: (chain: PrefixChain) => number
  /** Returns the time until a new prompt's prefill would start, in ms, from the worker's actual queue and cache. */
  readonly exactWait: (priority: number) => number
  /** Returns a snapshot of the cache as `stored` events. */
  readonly listing: () => readonly CacheEvent[]
  /** Returns and clears the cache events since the last call. */
  readonly takeEvents: () => readonly CacheEvent[]
}

/** Fixed time of each prefill, in ms. */
const prefillOverhead = 8
/** Fraction by which a full decoding batch lengthens prefill. */
const batchSlowdown = 0.3

/** Creates an idle worker with an empty cache. */
export const createFakeWorker = (id: string, dataCentre: string, profile: WorkerProfile, time: VirtualTime): FakeWorker => {
  /** Tokens by block, in order of eviction. */
  const cache = new Map<string, number>()
  const waiting: Job[] = []
  let events: CacheEvent[] = []
  let storedTokens = 0
  let running = 0
  let prefilling: { job: Job, until: number } | undefined
  let incarnation = 1
  let alive = true

  const cachedBlocks = (chain: PrefixChain): number => {
    let count = 0
    while (count < chain.blocks.length && cache.has(chain.blocks[count])) count++
    return count
  }

  const tokensOf = (chain: PrefixChain, blocks: number): number => blocks === 0 ? 0 : chain.tokenEnds[blocks - 1]

  const evict = (): void => {
    for (const [block, tokens] of cache) {
      if (storedTokens <= profile.cacheTokens) return
      cache.delete(block)
      storedTokens -= tokens
      events.push({ kind: 'removed', block })
    }
  }

  const store = (chain: PrefixChain): void => {
    for (let index = chain.blocks.length - 1; index >= 0; index--) {
      const block = chain.blocks[index]
      const knownTokens = cache.get(block)
      const tokens = knownTokens ?? tokensOf(chain, index + 1) - tokensOf(chain, index)
      if (knownTokens === undefined) {
        storedTokens += tokens
        events.push({ kind: 'stored', block })
      } else cache.delete(block)
      cache.set(block, tokens)
    }
    evict()
  }

  const prefillTime = (uncached: number): number =>
    prefillOverhead + uncached / profile.prefillRate * (1 + batchSlowdown * running / profile.slots)

  const finish = (job: Job): void => {
    if (job.phase !== 'decode' || job.incarnation !== incarnation) return
    job.phase = 'ended'
    running--
    job.onFinished({ promptTokens: job.chain.tokens, cachedTokens: job.cachedTokens, completionTokens: job.completionTokens })
    startNext()
  }

  const finishPrefill = (job: Job): void => {
    if (prefilling?.job !== job || job.incarnation !== incarnation) return
    prefilling = undefined
    store(job.chain)
    if (job.phase === 'prefill') {
      job.phase = 'decode'
      job.onFirstToken()
      const perToken = profile.tokenTime * (1 + running / profile.slots)
      time.after(job.completionTokens * perToken, () => finish(job))
    }
    startNext()
  }

  const startNext = (): void => {
    if (!alive || prefilling !== undefined || running >= profile.slots) return
    const job = waiting.shift()
    if (job === undefined) return
    running++
    job.phase = 'prefill'
    job.cachedTokens = tokensOf(job.chain, cachedBlocks(job.chain))
    const duration = prefillTime(job.chain.tokens - job.cachedTokens)
    prefilling = { job, until: time.now() + duration }
    time.after(duration, () => finishPrefill(job))
  }

  const submit = (job: Job): boolean => {
    if (!alive) return false
    job.incarnation = incarnation
    job.phase = 'waiting'
    const position = waiting.findIndex(other => other.priority < job.priority)
    waiting.splice(position < 0 ? waiting.length : position, 0, job)
    startNext()
    return true
  }

  const cancel = (job: Job): void => {
    if (job.incarnation !== incarnation) return
    const position = waiting.indexOf(job)
    if (position >= 0) waiting.splice(position, 1)
    if (job.phase === 'decode' || job.phase === 'prefill') running--
    job.phase = 'ended'
    startNext()
  }

  const jobs = new Set<Job>()

  const crash = (): void => {
    alive = false
    incarnation++
    const lost = [...jobs].filter(job => job.phase !== 'ended')
    jobs.clear()
    waiting.length = 0
    running = 0
    prefilling = undefined
    cache.clear()
    storedTokens = 0
    events = []
    for (const job of lost) {
      job.phase = 'ended'
      job.onFailed()
    }
  }

  const exactWait = (priority: number): number => {
    const now = time.now()
    const ahead = waiting.filter(job => job.priority >= priority)
    const queued = ahead.reduce((sum, job) => sum + prefillTime(job.chain.tokens - tokensOf(job.chain, cachedBlocks(job.chain))), 0)
    const excess = Math.max(0, running + ahead.length + 1 - profile.slots)
    const meanServiceTime = profile.tokenTime * 2 * 80
    return Math.max(0, (prefilling?.until ?? now) - now) + queued + excess * meanServiceTime / profile.slots
  }

  return {
    id,
    dataCentre,
    profile,
    incarnation: () => `${id}.${incarnation}`,
    up: () => alive,
    submit: job => {
      jobs.add(job)
      if (jobs.size > 4 * profile.slots) for (const old of jobs) if (old.phase === 'ended') jobs.delete(old)
      return submit(job)
    },
    cancel,
    crash,
    restart: () => {
      alive = true
    },
    report: () => ({
      running,
      waiting: waiting.length,
      waitingTokens: waiting.reduce((sum, job) => sum + job.chain.tokens, 0)
    }),
    cachedTokens: chain => tokensOf(chain, cachedBlocks(chain)),
    exactWait,
    listing: () => [...cache.keys()].map(block => ({ kind: 'stored', block })),
    takeEvents: () => {
      const taken = events
      events = []
      return taken
    }
  }
}
