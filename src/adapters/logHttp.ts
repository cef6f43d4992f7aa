/** HTTP and JSON adapter for the append-only log; every failure is reported as an input. */
import { z } from 'zod'
import { listOf } from '../listSchema.js'
import type { Address } from '../endpoints/endpointsTypes.js'
import type { LogEffect, LogFailure, LogInput } from '../ports/logPort.js'
import { createHttpClient, jsonRequest } from './httpExchange.js'
import type { ExchangeFailure, HttpClientOptions, JsonResponse } from './httpExchange.js'
import { parseBaseUrl } from './baseUrl.js'

/** Settings of the log adapter. */
export interface LogHttpOptions extends HttpClientOptions {
  /** Base URL of the log, as `http://host:port`. */
  readonly baseUrl: string
  /** Receives the results of the effects. */
  readonly emit: (input: LogInput) => void
  /** Timeout of a request, in ms; by default 3 s. */
  readonly timeout?: number
}

/** Adapter that performs the effects of the log port. */
export interface LogHttp {
  /** Performs an effect; emits exactly one input for it. */
  readonly perform: (effect: LogEffect) => void
  /** Closes all connections. */
  readonly close: () => Promise<void>
}

const defaultTimeout = 3_000 // ms

const appendedSchema = z.object({ offset: z.number().int().nonnegative() })

const recordsSchema = z.object({
  first: z.number().int().nonnegative(),
  end: z.number().int().nonnegative(),
  records: listOf(z.object({ offset: z.number().int().nonnegative(), at: z.number(), payload: z.unknown() }))
})

const logFailures: Readonly<Record<ExchangeFailure, LogFailure>> = {
  refused: 'unavailable',
  cut: 'lost',
  timeout: 'timeout',
  garbled: 'lost'
}

const recordsPath = (effect: LogEffect): string => {
  const path = `/streams/${encodeURIComponent(effect.stream)}/records`
  return effect.kind === 'log.append' ? path : `${path}?from=${effect.from}&limit=${effect.limit}`
}

const toLogInput = (effect: LogEffect, { status, body }: JsonResponse): LogInput => {
  const { owner, token, stream } = effect
  const failed = (failure: LogFailure): LogInput => ({ kind: 'log.failed', owner, token, stream, failure })
  if (status !== 200) return failed('unavailable')
  if (effect.kind === 'log.append') {
    const appended = appendedSchema.safeParse(body)
    return appended.success ? { kind: 'log.appended', owner, token, stream, offset: appended.data.offset } : failed('lost')
  }
  const read = recordsSchema.safeParse(body)
  return read.success ? { kind: 'log.records', owner, token, stream, ...read.data } : failed('lost')
}

/**
 * Creates the adapter.
 *
 * @param options - base URL, timeouts in ms and the receiver of inputs
 * @returns the adapter
 */
export const createLogHttp = (options: LogHttpOptions): LogHttp => {
  const client = createHttpClient(options)
  const address: Address = parseBaseUrl(options.baseUrl)
  const timeout = options.timeout ?? defaultTimeout

  const perform = async (effect: LogEffect): Promise<void> => {
    const request = effect.kind === 'log.append'
      ? jsonRequest('POST', recordsPath(effect), effect.payload)
      : jsonRequest('GET', recordsPath(effect))
    const result = await client.json(address, request, timeout)
    const { owner, token, stream } = effect
    options.emit(result.match(
      answer => toLogInput(effect, answer),
      failure => ({ kind: 'log.failed', owner, token, stream, failure: logFailures[failure.kind] })
    ))
  }

  return { perform: effect => { perform(effect) }, close: client.close }
}
