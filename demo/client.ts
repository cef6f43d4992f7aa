/**
 * A client of the router. It fetches the addresses of its workspace from any
 * instance and sends its requests there. It resumes an interrupted stream at
 * another instance with the ID of the last event, and retries a service call
 * with the same idempotency key.
 */
import { randomBytes } from 'node:crypto'
import { createParser } from 'eventsource-parser'
import { Agent, request } from 'undici'
import { z } from 'zod'

/** The address at which a process serves HTTP. */
export interface Origin {
  readonly host: string
  readonly port: number
  /** Share of the caller's requests relative to the other addresses; 1 if absent. */
  readonly weight?: number
}

/** Thrown when no instance returns addresses for the workspace. */
export class NoAddresses extends Error {
  override readonly name = 'NoAddresses'
}

/** Options of a caller. */
export interface CallerOptions {
  readonly workspace: string
  /** API key, sent as bearer token. */
  readonly key: string
  /** Instances from which addresses are fetched, in order until one returns some. */
  readonly seeds: readonly Origin[]
  /** Whether the seeds are used as the addresses, without fetching any. */
  readonly direct?: boolean
  /** Maximum number of attempts at a request; 8 if absent. */
  readonly attempts?: number
}

/** How a request ended: with the complete answer, refused without any part of it, or interrupted. */
export type Ending = 'whole' | 'refused' | 'broken'

/** The result of a model request; times in ms. */
export interface Generation {
  readonly ending: Ending
  readonly text: string
  /** Time from sending the request until the first event. */
  readonly firstTokenTime?: number
  /** Times between successive events. */
  readonly gaps: readonly number[]
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Number of attempts to resume the stream. */
  readonly resumes: number
  readonly error?: string
}

/** The result of a service call. */
export interface CallResult {
  readonly ending: Ending
  /** HTTP status; 0 if the last attempt got no response. */
  readonly status: number
  readonly body: string
  /** Whether the call ran, as far as the caller knows. */
  readonly outcome: 'ran' | 'not_run' | 'unknown'
  readonly error?: string
}

/** Receives the text of each token, the address that sent it, and the number of resumes so far. */
export type TokenListener = (text: string, origin: Origin, resumes: number) => void

/** A client of one workspace. */
export interface Caller {
  /** Sends a model request as a stream. */
  readonly generate: (path: string, body: Readonly<Record<string, unknown>>, onToken?: TokenListener) => Promise<Generation>
  /** Sends a service call with an idempotency key. */
  readonly call: (method: string, path: string, key: string, body: unknown) => Promise<CallResult>
  /** Returns the addresses of the workspace, fetched again once they expire. */
  readonly addresses: () => Promise<readonly Origin[]>
  readonly close: () => Promise<void>
}

/** The state of a model request across its attempts. */
interface Progress {
  text: string
  lastEventId?: string
  firstTokenTime?: number
  lastTokenAt: number
  readonly gaps: number[]
  promptTokens: number
  cachedTokens: number
  resumes: number
  done: boolean
  error?: string
}

const addressSchema = z.object({
  addresses: z.array(z.object({ host: z.string(), port: z.number(), weight: z.number().positive() })),
  timeToLiveMs: z.number()
})

const errorSchema = z.object({ error: z.object({ type: z.string(), outcome: z.enum(['ran', 'not_run', 'unknown']) }) })

const eventSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }).optional(), text: z.string().optional() })).default([]),
  usage: z.object({ prompt_tokens: z.number(), prompt_tokens_details: z.object({ cached_tokens: z.number() }).optional() }).nullish()
})

const defaultAttempts = 8
const retryDelayStep = 150 // ms; the delay grows by this with each attempt
const maxRetryDelay = 1_000 // ms
const idleTimeout = 15_000 // ms without data from the server

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

const urlOf = ({ host, port }: Origin): string => `http://${host}:${port}`

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

const errorOf = (text: string): z.infer<typeof errorSchema>['error'] | undefined => errorSchema.safeParse(parseJson(text)).data?.error

/** Picks a random address with a probability proportional to its weight. */
const pickByWeight = (list: readonly Origin[]): Origin => {
  let remaining = Math.random() * list.reduce((total, { weight = 1 }) => total + weight, 0)
  return list.find(({ weight = 1 }) => (remaining -= weight) < 0) ?? list[0]
}

/**
 * Creates a UUID of version 7, which contains the time, for use as an idempotency key.
 *
 * @param now - current time in ms since 1970
 * @returns the UUID
 */
export const uuidv7 = (now: number): string => {
  const bytes = randomBytes(16)
  bytes.writeUIntBE(now, 0, 6)
  bytes[6] = (bytes[6] & 0x0f) | 0x70
  bytes[8] = (bytes[8] & 0x3f) | 0x80
  const hex = bytes.toString('hex')
  return `${hex.slice(0, 8)}-${hex.slice(8, 12)}-${hex.slice(12, 16)}-${hex.slice(16, 20)}-${hex.slice(20)}`
}

/**
 * Creates a caller.
 *
 * @param options - workspace, API key, seeds and limits
 * @returns the caller
 */
export const createCaller = (options: CallerOptions): Caller => {
  const { workspace, key, seeds, attempts = defaultAttempts } = options
  const dispatcher = new Agent({ pipelining: 1, headersTimeout: idleTimeout, bodyTimeout: idleTimeout, connect: { timeout: 1_000 } })
  const authorization = `Bearer ${key}`
  let cachedAddresses: readonly Origin[] = options.direct === true ? seeds : []
  let cachedUntil = 0

  const fetchAddresses = async (seed: Origin): Promise<boolean> => {
    try {
      const { statusCode, body } = await request(`${urlOf(seed)}/v1/addresses?workspace=${workspace}`, { dispatcher, headers: { authorization } })
      const answer = addressSchema.safeParse(parseJson(await body.text()))
      if (statusCode !== 200 || !answer.success || answer.data.addresses.length === 0) return false
      cachedAddresses = answer.data.addresses
      cachedUntil = Date.now() + answer.data.timeToLiveMs
      return true
    } catch {
      return false
    }
  }

  const addresses = async (): Promise<readonly Origin[]> => {
    if (options.direct === true || Date.now() < cachedUntil) return cachedAddresses
    for (const seed of [...cachedAddresses, ...seeds]) {
      if (await fetchAddresses(seed)) return cachedAddresses
    }
    if (cachedAddresses.length === 0) throw new NoAddresses(`no instance returned addresses for workspace ${workspace}`)
    return cachedAddresses
  }

  /** Chooses an address by weight for the first attempt, and the next one of the list for each retry. */
  const chooseOrigin = async (attempt: number, last: Origin | undefined): Promise<Origin> => {
    if (attempt > 0) cachedUntil = 0
    const list = await addresses()
    const position = list.findIndex(origin => urlOf(origin) === (last && urlOf(last)))
    if (position >= 0) return list[(position + 1) % list.length]
    return pickByWeight(list)
  }

  const applyEvent = (progress: Progress, origin: Origin, id: string | undefined, data: string, onToken: TokenListener | undefined): void => {
    if (id !== undefined) progress.lastEventId = id
    const event = eventSchema.safeParse(parseJson(data)).data
    if (event === undefined) return
    progress.promptTokens = event.usage?.prompt_tokens ?? progress.promptTokens
    progress.cachedTokens = event.usage?.prompt_tokens_details?.cached_tokens ?? progress.cachedTokens
    const text = event.choices[0]?.delta?.content ?? event.choices[0]?.text ?? ''
    if (text === '') return
    progress.text += text
    onToken?.(text, origin, progress.resumes)
  }

  const recordEventTime = (progress: Progress, startedAt: number): void => {
    const now = performance.now()
    if (progress.firstTokenTime === undefined) progress.firstTokenTime = now - startedAt
    else progress.gaps.push(now - progress.lastTokenAt)
    progress.lastTokenAt = now
  }

  const stream = async (origin: Origin, path: string, body: string, progress: Progress, startedAt: number, onToken?: TokenListener): Promise<'done' | 'retry' | 'refused'> => {
    const headers: Record<string, string> = { authorization, 'content-type': 'application/json' }
    if (progress.lastEventId !== undefined) headers['last-event-id'] = progress.lastEventId
    const response = await request(`${urlOf(origin)}${path}`, { dispatcher, method: 'POST', headers, body })
    if (response.statusCode !== 200) {
      progress.error = errorOf(await response.body.text())?.type ?? `status ${response.statusCode}`
      if (progress.error === 'stream_interrupted') progress.lastEventId = undefined
      return response.statusCode >= 500 || response.statusCode === 429 ? 'retry' : 'refused'
    }
    const parser = createParser({
      onEvent: ({ event, id, data }) => {
        if (event === 'error') progress.error = errorOf(data)?.type ?? 'error'
        else if (data === '[DONE]') progress.done = true
        else {
          applyEvent(progress, origin, id, data, onToken)
          recordEventTime(progress, startedAt)
        }
      }
    })
    const decoder = new TextDecoder()
    for await (const chunk of response.body) parser.feed(decoder.decode(chunk, { stream: true }))
    if (progress.done) return 'done'
    return progress.error === undefined ? 'retry' : 'refused'
  }

  const toGeneration = (ending: Ending, progress: Progress): Generation => {
    const { text, firstTokenTime, gaps, promptTokens, cachedTokens, resumes, error } = progress
    return { ending, text, firstTokenTime, gaps, promptTokens, cachedTokens, resumes, error }
  }

  const generate: Caller['generate'] = async (path, body, onToken) => {
    const progress: Progress = { text: '', lastTokenAt: 0, gaps: [], promptTokens: 0, cachedTokens: 0, resumes: 0, done: false }
    const requestBody = JSON.stringify({ ...body, stream: true })
    const startedAt = performance.now()
    let origin: Origin | undefined
    for (let attempt = 0; attempt < attempts; attempt++) {
      origin = await chooseOrigin(attempt, origin)
      progress.error = undefined
      if (progress.lastEventId !== undefined) progress.resumes++
      else progress.text = ''
      const result = await stream(origin, path, requestBody, progress, startedAt, onToken).catch(() => 'retry' as const)
      if (result === 'done') return toGeneration('whole', progress)
      if (result === 'refused') break
      await sleep(Math.min(maxRetryDelay, retryDelayStep * (attempt + 1)))
    }
    return toGeneration(progress.text === '' ? 'refused' : 'broken', progress)
  }

  const call: Caller['call'] = async (method, path, idempotencyKey, body) => {
    const headers = { authorization, 'content-type': 'application/json', 'idempotency-key': idempotencyKey }
    let last: CallResult = { ending: 'broken', status: 0, body: '', outcome: 'unknown' }
    let origin: Origin | undefined
    for (let attempt = 0; attempt < attempts; attempt++) {
      origin = await chooseOrigin(attempt, origin)
      try {
        const response = await request(`${urlOf(origin)}${path}`, { dispatcher, method: method as 'POST', headers, body: JSON.stringify(body) })
        const text = await response.body.text()
        if (response.statusCode === 200) return { ending: 'whole', status: 200, body: text, outcome: 'ran' }
        const error = errorOf(text)
        last = { ending: 'refused', status: response.statusCode, body: text, outcome: error?.outcome ?? 'unknown', error: error?.type }
        if (response.statusCode < 500 && response.statusCode !== 429 && error?.type !== 'in_progress') return last
      } catch {
        last = { ending: 'broken', status: 0, body: '', outcome: 'unknown', error: 'cut' }
      }
      await sleep(Math.min(maxRetryDelay, retryDelayStep * (attempt + 1)))
    }
    return last
  }

  return { generate, call, addresses, close: () => dispatcher.destroy() }
}
