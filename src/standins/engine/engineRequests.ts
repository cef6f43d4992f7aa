/** Routes for model requests: admission, event streams, resume and cancel. */
import type { LoadedModel } from '../../endpoints/endpointsTypes.js'
import type { Hash } from '../../hash.js'
import { createPrefixHasher } from '../../prefix/prefixHasher.js'
import { parseJson, sendJson } from '../standInServer.js'
import type { Call } from '../standInServer.js'
import type { Job } from './engineBatch.js'
import { parseSample, createTokenFunction } from './engineSample.js'
import type { Sample } from './engineSample.js'
import { createStreamReader } from './engineStream.js'
import type { StreamReader } from './engineStream.js'
import type { ServedRequest } from './engineServedRequest.js'
import type { EngineContext } from './engineTypes.js'

/** The handlers of the model request routes, and the timer that advances the batch. */
export interface EngineRequests {
  /** Starts a completion and streams it. */
  readonly complete: (call: Call) => void
  /** Streams the events of a running or retained completion from a position on. */
  readonly resume: (call: Call) => void
  /** Cancels a completion; answers 200 even if it is unknown. */
  readonly cancel: (call: Call) => void
  /** Removes all stream readers. */
  readonly clear: () => void
  /** Stops the timer. */
  readonly stop: () => void
}

const stepInterval = 4 // ms between steps while requests are queued or running
const retentionInterval = 250 // ms between steps while ended streams are only retained for resume

const headerOf = ({ request }: Call, name: string): string => {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

const refuse = ({ response }: Call, status: number, type: string, message: string, headers: Readonly<Record<string, string>> = {}): void =>
  sendJson(response, status, { error: { type, message } }, headers)

const fieldOf = (body: unknown, name: string): string =>
  typeof body === 'object' && body !== null && name in body ? String((body as Record<string, unknown>)[name]) : ''

const nameOf = ({ model, adapter }: LoadedModel): string => adapter === undefined ? model : `${model}+${adapter}`

/**
 * Creates the model request handlers of an engine.
 *
 * @param context - the engine's context
 * @param hash - hash functions
 * @param blockBytes - bytes of prompt text per block
 * @returns the handlers and their timer
 */
export const createEngineRequests = (context: EngineContext, hash: Hash, blockBytes: number): EngineRequests => {
  const { server, batch, models } = context
  const prefixHasher = createPrefixHasher(hash, { blockBytes })
  const readers = new Map<Job, Set<StreamReader>>()
  let requestCount = 0
  let stepTimer: NodeJS.Timeout | undefined
  let scheduledActivity: ReturnType<typeof batch.activity> = 'idle'

  const scheduleStep = (): void => {
    const activity = batch.activity()
    if (activity === 'idle') return
    if (stepTimer !== undefined && scheduledActivity !== activity) clearTimeout(stepTimer)
    if (stepTimer !== undefined && scheduledActivity === activity) return
    scheduledActivity = activity
    stepTimer = setTimeout(step, activity === 'working' ? stepInterval : retentionInterval)
  }

  const step = (): void => {
    stepTimer = undefined
    const now = server.now()
    if (!server.faults.holds('freeze', now)) {
      batch.step(now)
      flush()
    }
    scheduleStep()
  }

  const flush = (): void => {
    for (const [job, attached] of readers) {
      for (const reader of attached) reader.flush()
      if (job.state === 'ended' && attached.size === 0) readers.delete(job)
    }
  }

  const attach = (job: Job, { response }: Call, from: number): void => {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': job.served.id,
      'x-incarnation': context.incarnation(),
      'x-weight-version': job.served.weightVersion
    })
    response.flushHeaders()
    const reader = createStreamReader(job, response, from, server.faults)
    const attached = readers.get(job) ?? new Set()
    readers.set(job, attached.add(reader))
    job.detachedSince = undefined
    response.on('close', () => {
      attached.delete(reader)
      if (attached.size === 0) job.detachedSince = server.now()
    })
    reader.flush()
  }

  const createJob = (call: Call, loaded: LoadedModel, sample: Sample): Job => {
    const { weightVersion, model, adapter } = loaded
    const workspace = headerOf(call, 'x-workspace')
    const chain = prefixHasher.chain({ workspace, model, adapter, weightVersion }, sample.texts)
    const served: ServedRequest = {
      kind: 'request',
      id: headerOf(call, 'x-request-id') || `${context.id}-${++requestCount}`,
      workspace,
      salt: headerOf(call, 'x-cache-salt'),
      model: sample.model,
      weightVersion,
      at: server.now(),
      promptTokens: chain.tokens,
      from: sample.from,
      cachedTokens: 0,
      generated: 0,
      outcome: 'open'
    }
    return {
      served,
      sample,
      token: createTokenFunction(hash, sample.key),
      chain,
      priority: Number(headerOf(call, 'x-priority')) || 0,
      events: [],
      state: 'waiting',
      prefillLeft: served.promptTokens,
      nextTokenAt: 0,
      detachedSince: undefined,
      endedAt: 0
    }
  }

  const startJob = (call: Call): void => {
    const body = parseJson(call.body)
    const name = fieldOf(body, 'model')
    const candidates = models.filter(loaded => nameOf(loaded) === name)
    if (candidates.length === 0) return refuse(call, 404, 'model_not_found', `model ${name} is not loaded`)
    const requestedVersion = headerOf(call, 'x-weight-version')
    const loaded = requestedVersion === '' ? candidates.at(-1) : candidates.find(({ weightVersion }) => weightVersion === requestedVersion)
    if (loaded === undefined) {
      return refuse(call, 409, 'weight_version_not_loaded', `weight version ${requestedVersion} of model ${name} is not loaded`, { 'x-incarnation': context.incarnation() })
    }
    const parsed = parseSample(body, loaded.weightVersion)
    if ('complaint' in parsed) return refuse(call, 400, 'invalid_request', parsed.complaint)
    const job = createJob(call, loaded, parsed.sample)
    context.addEntry(job.served)
    batch.add(job)
    attach(job, call, 0)
    scheduleStep()
  }

  const complete = (call: Call): void => {
    if (server.faults.take('cutBefore') !== undefined) {
      call.response.destroy()
      return
    }
    const slow = server.faults.take('slow')
    if (slow === undefined) return startJob(call)
    server.after(slow.ms, () => startJob(call))
  }

  const resume = (call: Call): void => {
    const job = batch.find(call.params.id ?? '')
    const from = Number(call.query.from ?? 0)
    if (job === undefined || job.served.outcome === 'cancelled' || job.served.workspace !== headerOf(call, 'x-workspace')) {
      return refuse(call, 404, 'stream_not_kept', 'no stream with this id is retained for this workspace')
    }
    if (!Number.isInteger(from) || from < 0) return refuse(call, 400, 'invalid_request', 'from must be a non-negative integer')
    attach(job, call, from)
  }

  const cancel = (call: Call): void => {
    batch.cancel(fieldOf(parseJson(call.body), 'request_id'), server.now())
    sendJson(call.response, 200, {})
  }

  return { complete, resume, cancel, clear: () => readers.clear(), stop: () => clearTimeout(stepTimer) }
}
