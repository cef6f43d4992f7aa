/** The append-only log over HTTP and JSON; every failure comes back as an input. */
import { z } from 'zod'
import type { Address } from '../endpoints/endpointsTypes.js'
import type { LogEffect, LogFailure, LogInput } from '../ports/logPort.js'
import { createHttpClient, jsonRequest } from './httpExchange.js'
import type { ExchangeFailure, HttpClientOptions, JsonAnswer } from './httpExchange.js'
import { addressOf } from './baseUrl.js'

/** Settings of the adapter. */
export interface LogHttpOptions extends HttpClientOptions {
  /** Where the log serves, as `http://host:port`. */
  readonly baseUrl: string
  readonly emit: (input: LogInput) => void
  /** Longest wait for an answer, in ms. */
  readonly timeout?: number
}

/** Performs effects on the log. */
export interface LogHttp {
  readonly perform: (effect: LogEffect) => void
  readonly close: () => Promise<void>
}

const defaultTimeout = 3_000 // ms

const appendedSchema = z.object({ offset: z.number().int().nonnegative() })

const recordsSchema = z.object({
  first: z.number().int().nonnegative(),
  end: z.number().int().nonnegative(),
  records: z.array(z.object({ offset: z.number().int().nonnegative(), at: z.number(), payload: z.unknown() }))
})

const failures: Readonly<Record<ExchangeFailure, LogFailure>> = {
  refused: 'unavailable',
  cut: 'lost',
  timeout: 'timeout',
  garbled: 'lost'
}

const pathOf = (effect: LogEffect): string => {
  const path = `/streams/${encodeURIComponent(effect.stream)}/records`
  return effect.kind === 'log.append' ? path : `${path}?from=${effect.from}&limit=${effect.limit}`
}

const inputOf = (effect: LogEffect, { status, body }: JsonAnswer): LogInput => {
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
 * @param options - address, timeouts in ms and where inputs go
 * @returns the adapter
 */
export const createLogHttp = (options: LogHttpOptions): LogHttp => {
  const client = createHttpClient(options)
  const address: Address = addressOf(options.baseUrl)
  const timeout = options.timeout ?? defaultTimeout

  const perform = async (effect: LogEffect): Promise<void> => {
    const request = effect.kind === 'log.append'
      ? jsonRequest('POST', pathOf(effect), effect.payload)
      : jsonRequest('GET', pathOf(effect))
    const result = await client.json(address, request, timeout)
    const { owner, token, stream } = effect
    options.emit(result.match(
      answer => inputOf(effect, answer),
      failure => ({ kind: 'log.failed', owner, token, stream, failure: failures[failure.kind] })
    ))
  }

  return { perform: effect => { perform(effect) }, close: client.close }
}
