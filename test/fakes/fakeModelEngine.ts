/**
 * A model engine in virtual time. Each token is a fixed function of the prompt,
 * the weight version and the position, so that any answer can be checked. The
 * engine records every generation that it starts.
 */
import type { EndpointEffect, EndpointInput, EndpointRequest } from '../../src/ports/endpointPort.js'
import type { VirtualTime } from './virtualTime.js'

type ModelRequest = Extract<EndpointRequest, { kind: 'model' }>

/** The engine's record of one generation. */
export interface Generation {
  readonly engine: string
  /** Id of the request at the engine. */
  readonly engineRequest: string
  readonly prompt: string
  readonly workspace: string
  readonly weightVersion: string
  readonly incarnation: string
  /** Position of the first generated token in the whole answer. */
  readonly from: number
  /** Start time, in ms. */
  readonly at: number
}

/** Time for the prefill and for each token, in ms; read at each step, so that a test can change them. */
export interface EngineTiming {
  prefill: number
  token: number
}

/** The connection that carries an engine's answer, with the faults injected into it. */
export interface EngineLink {
  readonly deliver: (input: EndpointInput) => void
  /** Called before each part is sent; decides how it is delivered. */
  readonly partDelivery: (part: 'head' | 'chunk' | 'end') => PartDelivery
}

/**
 * How a part of an answer is delivered: `drop` loses it, `cut` closes the connection, `twice` delivers
 * it twice, `crossed` delivers a part of another request's answer instead, `late` is a delay in ms.
 */
export type PartDelivery = 'deliver' | 'drop' | 'cut' | 'twice' | 'crossed' | { readonly late: number }

/** The engine and its record. */
export interface FakeModelEngine {
  readonly id: string
  readonly timing: EngineTiming
  readonly generations: readonly Generation[]
  readonly incarnation: () => string
  readonly isAlive: () => boolean
  /** Weight versions that the engine serves. */
  readonly versions: Set<string>
  /** Whether the engine reports that it is leaving. */
  leaving: boolean
  readonly dispatch: (effect: Extract<EndpointEffect, { kind: 'endpoint.dispatch' }>, link: EngineLink) => void
  /** Ends the generation of a request. */
  readonly cancel: (request: string) => void
  /** Ends the process; its streams are cut and its cache is lost. */
  readonly crash: () => void
  /** Starts the process again, with a new incarnation; crashes it first if it is alive. */
  readonly restart: () => void
  /** Delays all steps until `time`, in ms. */
  readonly freezeUntil: (time: number) => void
}

interface Stream {
  readonly request: string
  /** All tokens that the generation produces. */
  readonly tokens: readonly string[]
  readonly promptTokens: number
  /** Number of chunks produced so far, the final one included. */
  produced: number
  /** Undefined while no connection carries the answer. */
  link: EngineLink | undefined
  attempt: number
  /** Position of the next chunk to send. */
  next: number
}

const words = ['oak', 'bay', 'lane', 'mill', 'gate', 'hall', 'park', 'view', 'road', 'quay', 'farm', 'cove']

const hashText = (text: string): number => {
  let value = 7
  for (const char of text) value = (value * 31 + char.charCodeAt(0)) % 1_000_003
  return value
}

/**
 * Computes the token that every engine with these weights generates at a position.
 *
 * @param prompt - text of the prompt
 * @param weightVersion - version of the weights
 * @param position - position in the answer
 * @returns the text of the token
 */
export const tokenAt = (prompt: string, weightVersion: string, position: number): string =>
  ` ${words[hashText(`${prompt}|${weightVersion}|${position}`) % words.length]}${position}`

/**
 * Computes the complete answer to a prompt.
 *
 * @param prompt - text of the prompt
 * @param weightVersion - version of the weights
 * @param count - number of tokens
 * @returns the text of the answer
 */
export const expectedAnswer = (prompt: string, weightVersion: string, count: number): string =>
  Array.from({ length: count }, (_, position) => tokenAt(prompt, weightVersion, position)).join('')

const promptOf = (request: ModelRequest): string => {
  const messages = request.body.messages as { role: string, content: string }[]
  const promptMessages = request.body.continue_final_message === true ? messages.slice(0, -1) : messages
  return promptMessages.map(({ content }) => content).join('\n')
}

/** The prompt whose tokens a crossed answer contains. */
export const crossedPrompt = 'prompt of another caller'

/** Replaces a part of an answer by a part of the answer to another request, with that request's id. */
const replaceByOtherAnswer = (input: EndpointInput): EndpointInput => {
  if (input.kind === 'endpoint.head') return { ...input, requestId: 'of-another' }
  if (input.kind !== 'endpoint.chunk') return input
  const event = JSON.parse(input.data) as { choices: { delta: { content?: string } }[] }
  event.choices[0].delta.content = tokenAt(crossedPrompt, '7', input.position)
  return { ...input, requestId: 'of-another', data: JSON.stringify(event) }
}

/**
 * Creates an engine.
 *
 * @param id - id of the engine
 * @param time - the virtual clock
 * @param versions - weight versions that it serves
 */
export const createFakeModelEngine = (id: string, time: VirtualTime, versions: readonly string[]): FakeModelEngine => {
  const timing: EngineTiming = { prefill: 30, token: 10 }
  const generations: Generation[] = []
  const streams = new Map<string, Stream>()
  const servedVersions = new Set(versions)
  let starts = 1
  let alive = true
  let frozenUntil = 0

  const incarnation = (): string => `${id}-${starts}`

  /** Runs a step after a delay, later if the engine is frozen, and not at all if the process has ended since. */
  const later = (delay: number, step: () => void): void => {
    const scheduledInStart = starts
    time.after(delay, () => {
      if (!alive || scheduledInStart !== starts) return
      if (time.now() < frozenUntil) later(frozenUntil - time.now(), step)
      else step()
    })
  }

  const fail = (stream: Stream): void => {
    const { link, attempt } = stream
    stream.link = undefined
    link?.deliver({ kind: 'endpoint.failed', attempt, failure: 'cut', sent: true })
  }

  const emit = (stream: Stream, part: 'head' | 'chunk' | 'end', input: EndpointInput): void => {
    const { link } = stream
    if (link === undefined) return
    const delivery = link.partDelivery(part)
    if (typeof delivery === 'object') return time.after(delivery.late, () => link.deliver(input))
    switch (delivery) {
      case 'deliver': return link.deliver(input)
      case 'drop': return
      case 'cut': return fail(stream)
      case 'twice':
        link.deliver(input)
        link.deliver(input)
        return
      case 'crossed': link.deliver(replaceByOtherAnswer(input))
    }
  }

  const chunkOf = (stream: Stream, position: number): string => {
    const isLast = position === stream.tokens.length
    const choice = { index: 0, delta: isLast ? {} : { content: stream.tokens[position] }, finish_reason: isLast ? 'stop' : null }
    const usage = isLast ? { usage: { prompt_tokens: stream.promptTokens, completion_tokens: stream.tokens.length, prompt_tokens_details: { cached_tokens: 0 } } } : {}
    return JSON.stringify({ id: stream.request, choices: [choice], ...usage })
  }

  const write = (stream: Stream): void => {
    while (stream.link !== undefined && stream.next < stream.produced) {
      const position = stream.next++
      emit(stream, 'chunk', { kind: 'endpoint.chunk', attempt: stream.attempt, requestId: stream.request, position, data: chunkOf(stream, position) })
    }
    if (stream.link === undefined || stream.next <= stream.tokens.length) return
    const { attempt } = stream
    emit(stream, 'end', { kind: 'endpoint.end', attempt })
    stream.link = undefined
  }

  const produce = (stream: Stream): void => {
    if (!streams.has(stream.request)) return
    stream.produced++
    write(stream)
    if (stream.produced <= stream.tokens.length) later(timing.token, () => produce(stream))
  }

  const answerHead = (stream: Stream, weightVersion: string): void =>
    emit(stream, 'head', { kind: 'endpoint.head', attempt: stream.attempt, status: 200, requestId: stream.request, incarnation: incarnation(), weightVersion })

  const refuse = (link: EngineLink, attempt: number, status: number): void =>
    link.deliver({ kind: 'endpoint.answer', attempt, requestId: '', status, headers: {}, body: Buffer.from('{}') })

  const generate = (request: ModelRequest, attempt: number, link: EngineLink): void => {
    const { weightVersion, workspace } = request.identity
    if (!servedVersions.has(weightVersion)) return refuse(link, attempt, 409)
    const prompt = promptOf(request)
    const from = Number(request.body.x_continue_tokens ?? 0)
    const count = Number(request.body.max_tokens)
    const tokens = Array.from({ length: count }, (_, index) => tokenAt(prompt, weightVersion, from + index))
    generations.push({ engine: id, engineRequest: request.id, prompt, workspace, weightVersion, incarnation: incarnation(), from, at: time.now() })
    const stream: Stream = { request: request.id, tokens, promptTokens: prompt.length / 4, produced: 0, link, attempt, next: 0 }
    streams.set(request.id, stream)
    later(timing.prefill, () => {
      answerHead(stream, weightVersion)
      produce(stream)
    })
  }

  const resume = (request: ModelRequest, attempt: number, link: EngineLink): void => {
    const stream = streams.get(request.id)
    if (stream === undefined) return refuse(link, attempt, 404)
    stream.link = link
    stream.attempt = attempt
    stream.next = request.resumeFrom ?? 0
    answerHead(stream, request.identity.weightVersion)
    write(stream)
  }

  const dispatch: FakeModelEngine['dispatch'] = ({ attempt, request }, link) => {
    if (request.kind !== 'model') return
    if (!alive) return link.deliver({ kind: 'endpoint.failed', attempt, failure: 'refused', sent: false })
    if (request.resumeFrom === undefined) generate(request, attempt, link)
    else resume(request, attempt, link)
  }

  const crash = (): void => {
    if (!alive) return
    alive = false
    const open = [...streams.values()]
    streams.clear()
    for (const stream of open) fail(stream)
  }

  const restart = (): void => {
    crash()
    alive = true
    starts++
  }

  return {
    id,
    timing,
    generations,
    incarnation,
    isAlive: () => alive,
    versions: servedVersions,
    leaving: false,
    dispatch,
    cancel: request => { streams.delete(request) },
    crash,
    restart,
    freezeUntil: until => { frozenUntil = Math.max(frozenUntil, until) }
  }
}
