/** Plays a deployment's callers, and checks each answer against the engines' own rule for its tokens. */
import type { Hash } from '../src/hash.js'
import type { Random } from '../src/random.js'
import { countTokens, parseSample, createTokenFunction } from '../src/standins/engine/engineSample.js'
import { createCaller, uuidv7 } from './client.js'
import type { CallResult, Caller, Generation, Origin, TokenListener } from './client.js'
import type { Deployment, PromptKind } from './deployments.js'

/** A finished model request. */
export interface Answered {
  readonly generation: Generation
  /** Whether the text is exactly what the engine generates for this prompt. */
  readonly exact: boolean
  /** Prompt tokens that some engine had computed before and that were computed again. */
  readonly recomputedTokens: number
}

/** A finished call. */
export interface Called {
  readonly key: string
  readonly result: CallResult
}

/** What the callers saw. */
export interface Tally {
  readonly answered: Answered[]
  readonly called: Called[]
}

/** The callers of one deployment. */
export interface Workload {
  readonly tally: Tally
  /** Sends requests and bookings at a steady rate until all are answered. */
  readonly run: (requests: number, bookings: number, perSecond: number) => Promise<void>
  /** One long request that is watched. */
  readonly watch: (maxTokens: number, onToken: TokenListener) => Promise<Answered>
  readonly close: () => Promise<void>
}

const bytesPerUnit = 1_024
const rootUnits = 12
const branchUnits = 6
const leafUnits = 3
const repeatedAnswerShare = 0.25 // of bookings are sent a second time with the same key

const fill = (title: string, units: number): string => {
  const length = units * bytesPerUnit
  return `${title} `.repeat(Math.ceil(length / (title.length + 1))).slice(0, length)
}

interface Message {
  readonly role: string
  readonly content: string
}

const promptOf = (kind: PromptKind, branch: number, leaf: number): readonly Message[] => [
  { role: 'system', content: fill(`${kind.root} [${kind.workspace}]`, rootUnits) },
  { role: 'system', content: fill(`${kind.root} Branch ${branch}.`, branchUnits) },
  { role: 'user', content: fill(`Case ${leaf} of branch ${branch} in ${kind.workspace}.`, leafUnits) }
]

const textsOf = (messages: readonly Message[]): readonly string[] => messages.map(({ content }) => content)

/**
 * Creates the callers of a deployment.
 *
 * @param hash - hash functions, for the expected tokens
 * @param random - chooses prompts
 * @param deployment - what to play
 * @param seeds - instances to ask for addresses
 * @returns the callers
 */
export const createWorkload = (hash: Hash, random: Random, deployment: Deployment, seeds: readonly Origin[]): Workload => {
  const tally: Tally = { answered: [], called: [] }
  const callers = new Map<string, Caller>()
  const computed = new Set<string>()
  const shares = deployment.prompts.flatMap(kind => Array.from({ length: kind.share }, () => kind))

  const callerOf = (workspace: string): Caller => {
    const caller = callers.get(workspace) ?? createCaller({ workspace, key: `demo-key-${workspace}`, seeds })
    callers.set(workspace, caller)
    return caller
  }

  /** Few branches and leaves are asked for most. */
  const skewed = (count: number): number => Math.floor(count * random.unit() ** 2)

  const expectedText = (kind: PromptKind, messages: readonly Message[], maxTokens: number): string => {
    const model = kind.adapter === undefined ? kind.model : `${kind.model}+${kind.adapter}`
    const read = parseSample({ model, stream: true, messages }, kind.weightVersion)
    if ('complaint' in read) return read.complaint
    const token = createTokenFunction(hash, read.sample.key)
    return Array.from({ length: maxTokens }, (_, position) => token(position)).join('')
  }

  const levelsOf = (kind: PromptKind, texts: readonly string[]): readonly string[] =>
    texts.map((_, level) => [kind.workspace, kind.model, kind.adapter, ...texts.slice(0, level + 1)].join('\n'))

  const ask = async (kind: PromptKind, maxTokens: number, onToken?: TokenListener): Promise<Answered> => {
    const branch = skewed(kind.branches)
    const messages = promptOf(kind, branch, skewed(kind.leaves))
    const texts = textsOf(messages)
    const levels = levelsOf(kind, texts)
    const known = levels.filter(level => computed.has(level)).length
    const body = { model: kind.model, adapter: kind.adapter, messages, max_tokens: maxTokens }
    const generation = await callerOf(kind.workspace).generate('/v1/chat/completions', body, onToken)
    const whole = generation.ending === 'whole'
    if (whole) for (const level of levels) computed.add(level)
    const recomputedTokens = whole ? Math.max(0, countTokens(texts.slice(0, known)) - generation.cachedTokens) : 0
    const exact = whole && generation.text === expectedText(kind, messages, maxTokens)
    return { generation, exact, recomputedTokens }
  }

  const book = async (): Promise<void> => {
    const { workspace, path } = deployment.bookings[random.below(deployment.bookings.length)]
    const key = uuidv7(Date.now())
    const send = (): Promise<CallResult> => callerOf(workspace).call('POST', path, key, { slot: key.slice(-6) })
    tally.called.push({ key, result: await send() })
    if (random.unit() < repeatedAnswerShare) await send()
  }

  const request = async (): Promise<void> => {
    const kind = shares[random.below(shares.length)]
    tally.answered.push(await ask(kind, kind.maxTokens))
  }

  const run = async (requests: number, bookings: number, perSecond: number): Promise<void> => {
    const total = requests + bookings
    const running: Array<Promise<void>> = []
    let booked = 0
    for (let sent = 0; sent < total; sent++) {
      const isBooking = booked * total < bookings * (sent + 1) && booked < bookings
      if (isBooking) booked++
      running.push(isBooking ? book() : request())
      await new Promise(resolve => setTimeout(resolve, 1_000 / perSecond))
    }
    await Promise.all(running)
  }

  const watch = (maxTokens: number, onToken: TokenListener): Promise<Answered> => ask(deployment.prompts[0], maxTokens, onToken)

  const close = async (): Promise<void> => {
    await Promise.all([...callers.values()].map(caller => caller.close()))
  }

  return { tally, run, watch, close }
}
