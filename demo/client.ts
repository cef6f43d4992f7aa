/**
 * A caller of the router. It asks any instance for the addresses of its
 * workspace, sends there, takes up a cut stream elsewhere with the last event's
 * id, and repeats a call with the same idempotency key.
 */
import { randomBytes } from 'node:crypto'
import { createParser } from 'eventsource-parser'
import { Agent, request } from 'undici'
import { z } from 'zod'

/** Where an instance serves callers. */
export interface Origin {
  readonly host: string
  readonly port: number
  /** Share of the caller's requests, relative to the others; 1 if absent. */
  readonly weight?: number
}

/** No instance said which addresses to use. */
export class NoAddresses extends Error {
  override readonly name = 'NoAddresses'
}

/** Settings of a caller. */
export interface CallerOptions {
  readonly workspace: string
  readonly key: string
  /** Any instances; the first that answers names the addresses. */
  readonly seeds: readonly Origin[]
  /** Takes the seeds themselves as the addresses. */
  readonly direct?: boolean
  /** Attempts at one request before it is given up. */
  readonly attempts?: number
}

/** How a request ended. */
export type Ending = 'whole' | 'refused' | 'broken'

/** What became of a model request; times in ms. */
export interface Generation {
  readonly ending: Ending
  readonly text: string
  readonly firstTokenTime?: number
  readonly gaps: readonly number[]
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Times that the stream was taken up again. */
  readonly resumes: number
  readonly error?: string
}

/** What became of a service call. */
export interface CallResult {
  readonly ending: Ending
  readonly status: number
  readonly body: string
  /** Whether the caller knows that it did not run. */
  readonly outcome: 'ran' | 'not_run' | 'unknown'
  readonly error?: string
}

/** A token as it arrives. */
export type TokenListener = (text: string, origin: Origin, resumed: number) => void

/** A caller. */
export interface Caller {
  readonly generate: (path: string, body: Readonly<Record<string, unknown>>, onToken?: TokenListener) => Promise<Generation>
  readonly call: (method: string, path: string, key: string, body: unknown) => Promise<CallResult>
  readonly addresses: () => Promise<readonly Origin[]>
  readonly close: () => Promise<void>
}

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
const retryPause = 150 // ms
const longestPause = 1_000 // ms
const silenceLimit = 15_000 // ms without a byte

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

const weighted = (list: readonly Origin[]): Origin => {
  let rest = Math.random() * list.reduce((total, { weight = 1 }) => total + weight, 0)
  return list.find(({ weight = 1 }) => (rest -= weight) < 0) ?? list[0]
}

/**
 * Makes an idempotency key that carries its time.
 *
 * @param now - present time in ms
 * @returns a UUID of version 7
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
 * @param options - workspace, key and instances to ask first
 * @returns the caller
 */
export const createCaller = (options: CallerOptions): Caller => {
  const { workspace, key, seeds, attempts = defaultAttempts } = options
  const dispatcher = new Agent({ pipelining: 1, headersTimeout: silenceLimit, bodyTimeout: silenceLimit, connect: { timeout: 1_000 } })
  const authorization = `Bearer ${key}`
  let known: readonly Origin[] = options.direct === true ? seeds : []
  let knownUntil = 0

  const ask = async (seed: Origin): Promise<boolean> => {
    try {
      const { statusCode, body } = await request(`${urlOf(seed)}/v1/addresses?workspace=${workspace}`, { dispatcher, headers: { authorization } })
      const answer = addressSchema.safeParse(parseJson(await body.text()))
      if (statusCode !== 200 || !answer.success || answer.data.addresses.length === 0) return false
      known = answer.data.addresses
      knownUntil = Date.now() + answer.data.timeToLiveMs
      return true
    } catch {
      return false
    }
  }

  const addresses = async (): Promise<readonly Origin[]> => {
    if (options.direct === true || Date.now() < knownUntil) return known
    for (const seed of [...known, ...seeds]) {
      if (await ask(seed)) return known
    }
    if (known.length === 0) throw new NoAddresses(`no instance names addresses for ${workspace}`)
    return known
  }

  /** The first attempt goes by weight, each further one to the next of the list. */
  const originFor = async (attempt: number, last: Origin | undefined): Promise<Origin> => {
    if (attempt > 0) knownUntil = 0
    const list = await addresses()
    const place = list.findIndex(origin => urlOf(origin) === (last && urlOf(last)))
    if (place >= 0) return list[(place + 1) % list.length]
    return weighted(list)
  }

  const take = (progress: Progress, origin: Origin, id: string | undefined, data: string, onToken: TokenListener | undefined): void => {
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

  const time = (progress: Progress, started: number): void => {
    const now = performance.now()
    if (progress.firstTokenTime === undefined) progress.firstTokenTime = now - started
    else progress.gaps.push(now - progress.lastTokenAt)
    progress.lastTokenAt = now
  }

  const stream = async (origin: Origin, path: string, body: string, progress: Progress, started: number, onToken?: TokenListener): Promise<'done' | 'again' | 'refused'> => {
    const headers: Record<string, string> = { authorization, 'content-type': 'application/json' }
    if (progress.lastEventId !== undefined) headers['last-event-id'] = progress.lastEventId
    const response = await request(`${urlOf(origin)}${path}`, { dispatcher, method: 'POST', headers, body })
    if (response.statusCode !== 200) {
      progress.error = errorOf(await response.body.text())?.type ?? `status ${response.statusCode}`
      if (progress.error === 'stream_interrupted') progress.lastEventId = undefined
      return response.statusCode >= 500 || response.statusCode === 429 ? 'again' : 'refused'
    }
    const parser = createParser({
      onEvent: ({ event, id, data }) => {
        if (event === 'error') progress.error = errorOf(data)?.type ?? 'error'
        else if (data === '[DONE]') progress.done = true
        else {
          take(progress, origin, id, data, onToken)
          time(progress, started)
        }
      }
    })
    const decoder = new TextDecoder()
    for await (const chunk of response.body) parser.feed(decoder.decode(chunk, { stream: true }))
    if (progress.done) return 'done'
    return progress.error === undefined ? 'again' : 'refused'
  }

  const generationOf = (ending: Ending, progress: Progress): Generation => {
    const { text, firstTokenTime, gaps, promptTokens, cachedTokens, resumes, error } = progress
    return { ending, text, firstTokenTime, gaps, promptTokens, cachedTokens, resumes, error }
  }

  const generate: Caller['generate'] = async (path, body, onToken) => {
    const progress: Progress = { text: '', lastTokenAt: 0, gaps: [], promptTokens: 0, cachedTokens: 0, resumes: 0, done: false }
    const text = JSON.stringify({ ...body, stream: true })
    const started = performance.now()
    let origin: Origin | undefined
    for (let attempt = 0; attempt < attempts; attempt++) {
      origin = await originFor(attempt, origin)
      progress.error = undefined
      if (progress.lastEventId !== undefined) progress.resumes++
      else progress.text = ''
      const result = await stream(origin, path, text, progress, started, onToken).catch(() => 'again' as const)
      if (result === 'done') return generationOf('whole', progress)
      if (result === 'refused') break
      await sleep(Math.min(longestPause, retryPause * (attempt + 1)))
    }
    return generationOf(progress.text === '' ? 'refused' : 'broken', progress)
  }

  const call: Caller['call'] = async (method, path, idempotencyKey, body) => {
    const headers = { authorization, 'content-type': 'application/json', 'idempotency-key': idempotencyKey }
    let last: CallResult = { ending: 'broken', status: 0, body: '', outcome: 'unknown' }
    let origin: Origin | undefined
    for (let attempt = 0; attempt < attempts; attempt++) {
      origin = await originFor(attempt, origin)
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
      await sleep(Math.min(longestPause, retryPause * (attempt + 1)))
    }
    return last
  }

  return { generate, call, addresses, close: () => dispatcher.destroy() }
}
