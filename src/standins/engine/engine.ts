/**
 * A stand-in for a model engine. Its HTTP API covers streaming completions as
 * server-sent events, resume and cancel, the model list, cache events, load
 * reports, orders, and export and import of KV cache.
 */
import type { LoadedModel } from '../../endpoints/endpointsTypes.js'
import type { Hash } from '../../hash.js'
import { createStandInServer, parseJson, sendJson } from '../standInServer.js'
import type { Call, StandIn } from '../standInServer.js'
import type { Fault } from '../faults.js'
import { createBatch } from './engineBatch.js'
import { createEngineCache } from './engineCache.js'
import { createKvTransfer } from './engineKv.js'
import { createOrderHandler } from './engineOrders.js'
import { createEngineReports } from './engineReports.js'
import { createEngineRequests } from './engineRequests.js'
import type { EngineContext, EngineEntry, EngineOptions } from './engineTypes.js'

/** Default values of the engine options; times in ms. */
export const engineDefaults = {
  id: 'engine',
  models: [{ model: 'drafter', weightVersion: '1' }],
  slots: 16,
  prefillTokensPerSecond: 20_000,
  decodeTime: 10,
  cacheBlocks: 4_000,
  blockBytes: 512,
  eventInterval: 250,
  reportInterval: 250,
  resumeWindow: 5_000,
  fenced: true,
  loadTime: 500
} as const satisfies EngineOptions

const maxRecordEntries = 200_000 // entries
const orderStatus = { done: 200, staleFence: 412, failed: 503 } as const

/**
 * Creates an engine.
 *
 * @param hash - hash functions
 * @param options - address, speeds, limits and models
 * @returns the engine; its record lists the first 200,000 requests and orders
 */
export const createEngine = (hash: Hash, options: EngineOptions = {}): StandIn<EngineEntry> => {
  const settings = { ...engineDefaults, ...options }
  const record: EngineEntry[] = []
  const models: LoadedModel[] = [...settings.models]
  const cache = createEngineCache(settings.cacheBlocks)
  const batch = createBatch({ ...settings, cache })
  const orderHandler = createOrderHandler(settings, models)
  let restarts = 0

  const onFault = (fault: Fault): void => {
    if (fault.kind === 'gap') cache.dropBatches(fault.batches)
    if (fault.kind !== 'crash') return
    restarts++
    batch.clear()
    cache.clear()
    requests.clear()
  }

  const server = createStandInServer(options, record, onFault)
  const startedAt = server.now()
  const context: EngineContext = {
    id: settings.id,
    server,
    cache,
    batch,
    models,
    incarnation: () => `${settings.id}-${startedAt}-${restarts}`,
    addEntry: entry => {
      if (record.length < maxRecordEntries) record.push(entry)
    }
  }
  const requests = createEngineRequests(context, hash, settings.blockBytes)
  const reports = createEngineReports(context, settings.eventInterval, settings.reportInterval)

  const handleOrder = async ({ response, body }: Call): Promise<void> => {
    const order = orderHandler.read(parseJson(body))
    if (order === undefined) return sendJson(response, 400, { error: { type: 'invalid_order', message: 'the body does not match the schema of an order' } })
    const received = await orderHandler.execute(order, server.now())
    context.addEntry(received)
    sendJson(response, orderStatus[received.result], { result: received.result, models })
  }

  const listModels = ({ response }: Call): void => sendJson(response, 200, {
    object: 'list',
    data: models.map(({ model, adapter }) => ({ id: adapter === undefined ? model : `${model}+${adapter}`, object: 'model' }))
  })

  server.on('POST', '/v1/chat/completions', requests.complete)
  server.on('POST', '/v1/completions', requests.complete)
  server.on('GET', '/v1/streams/:id', requests.resume)
  server.on('POST', '/v1/cancel', requests.cancel)
  server.on('GET', '/v1/cache/events', reports.cacheEvents)
  server.on('GET', '/v1/load', reports.load)
  server.on('POST', '/v1/orders', call => { handleOrder(call) })
  server.on('GET', '/v1/models', listModels)
  createKvTransfer(server, cache, options.kvUrl)

  return {
    ...server.toStandIn<EngineEntry>(record),
    listen: () => {
      reports.start()
      return server.listen()
    },
    close: () => {
      reports.stop()
      requests.stop()
      return server.close()
    }
  }
}
