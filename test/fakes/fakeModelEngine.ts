/**
 * A model engine in virtual time. Each token is a fixed function of the prompt,
 * the weight version and the position, so that any answer can be checked; the
 * record says what was really generated.
 */
import type { EndpointEffect, EndpointInput, EndpointRequest } from '../../src/ports/endpointPort.js'
import type { VirtualTime } from './virtualTime.js'

type ModelRequest = Extract<EndpointRequest, { kind: 'model' }>

/** One generation, as the engine itself saw it. */
export interface Generation {
  readonly engine: string
  readonly engineRequest: string
  readonly prompt: string
  readonly workspace: string
  readonly weightVersion: string
  readonly incarnation: string
  readonly from: number
  readonly at: number
}

/** Speeds in ms; they are read at each step, so a test may change them. */
export interface EngineTiming {
  prefill: number
  token: number
}

/** Where an engine's answer goes, and what may happen to each part of it. */
export interface EngineLink {
  readonly deliver: (input: EndpointInput) => void
  /** Asked before each part; `drop` loses it, `cut` breaks the connection. */
  readonly partDelivery: (part: 'head' | 'chunk' | 'end') => PartDelivery
}

/** What happens to a part of an answer. */
export type PartDelivery = 'deliver' | 'drop' | 'cut' | 'twice' | 'crossed' | { readonly late: number }

/** The engine. */
export interface FakeModelEngine {
  readonly id: string
  readonly timing: EngineTiming
  readonly generations: readonly Generation[]
  readonly incarnation: () => string
  readonly isAlive: () => boolean
  readonly versions: Set<string>
  leaving: boolean
  readonly dispatch: (effect: Extract<EndpointEffect, { kind: 'endpoint.dispatch' }>, link: EngineLink) => void
  readonly cancel: (attempt: string) => void
  /** Ends the process; streams are cut and the cache is lost. */
  readonly crash: () => void
  readonly restart: () => void
  readonly freezeUntil: (time: number) => void
}

interface Stream {
  readonly request: string
  readonly tokens: readonly string[]
  readonly promptTokens: number
  produced: number
  link: EngineLink | undefined
  attempt: number
  next: number
}

const words = ['oak', 'bay', 'lane', 'mill', 'gate', 'hall', 'park', 'view', 'road', 'quay', 'farm', 'cove']

const spread = (text: string): number => {
  let value = 7
  for (const char of text) value = (value * 31 + char.charCodeAt(0)) % 1_000_003
  return value
}

/**
 * The token that every engine with these weights generates at a position.
 *
 * @param prompt - the prompt's text
 * @param weightVersion - weights that serve
 * @param position - position in the answer
 */
export const tokenAt = (prompt: string, weightVersion: string, position: number): string =>
  ` ${words[spread(`${prompt}|${weightVersion}|${position}`) % words.length]}${position}`

/**
 * The whole answer to a prompt.
 *
 * @param prompt - the prompt's text
 * @param weightVersion - weights that serve
 * @param count - tokens
 */
export const expectedAnswer = (prompt: string, weightVersion: string, count: number): string =>
  Array.from({ length: count }, (_, position) => tokenAt(prompt, weightVersion, position)).join('')

const promptOf = (request: ModelRequest): string => {
  const messages = request.body.messages as { role: string, content: string }[]
  const own = request.body.continue_final_message === true ? messages.slice(0, -1) : messages
  return own.map(({ content }) => content).join('\n')
}

/** The prompt whose tokens a crossed answer carries. */
export const crossedPrompt = 'prompt of another caller'

/** The part of an answer to somebody else, under that request's id. */
const cross = (input: EndpointInput): EndpointInput => {
  if (input.kind === 'endpoint.head') return { ...input, requestId: 'of-another' }
  if (input.kind !== 'endpoint.chunk') return input
  const event = JSON.parse(input.data) as { choices: { delta: { content?: string } }[] }
  event.choices[0].delta.content = tokenAt(crossedPrompt, '7', input.position)
  return { ...input, requestId: 'of-another', data: JSON.stringify(event) }
}

/**
 * Creates an engine.
 *
 * @param id - its id
 * @param time - the clock
 * @param versions - weight versions that it holds
 */
export const createFakeModelEngine = (id: string, time: VirtualTime, versions: readonly string[]): FakeModelEngine => {
  const tempo: EngineTiming = { prefill: 30, token: 10 }
  const generations: Generation[] = []
  const streams = new Map<string, Stream>()
  const held = new Set(versions)
  let starts = 1
  let alive = true
  let frozenUntil = 0

  const incarnation = (): string => `${id}-${starts}`

  /** Runs a step unless the process that planned it is gone. */
  const later = (delay: number, step: () => void): void => {
    const planned = starts
    time.after(delay, () => {
      if (!alive || planned !== starts) return
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
    const fate = link.partDelivery(part)
    if (typeof fate === 'object') return time.after(fate.late, () => link.deliver(input))
    switch (fate) {
      case 'deliver': return link.deliver(input)
      case 'drop': return
      case 'cut': return fail(stream)
      case 'twice':
        link.deliver(input)
        link.deliver(input)
        return
      case 'crossed': link.deliver(cross(input))
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
    if (stream.produced <= stream.tokens.length) later(tempo.token, () => produce(stream))
  }

  const answerHead = (stream: Stream, weightVersion: string): void =>
    emit(stream, 'head', { kind: 'endpoint.head', attempt: stream.attempt, status: 200, requestId: stream.request, incarnation: incarnation(), weightVersion })

  const refuse = (link: EngineLink, attempt: number, status: number): void =>
    link.deliver({ kind: 'endpoint.answer', attempt, requestId: '', status, headers: {}, body: Buffer.from('{}') })

  const generate = (request: ModelRequest, attempt: number, link: EngineLink): void => {
    const { weightVersion, workspace } = request.identity
    if (!held.has(weightVersion)) return refuse(link, attempt, 409)
    const prompt = promptOf(request)
    const from = Number(request.body.x_continue_tokens ?? 0)
    const count = Number(request.body.max_tokens)
    const tokens = Array.from({ length: count }, (_, index) => tokenAt(prompt, weightVersion, from + index))
    generations.push({ engine: id, engineRequest: request.id, prompt, workspace, weightVersion, incarnation: incarnation(), from, at: time.now() })
    const stream: Stream = { request: request.id, tokens, promptTokens: prompt.length / 4, produced: 0, link, attempt, next: 0 }
    streams.set(request.id, stream)
    later(tempo.prefill, () => {
      answerHead(stream, weightVersion)
      produce(stream)
    })
  }

  const takeUp = (request: ModelRequest, attempt: number, link: EngineLink): void => {
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
    else takeUp(request, attempt, link)
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
    timing: tempo,
    generations,
    incarnation,
    isAlive: () => alive,
    versions: held,
    leaving: false,
    dispatch,
    cancel: request => { streams.delete(request) },
    crash,
    restart,
    freezeUntil: until => { frozenUntil = Math.max(frozenUntil, until) }
  }
}
