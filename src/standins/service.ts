/**
 * A stand-in for a plain service: it takes any method and path and keeps count
 * of what ran under which idempotency key.
 */
import { answerWithFaults, createStandInServer, sendJson } from './standInServer.js'
import type { Call, StandIn, StandInOptions } from './standInServer.js'

/** Settings of the service. */
export interface ServiceOptions extends StandInOptions {
  readonly id?: string
  /** How long a run takes, in ms. */
  readonly runTime?: number
}

/** A call that ran. */
export interface ServiceRun {
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
 * @param options - address, name and time of a run
 * @returns the service; its record lists each run
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

  const run = (call: Call): ServiceRun => {
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
    const life = restarts
    server.after(runTime, () => {
      if (call.response.destroyed || life !== restarts) return
      answerWithFaults(server, call, () => {
        const { n, key, requestId = '' } = run(call)
        const echoed = server.faults.take('crossed') === undefined ? requestId : `${requestId}-crossed`
        return { status: 200, body: { ran: true, key, n }, headers: { 'x-request-id': echoed, 'x-incarnation': incarnation() } }
      })
    })
  }

  server.on('GET', '/health', ({ response }) => sendJson(response, 200, { incarnation: incarnation() }))
  server.on(['GET', 'POST', 'PUT', 'PATCH', 'DELETE'], '/*', serve)

  return server.standIn(record)
}
