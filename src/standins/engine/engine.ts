/**
 * A stand-in for a model engine with the usual HTTP protocol: completions as
 * server-sent events, model list, cancel and resume, cache events, load report,
 * orders, export and import of KV cache.
 */
import type { LoadedModel } from '../../endpoints/endpointsTypes.js'
import type { Hash } from '../../hash.js'
import { createStandInServer, parseJson, sendJson } from '../standInServer.js'
import type { Call, StandIn } from '../standInServer.js'
import { createBatch } from './engineBatch.js'
import type { Job } from './engineBatch.js'
import { createEngineCache } from './engineCache.js'
import { chainOf } from './engineChain.js'
import { createKvTransfer } from './engineKv.js'
import { createOrders } from './engineOrders.js'
import { countTokens, readSample, tokensOf } from './engineSample.js'
import { createReader } from './engineStream.js'
import type { Reader } from './engineStream.js'
import type { EngineEntry, EngineOptions, Served } from './engineTypes.js'

const stepInterval = 4 // ms
const maxRecorded = 200_000
const maxEventWait = 30_000 // ms

const headerOf = ({ request }: Call, name: string): string => {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

const refusal = (type: string, message: string): unknown => ({ error: { type, message } })

const modelOf = (name: string): { readonly model: string, readonly adapter?: string } => {
  const [model, adapter] = name.split('+')
  return { model, adapter }
}

/**
 * Creates an engine.
 *
 * @param hash - hash functions
 * @param options - address, speeds, bounds and models
 * @returns the engine; its record lists requests and orders
 */
export const createEngine = (hash: Hash, options: EngineOptions = {}): StandIn<EngineEntry> => {
  const { id = 'engine', blockBytes = 512, eventInterval = 250, reportInterval = 250, resumeWindow = 5_000 } = options
  const models: LoadedModel[] = [...options.models ?? [{ model: 'drafter', weightVersion: '1' }]]
  const record: EngineEntry[] = []
  const cache = createEngineCache(options.cacheBlocks ?? 4_000)
  const batch = createBatch({
    slots: options.slots ?? 16,
    prefillTokensPerSecond: options.prefillTokensPerSecond ?? 20_000,
    decodeTime: options.decodeTime ?? 10,
    resumeWindow,
    cache
  })
  const orders = createOrders(options, models)
  const readers = new Map<Job, Set<Reader>>()
  const pollers = new Set<() => void>()
  let restarts = 0
  let report = batch.load()

  const server = createStandInServer(options, record, fault => {
    if (fault.kind === 'gap') cache.lose(fault.batches)
    if (fault.kind !== 'crash') return
    restarts++
    batch.clear()
    cache.clear()
    readers.clear()
  })
  const startedAt = server.now()
  const incarnation = (): string => `${id}-${startedAt}-${restarts}`

  const note = (entry: EngineEntry): void => {
    if (record.length < maxRecorded) record.push(entry)
  }

  const attach = (job: Job, { response }: Call, from: number): void => {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      'x-request-id': job.served.id,
      'x-incarnation': incarnation(),
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

  const enqueue = (call: Call): void => {
    const body = parseJson(call.body)
    const name = typeof body === 'object' && body !== null && 'model' in body ? String(body.model) : ''
    const { model, adapter } = modelOf(name)
    const candidates = models.filter(loaded => loaded.model === model && loaded.adapter === adapter)
    if (candidates.length === 0) return sendJson(call.response, 404, refusal('model_not_found', `no model ${name}`))
    const asked = headerOf(call, 'x-weight-version')
    const loaded = asked === '' ? candidates.at(-1) : candidates.find(({ weightVersion }) => weightVersion === asked)
    if (loaded === undefined) return sendJson(call.response, 409, refusal('weight_version_not_loaded', `${name} has no weights ${asked}`), { 'x-incarnation': incarnation() })
    const read = readSample(body, loaded.weightVersion)
    if ('complaint' in read) return sendJson(call.response, 400, refusal('invalid_request', read.complaint))
    const { sample } = read
    const workspace = headerOf(call, 'x-workspace')
    const served: Served = {
      kind: 'request',
      id: headerOf(call, 'x-request-id') || `${id}-${record.length}`,
      workspace,
      salt: headerOf(call, 'x-cache-salt'),
      model: name,
      weightVersion: loaded.weightVersion,
      at: server.now(),
      promptTokens: countTokens(sample.texts),
      from: sample.from,
      cachedTokens: 0,
      generated: 0,
      outcome: 'open'
    }
    const job: Job = {
      served,
      sample,
      token: tokensOf(hash, sample.key),
      blocks: chainOf(hash, { workspace, model, adapter, weightVersion: loaded.weightVersion }, sample.texts, blockBytes),
      priority: Number(headerOf(call, 'x-priority')) || 0,
      events: [],
      state: 'waiting',
      prefillLeft: served.promptTokens,
      nextTokenAt: 0,
      unreadSince: undefined,
      overAt: 0
    }
    note(served)
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
    if (slow === undefined) return enqueue(call)
    server.after(slow.ms, () => enqueue(call))
  }

  const resume = (call: Call): void => {
    const job = batch.find(call.params.id ?? '')
    const from = Number(call.query.from ?? 0)
    const expected = headerOf(call, 'x-workspace')
    if (job === undefined || job.served.outcome === 'cancelled' || job.served.workspace !== expected) {
      return sendJson(call.response, 404, refusal('stream_not_kept', 'no such stream is kept'))
    }
    if (!Number.isInteger(from) || from < 0) return sendJson(call.response, 400, refusal('invalid_request', 'from is no position'))
    attach(job, call, from)
  }

  const cacheEvents = (call: Call): void => {
    const { from, wait_ms: wait = '0', incarnation: known } = call.query
    const wanted = from === undefined || (known !== undefined && known !== incarnation()) ? undefined : Number(from)
    const answer = (): void => {
      const found = server.faults.holds('freezeEvents', server.now()) ? undefined : cache.since(wanted)
      sendJson(call.response, 200, { incarnation: incarnation(), ...found ?? { seq: (wanted ?? 1) - 1, full: false, events: [] } })
    }
    if (cache.since(wanted) !== undefined || Number(wait) === 0) return answer()
    const poll = (): void => {
      clearTimeout(timer)
      pollers.delete(poll)
      answer()
    }
    const timer = setTimeout(poll, Math.min(Number(wait) || 0, maxEventWait))
    pollers.add(poll)
  }

  const loadReport = ({ response }: Call): void => {
    const { running, waiting, waitingTokens } = report
    sendJson(response, 200, { incarnation: incarnation(), models, running, waiting, waiting_tokens: waitingTokens, leaving: false })
  }

  const takeOrder = async (call: Call): Promise<void> => {
    const order = orders.read(parseJson(call.body))
    if (order === undefined) return sendJson(call.response, 400, refusal('invalid_order', 'the order has no known form'))
    const ordered = await orders.carryOut(order, server.now())
    note(ordered)
    const status = { done: 200, staleFence: 412, failed: 503 }[ordered.result]
    sendJson(call.response, status, { result: ordered.result, models })
  }

  const cancel = (call: Call): void => {
    const body = parseJson(call.body)
    if (typeof body === 'object' && body !== null && 'request_id' in body) batch.cancel(String(body.request_id), server.now())
    sendJson(call.response, 200, {})
  }

  let stepping: NodeJS.Timeout | undefined
  const step = (): void => {
    stepping = undefined
    const now = server.now()
    if (!server.faults.holds('freeze', now)) {
      batch.step(now)
      for (const [job, attached] of readers) {
        for (const reader of attached) reader.flush()
        if (job.state === 'over' && attached.size === 0) readers.delete(job)
      }
    }
    wake()
  }
  const wake = (): void => {
    if (stepping === undefined && batch.busy()) stepping = setTimeout(step, stepInterval)
  }

  const publish = (): void => {
    if (server.faults.holds('freeze', server.now()) || server.faults.holds('freezeEvents', server.now())) return
    const before = cache.last()
    cache.flush()
    if (cache.last() > before) for (const poll of [...pollers]) poll()
  }

  const refresh = (): void => {
    if (!server.faults.holds('freeze', server.now())) report = batch.load()
  }

  server.on('POST', '/v1/chat/completions', complete)
  server.on('POST', '/v1/completions', complete)
  server.on('GET', '/v1/streams/:id', resume)
  server.on('POST', '/v1/cancel', cancel)
  server.on('GET', '/v1/cache/events', cacheEvents)
  server.on('GET', '/v1/load', loadReport)
  server.on('POST', '/v1/orders', call => { takeOrder(call) })
  server.on('GET', '/v1/models', ({ response }) => sendJson(response, 200, {
    object: 'list',
    data: models.map(({ model, adapter }) => ({ id: adapter === undefined ? model : `${model}+${adapter}`, object: 'model' }))
  }))
  createKvTransfer(server, cache, options.kvUrl)

  let timers: NodeJS.Timeout[] = []
  return {
    listen: () => {
      timers = [setInterval(publish, eventInterval), setInterval(refresh, reportInterval)]
      return server.listen()
    },
    close: () => {
      for (const timer of timers) clearInterval(timer)
      clearTimeout(stepping)
      for (const poll of [...pollers]) poll()
      return server.close()
    },
    record,
    fail: server.fail
  }
}
