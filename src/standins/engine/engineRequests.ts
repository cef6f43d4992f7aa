/** The engine's model requests: admission, streams, resume and cancel. */
import type { LoadedModel } from '../../endpoints/endpointsTypes.js'
import type { Hash } from '../../hash.js'
import { createPrefixHasher } from '../../prefix/prefixHasher.js'
import { parseJson, sendJson } from '../standInServer.js'
import type { Call } from '../standInServer.js'
import type { Job } from './engineBatch.js'
import { parseSample, createTokenFunction } from './engineSample.js'
import type { Sample } from './engineSample.js'
import { createReader } from './engineStream.js'
import type { Reader } from './engineStream.js'
import type { ServedRequest } from './engineServedRequest.js'
import type { EngineContext } from './engineTypes.js'

/** Serves model requests. */
export interface EngineRequests {
  readonly complete: (call: Call) => void
  readonly resume: (call: Call) => void
  readonly cancel: (call: Call) => void
  /** Forgets all streams. */
  readonly clear: () => void
  readonly stop: () => void
}

const stepInterval = 4 // ms while requests wait or run
const keepInterval = 250 // ms while streams are only kept

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
 * Creates what serves model requests.
 *
 * @param context - the engine
 * @param hash - hash functions
 * @param blockBytes - bytes of text in a block
 * @returns the handlers of the routes
 */
export const createEngineRequests = (context: EngineContext, hash: Hash, blockBytes: number): EngineRequests => {
  const { server, batch, models } = context
  const prefix = createPrefixHasher(hash, { blockBytes })
  const readers = new Map<Job, Set<Reader>>()
  let requests = 0
  let stepping: NodeJS.Timeout | undefined
  let paceOf: ReturnType<typeof batch.activity> = 'idle'

  const wake = (): void => {
    const activity = batch.activity()
    if (activity === 'idle') return
    if (stepping !== undefined && paceOf !== activity) clearTimeout(stepping)
    if (stepping !== undefined && paceOf === activity) return
    paceOf = activity
    stepping = setTimeout(step, activity === 'working' ? stepInterval : keepInterval)
  }

  const step = (): void => {
    stepping = undefined
    const now = server.now()
    if (!server.faults.holds('freeze', now)) {
      batch.step(now)
      flush()
    }
    wake()
  }

  const flush = (): void => {
    for (const [job, attached] of readers) {
      for (const reader of attached) reader.flush()
      if (job.state === 'over' && attached.size === 0) readers.delete(job)
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
    const reader = createReader(job, response, from, server.faults)
    const attached = readers.get(job) ?? new Set()
    readers.set(job, attached.add(reader))
    job.unreadSince = undefined
    response.on('close', () => {
      attached.delete(reader)
      if (attached.size === 0) job.unreadSince = server.now()
    })
    reader.flush()
  }

  const createJob = (call: Call, loaded: LoadedModel, sample: Sample): Job => {
    const { weightVersion, model, adapter } = loaded
    const workspace = headerOf(call, 'x-workspace')
    const chain = prefix.chain({ workspace, model, adapter, weightVersion }, sample.texts)
    const served: ServedRequest = {
      kind: 'request',
      id: headerOf(call, 'x-request-id') || `${context.id}-${++requests}`,
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
      unreadSince: undefined,
      overAt: 0
    }
  }

  const begin = (call: Call): void => {
    const body = parseJson(call.body)
    const name = fieldOf(body, 'model')
    const candidates = models.filter(loaded => nameOf(loaded) === name)
    if (candidates.length === 0) return refuse(call, 404, 'model_not_found', `no model ${name}`)
    const asked = headerOf(call, 'x-weight-version')
    const loaded = asked === '' ? candidates.at(-1) : candidates.find(({ weightVersion }) => weightVersion === asked)
    if (loaded === undefined) {
      return refuse(call, 409, 'weight_version_not_loaded', `${name} has no weights ${asked}`, { 'x-incarnation': context.incarnation() })
    }
    const read = parseSample(body, loaded.weightVersion)
    if ('complaint' in read) return refuse(call, 400, 'invalid_request', read.complaint)
    const job = createJob(call, loaded, read.sample)
    context.note(job.served)
    batch.add(job)
    attach(job, call, 0)
    wake()
  }

  const complete = (call: Call): void => {
    if (server.faults.take('cutBefore') !== undefined) {
      call.response.destroy()
      return
    }
    const slow = server.faults.take('slow')
    if (slow === undefined) return begin(call)
    server.after(slow.ms, () => begin(call))
  }

  const resume = (call: Call): void => {
    const job = batch.find(call.params.id ?? '')
    const from = Number(call.query.from ?? 0)
    if (job === undefined || job.served.outcome === 'cancelled' || job.served.workspace !== headerOf(call, 'x-workspace')) {
      return refuse(call, 404, 'stream_not_kept', 'no such stream is kept')
    }
    if (!Number.isInteger(from) || from < 0) return refuse(call, 400, 'invalid_request', 'from is no position')
    attach(job, call, from)
  }

  const cancel = (call: Call): void => {
    batch.cancel(fieldOf(parseJson(call.body), 'request_id'), server.now())
    sendJson(call.response, 200, {})
  }

  return { complete, resume, cancel, clear: () => readers.clear(), stop: () => clearTimeout(stepping) }
}
