/**
 * A stand-in for a plain service. It accepts any method and path and records
 * each call that it runs with its idempotency key.
 */
import { answerWithFaults, createStandInServer, sendJson } from './standInServer.js'
import type { Call, StandIn, StandInOptions } from './standInServer.js'

/** Options of the service. */
export interface ServiceOptions extends StandInOptions {
  /** Prefix of the incarnation, `service` by default. */
  readonly id?: string
  /** Processing time of a call, in ms; 2 by default. */
  readonly runTime?: number
}

/** A call that the service ran; `at` is in ms. */
export interface ServiceRun {
  /** Position in the record, from 1. */
  readonly n: number
  readonly at: number
  readonly method: string
  readonly path: string
  readonly key?: string
  readonly requestId?: string
}

const headerOf = (call: Call, name: string): string | undefined => {
  const value = call.request.headers[name]
  return typeof value === 'string' ? value : undefined
}

/**
 * Creates a service.
 *
 * @param options - address, id and processing time
 * @returns the service; its record lists each call that ran
 */
export const createService = (options: ServiceOptions = {}): StandIn<ServiceRun> => {
  const { id = 'service', runTime = 2 } = options
  const record: ServiceRun[] = []
  let restarts = 0
  const server = createStandInServer(options, record, fault => {
    if (fault.kind === 'crash') restarts++
  })
  const startedAt = server.now()
  const incarnation = (): string => `${id}-${startedAt}-${restarts}`

  const recordRun = (call: Call): ServiceRun => {
    const entry: ServiceRun = {
      n: record.length + 1,
      at: server.now(),
      method: call.request.method ?? '',
      path: call.request.url ?? '',
      key: headerOf(call, 'idempotency-key'),
      requestId: headerOf(call, 'x-request-id')
    }
    record.push(entry)
    return entry
  }

  const serve = (call: Call): void => {
    const restartsAtArrival = restarts
    server.after(runTime, () => {
      if (call.response.destroyed || restartsAtArrival !== restarts) return
      answerWithFaults(server, call, () => {
        const { n, key, requestId = '' } = recordRun(call)
        const echoed = server.faults.take('crossed') === undefined ? requestId : `${requestId}-crossed`
        return { status: 200, body: { ran: true, key, n }, headers: { 'x-request-id': echoed, 'x-incarnation': incarnation() } }
      })
    })
  }

  server.on('GET', '/health', ({ response }) => sendJson(response, 200, { incarnation: incarnation() }))
  server.on(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'], '/*', serve)

  return server.toStandIn(record)
}
