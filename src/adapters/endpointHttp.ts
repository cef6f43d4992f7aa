/**
 * HTTP adapter for workers and plain services: performs the effects of the
 * endpoint port and converts responses, including malformed ones, into its inputs.
 */
import { z } from 'zod'
import { assertNever } from '../errors.js'
import type { Address } from '../endpoints/endpointsTypes.js'
import type { EndpointEffect, EndpointInput, EndpointOrder, EndpointRequest } from '../ports/endpointPort.js'
import { createEventFollower } from './endpointEvents.js'
import { createServiceResponseListener } from './serviceResponseListener.js'
import { createModelResponseListener } from './modelResponseListener.js'
import { createHttpClient, jsonRequest } from './httpExchange.js'
import type { Exchange, HttpClientOptions, HttpRequest } from './httpExchange.js'
import { endToEndHeaders } from './httpHeaders.js'
import { rejectOtherResponses } from './otherResponses.js'

/** Settings of the adapter. */
export interface EndpointHttpOptions extends HttpClientOptions {
  /** Receives the adapter's inputs for the core. */
  readonly emit: (input: EndpointInput) => void
  /** Returns an endpoint's kind, which decides the path of its probes; by default all are workers. */
  readonly kindOf?: (endpoint: string) => 'worker' | 'service'
  /** Timeout of a probe, in ms; by default 1 s. */
  readonly probeTimeout?: number
  /** Timeout of an order, in ms; by default 30 s, since loading weights is slow. */
  readonly orderTimeout?: number
}

/** The adapter. */
export interface EndpointHttp {
  /** Performs an effect of the endpoint port. */
  readonly perform: (effect: EndpointEffect) => void
  /** Number of attempts in flight. */
  readonly inFlight: () => number
  /** Stops following cache events and closes all connections. */
  readonly close: () => Promise<void>
}

type ModelRequest = Extract<EndpointRequest, { kind: 'model' }>
type Dispatch = Extract<EndpointEffect, { kind: 'endpoint.dispatch' }>
type Order = Extract<EndpointEffect, { kind: 'endpoint.order' }>
type Probe = Extract<EndpointEffect, { kind: 'endpoint.probe' }>

interface Attempt {
  readonly address: Address
  readonly request: EndpointRequest
  exchange?: Exchange
}

const defaultProbeTimeout = 1_000 // ms
const defaultOrderTimeout = 30_000 // ms
const cancelTimeout = 2_000 // ms

const loadReportSchema = z.object({
  incarnation: z.string(),
  models: z.array(z.object({ model: z.string(), adapter: z.string().optional(), weightVersion: z.string() })).default([]),
  running: z.number().nonnegative().default(0),
  waiting: z.number().nonnegative().default(0),
  waiting_tokens: z.number().nonnegative().default(0),
  leaving: z.boolean().default(false)
})

const engineModelName = ({ identity }: ModelRequest): string =>
  identity.adapter === undefined ? identity.model : `${identity.model}+${identity.adapter}`

const modelRequest = (request: ModelRequest): HttpRequest => {
  const { id, identity } = request
  const headers = {
    'content-type': 'application/json',
    accept: 'text/event-stream',
    'x-request-id': id,
    'x-workspace': identity.workspace,
    'x-cache-salt': request.cacheSalt,
    'x-expect-incarnation': identity.incarnation,
    'x-weight-version': identity.weightVersion,
    'x-priority': String(request.priority)
  }
  if (request.resumeFrom !== undefined) {
    return { method: 'GET', path: `/v1/streams/${encodeURIComponent(id)}?from=${request.resumeFrom}`, headers }
  }
  return { method: 'POST', path: request.path, headers, body: JSON.stringify({ ...request.body, model: engineModelName(request) }) }
}

const httpRequest = (request: EndpointRequest): HttpRequest => {
  if (request.kind === 'model') return modelRequest(request)
  const { method, path, body } = request
  const headers = { ...endToEndHeaders(request.headers), 'x-request-id': request.id }
  return { method, path, headers, body: body.length === 0 ? undefined : body }
}

const orderBody = (order: EndpointOrder, fence: number): unknown =>
  order.kind === 'role' ? { kind: 'role', role: order.role, fence } : { kind: order.kind, ...order.model, fence }

/**
 * Creates the adapter. After `endpoint.cancel`, it emits no more inputs of that
 * attempt.
 *
 * @param options - timeouts in ms, TLS credentials and the receiver of inputs
 * @returns the adapter
 */
export const createEndpointHttp = (options: EndpointHttpOptions): EndpointHttp => {
  const { emit } = options
  const client = createHttpClient(options)
  const follower = createEventFollower(client, emit)
  const attempts = new Map<number, Attempt>()
  const probesInFlight = new Set<string>()

  const dispatch = ({ attempt, address, request }: Dispatch): void => {
    const running: Attempt = { address, request }
    attempts.set(attempt, running)
    const listenerOptions = {
      attempt,
      from: request.kind === 'model' ? request.resumeFrom ?? 0 : 0,
      emit,
      done: () => { attempts.delete(attempt) },
      abort: () => { running.exchange?.abort() }
    }
    const listener = request.kind === 'model' ? createModelResponseListener(listenerOptions) : createServiceResponseListener(listenerOptions)
    running.exchange = client.start(address, httpRequest(request), rejectOtherResponses(request.id, listener, listenerOptions.abort, request.kind === 'model'))
  }

  const detach = (attempt: number): Attempt | undefined => {
    const running = attempts.get(attempt)
    attempts.delete(attempt)
    running?.exchange?.abort()
    return running
  }

  const cancel = (attempt: number): void => {
    const running = detach(attempt)
    if (running?.request.kind !== 'model') return
    client.json(running.address, jsonRequest('POST', '/v1/cancel', { request_id: running.request.id }), cancelTimeout)
  }

  const probe = async ({ endpoint, address }: Probe): Promise<void> => {
    if (probesInFlight.has(endpoint)) return
    probesInFlight.add(endpoint)
    const path = options.kindOf?.(endpoint) === 'service' ? '/health' : '/v1/load'
    const result = await client.json(address, jsonRequest('GET', path), options.probeTimeout ?? defaultProbeTimeout)
    probesInFlight.delete(endpoint)
    const report = loadReportSchema.safeParse(result.isOk() && result.value.status === 200 ? result.value.body : undefined)
    if (!report.success) return emit({ kind: 'endpoint.unreachable', endpoint })
    const { waiting_tokens: waitingTokens, ...rest } = report.data
    emit({ kind: 'endpoint.report', endpoint, waitingTokens, ...rest })
  }

  const order = async ({ owner, token, endpoint, address, order, fence }: Order): Promise<void> => {
    const result = await client.json(address, jsonRequest('POST', '/v1/orders', orderBody(order, fence)), options.orderTimeout ?? defaultOrderTimeout)
    const status = result.isOk() ? result.value.status : 0
    const outcome = status === 200 ? 'done' : status === 412 ? 'staleFence' : 'failed'
    emit({ kind: 'endpoint.ordered', owner, token, endpoint, result: outcome })
  }

  const perform = (effect: EndpointEffect): void => {
    switch (effect.kind) {
      case 'endpoint.dispatch': return dispatch(effect)
      case 'endpoint.cancel': return cancel(effect.attempt)
      case 'endpoint.detach':
        detach(effect.attempt)
        return
      case 'endpoint.pause': return attempts.get(effect.attempt)?.exchange?.pause()
      case 'endpoint.resume': return attempts.get(effect.attempt)?.exchange?.resume()
      case 'endpoint.probe':
        probe(effect)
        return
      case 'endpoint.follow': return follower.follow(effect.endpoint, effect.address, effect.from)
      case 'endpoint.unfollow': return follower.unfollow(effect.endpoint)
      case 'endpoint.order':
        order(effect)
        return
      default: assertNever(effect)
    }
  }

  const close = async (): Promise<void> => {
    follower.close()
    await client.close()
  }

  return { perform, inFlight: () => attempts.size, close }
}
