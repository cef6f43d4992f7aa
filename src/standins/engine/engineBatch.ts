/**
 * A simple model of continuous batching. Requests queue by priority for a slot,
 * use the prefill throughput in order of admission, and then decode concurrently.
 */
import type { PrefixChain } from '../../prefix/prefixTypes.js'
import type { EngineCache } from './engineCache.js'
import type { Sample } from './engineSample.js'
import type { ServedRequest } from './engineServedRequest.js'

/** A request in the engine; `events` holds the JSON texts of its stream, indexed by position. */
export interface Job {
  readonly served: ServedRequest
  readonly sample: Sample
  /** Returns the token at a position in the sample. */
  readonly token: (position: number) => string
  readonly chain: PrefixChain
  readonly priority: number
  readonly events: string[]
  state: 'waiting' | 'prefill' | 'decode' | 'ended'
  /** Number of prompt tokens that prefill still has to compute. */
  prefillLeft: number
  /** When the next token is due, in ms. */
  nextTokenAt: number
  /** When the last reader disconnected, in ms; undefined while a reader is connected. */
  detachedSince: number | undefined
  /** When the job ended, in ms; 0 before. */
  endedAt: number
}

/** Options of the batch; see `EngineOptions`. */
export interface BatchOptions {
  readonly slots: number
  readonly prefillTokensPerSecond: number
  /** Time between tokens of one stream, in ms. */
  readonly decodeTime: number
  /** How long a job without a reader continues, in ms. */
  readonly resumeWindow: number
  readonly cache: EngineCache
}

/** The queued, running and recently ended jobs of an engine. */
export interface Batch {
  readonly add: (job: Job) => void
  /** Simulates the time since the last step up to `now`, in ms; returns the jobs with new events. */
  readonly step: (now: number) => readonly Job[]
  /** Ends a job with the outcome `cancelled` unless it has ended. */
  readonly cancel: (id: string, now: number) => void
  readonly find: (id: string) => Job | undefined
  /** Returns the numbers of running and queued jobs, and the prompt tokens of the queued ones. */
  readonly load: () => { readonly running: number, readonly waiting: number, readonly waitingTokens: number }
  /** Removes all jobs; those that have not ended get the outcome `lost`. */
  readonly clear: () => void
  /** Whether jobs are queued or running, ended jobs are only retained for resume, or there are no jobs. */
  readonly activity: () => 'working' | 'retaining' | 'idle'
}

const maxPrefillStep = 1_000 // ms of prefill that one step may simulate

const finalEvent = ({ served, sample }: Job): string => JSON.stringify({
  id: served.id,
  object: sample.chat ? 'chat.completion.chunk' : 'text_completion',
  model: served.model,
  choices: [{ index: 0, ...(sample.chat ? { delta: {} } : { text: '' }), finish_reason: 'length' }],
  usage: {
    prompt_tokens: served.promptTokens,
    completion_tokens: served.generated,
    total_tokens: served.promptTokens + served.generated,
    prompt_tokens_details: { cached_tokens: served.cachedTokens }
  }
})

const tokenEvent = ({ served, sample }: Job, text: string): string => JSON.stringify({
  id: served.id,
  object: sample.chat ? 'chat.completion.chunk' : 'text_completion',
  model: served.model,
  choices: [{ index: 0, ...(sample.chat ? { delta: { content: text } } : { text }), finish_reason: null }]
})

/**
 * Creates an empty batch.
 *
 * @param options - speeds, limits and the prefix cache
 * @returns the batch
 */
export const createBatch = (options: BatchOptions): Batch => {
  const { cache, slots } = options
  const jobs = new Map<string, Job>()
  let waiting: Job[] = []
  let running: Job[] = []
  let steppedAt = 0

  const end = (job: Job, outcome: ServedRequest['outcome'], now: number): void => {
    job.state = 'ended'
    job.endedAt = now
    job.served.outcome = outcome
  }

  const admit = (): void => {
    if (waiting.length === 0) return
    waiting.sort((left, right) => right.priority - left.priority)
    for (const job of waiting.splice(0, Math.max(0, slots - running.length))) {
      const cachedBlocks = cache.held(job.chain.blocks, job.served.salt)
      job.served.cachedTokens = cachedBlocks === 0 ? 0 : job.chain.tokenEnds[cachedBlocks - 1]
      job.prefillLeft = job.served.promptTokens - job.served.cachedTokens
      job.state = 'prefill'
      running.push(job)
    }
  }

  const prefill = (now: number): void => {
    let budget = Math.min(maxPrefillStep, now - steppedAt) * options.prefillTokensPerSecond / 1_000
    for (const job of running) {
      if (job.state !== 'prefill') continue
      const share = Math.min(budget, job.prefillLeft)
      job.prefillLeft -= share
      budget -= share
      if (job.prefillLeft > 0) return
      cache.store(job.chain.blocks, job.served.salt)
      job.state = 'decode'
      job.nextTokenAt = now
    }
  }

  const decode = (job: Job, now: number): boolean => {
    const before = job.events.length
    while (job.state === 'decode' && job.nextTokenAt <= now) {
      const position = job.sample.from + job.served.generated
      job.events.push(tokenEvent(job, job.token(position)))
      job.served.generated++
      job.nextTokenAt += options.decodeTime
      if (job.served.generated < job.sample.maxTokens) continue
      job.events.push(finalEvent(job))
      end(job, 'finished', now)
    }
    return job.events.length > before
  }

  const expireJobs = (now: number): void => {
    for (const [id, job] of jobs) {
      const resumeExpired = job.detachedSince !== undefined && now - job.detachedSince > options.resumeWindow
      if (resumeExpired && job.state !== 'ended') end(job, 'cancelled', now)
      if (job.state === 'ended' && resumeExpired && now - job.endedAt > options.resumeWindow) jobs.delete(id)
    }
  }

  const step = (now: number): readonly Job[] => {
    expireJobs(now)
    waiting = waiting.filter(job => job.state !== 'ended')
    running = running.filter(job => job.state !== 'ended')
    admit()
    prefill(now)
    steppedAt = now
    return running.filter(job => decode(job, now))
  }

  const cancel = (id: string, now: number): void => {
    const job = jobs.get(id)
    if (job !== undefined && job.state !== 'ended') end(job, 'cancelled', now)
  }

  const clear = (): void => {
    for (const job of jobs.values()) {
      if (job.state !== 'ended') end(job, 'lost', steppedAt)
    }
    jobs.clear()
    waiting = []
    running = []
  }

  return {
    add: job => {
      if (waiting.length + running.length === 0) steppedAt = job.served.at
      jobs.set(job.served.id, job)
      waiting.push(job)
    },
    step,
    cancel,
    find: id => jobs.get(id),
    load: () => ({
      running: running.length,
      waiting: waiting.length,
      waitingTokens: waiting.reduce((tokens, job) => tokens + job.served.promptTokens, 0)
    }),
    clear,
    activity: () => {
      if (jobs.size === 0) return 'idle'
      return waiting.length + running.length > 0 ? 'working' : 'retaining'
    }
  }
}
