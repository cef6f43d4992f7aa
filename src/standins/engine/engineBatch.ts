/**
 * Continuous batching in a simple form: requests wait by priority for a slot,
 * share the speed of prefill in that order, and then decode side by side.
 */
import type { PrefixChain } from '../../prefix/prefixTypes.js'
import type { EngineCache } from './engineCache.js'
import type { Sample } from './engineSample.js'
import type { ServedRequest } from './engineServedRequest.js'

/** A request in the engine; `events` are the JSON texts of its stream by position. */
export interface Job {
  readonly served: ServedRequest
  readonly sample: Sample
  readonly token: (position: number) => string
  readonly chain: PrefixChain
  readonly priority: number
  readonly events: string[]
  state: 'waiting' | 'prefill' | 'decode' | 'over'
  /** Prompt tokens still to compute. */
  prefillLeft: number
  nextTokenAt: number
  /** When its last reader left, in ms; undefined while it is read. */
  unreadSince: number | undefined
  overAt: number
}

/** Settings of the batch. */
export interface BatchOptions {
  readonly slots: number
  readonly prefillTokensPerSecond: number
  readonly decodeTime: number
  readonly resumeWindow: number
  readonly cache: EngineCache
}

/** The batch. */
export interface Batch {
  readonly add: (job: Job) => void
  /** Lets the time since the last step pass; returns the jobs with new events. */
  readonly step: (now: number) => readonly Job[]
  readonly cancel: (id: string, now: number) => void
  readonly find: (id: string) => Job | undefined
  readonly load: () => { readonly running: number, readonly waiting: number, readonly waitingTokens: number }
  readonly clear: () => void
  /** Whether jobs wait or run, are only kept for late readers, or none is left. */
  readonly activity: () => 'working' | 'keeping' | 'idle'
}

const maxStep = 1_000 // ms of prefill that one step may catch up

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
 * @param options - speeds and bounds
 * @returns the batch
 */
export const createBatch = (options: BatchOptions): Batch => {
  const { cache, slots } = options
  const jobs = new Map<string, Job>()
  let waiting: Job[] = []
  let running: Job[] = []
  let steppedAt = 0

  const end = (job: Job, outcome: ServedRequest['outcome'], now: number): void => {
    job.state = 'over'
    job.overAt = now
    job.served.outcome = outcome
  }

  const admit = (): void => {
    if (waiting.length === 0) return
    waiting.sort((left, right) => right.priority - left.priority)
    for (const job of waiting.splice(0, Math.max(0, slots - running.length))) {
      const held = cache.held(job.chain.blocks, job.served.salt)
      job.served.cachedTokens = held === 0 ? 0 : job.chain.tokenEnds[held - 1]
      job.prefillLeft = job.served.promptTokens - job.served.cachedTokens
      job.state = 'prefill'
      running.push(job)
    }
  }

  const prefill = (now: number): void => {
    let budget = Math.min(maxStep, now - steppedAt) * options.prefillTokensPerSecond / 1_000
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

  const forget = (now: number): void => {
    for (const [id, job] of jobs) {
      const unread = job.unreadSince !== undefined && now - job.unreadSince > options.resumeWindow
      if (unread && job.state !== 'over') end(job, 'cancelled', now)
      if (job.state === 'over' && unread && now - job.overAt > options.resumeWindow) jobs.delete(id)
    }
  }

  const step = (now: number): readonly Job[] => {
    forget(now)
    waiting = waiting.filter(job => job.state !== 'over')
    running = running.filter(job => job.state !== 'over')
    admit()
    prefill(now)
    steppedAt = now
    return running.filter(job => decode(job, now))
  }

  const cancel = (id: string, now: number): void => {
    const job = jobs.get(id)
    if (job !== undefined && job.state !== 'over') end(job, 'cancelled', now)
  }

  const clear = (): void => {
    for (const job of jobs.values()) {
      if (job.state !== 'over') end(job, 'lost', steppedAt)
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
      return waiting.length + running.length > 0 ? 'working' : 'keeping'
    }
  }
}
