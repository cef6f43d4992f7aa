/** Simulates the callers of a deployment, and compares each answer with the tokens that the engine generates for its prompt. */
import type { Hash } from '../src/hash.js'
import type { Random } from '../src/random.js'
import { countTokens, parseSample, createTokenFunction } from '../src/standins/engine/engineSample.js'
import { createCaller, uuidv7 } from './client.js'
import type { CallResult, Caller, Generation, Origin, TokenListener } from './client.js'
import type { Deployment, PromptTemplate } from './deployments.js'

/** The result of a model request, compared with the expected answer. */
export interface CheckedGeneration {
  readonly generation: Generation
  /** Whether the answer is complete and its text exactly what the engine generates for the prompt. */
  readonly exact: boolean
  /** Prompt tokens that an engine computed although some engine had computed them before. */
  readonly recomputedTokens: number
}

/** The result of a service call and its idempotency key. */
export interface CheckedCall {
  readonly key: string
  readonly result: CallResult
}

/** The results of all requests and calls so far. */
export interface Tally {
  readonly answered: CheckedGeneration[]
  readonly called: CheckedCall[]
}

/** The simulated callers of one deployment. */
export interface Workload {
  readonly tally: Tally
  /** Sends model requests and bookings at a steady rate, mixed evenly, and waits until all have ended. */
  readonly run: (requests: number, bookings: number, perSecond: number) => Promise<void>
  /** Sends one model request with a long answer; its result is not added to the tally. */
  readonly generateLong: (maxTokens: number, onToken: TokenListener) => Promise<CheckedGeneration>
  /** Closes the connections of all callers. */
  readonly close: () => Promise<void>
}

const bytesPerUnit = 1_024 // bytes in one unit of the prompt text sizes below
const rootUnits = 12
const branchUnits = 6
const leafUnits = 3
const repeatedBookingShare = 0.25 // share of bookings that are sent a second time with the same key

/** Repeats a title up to a length in units. */
const repeatToLength = (title: string, units: number): string => {
  const length = units * bytesPerUnit
  return `${title} `.repeat(Math.ceil(length / (title.length + 1))).slice(0, length)
}

interface Message {
  readonly role: string
  readonly content: string
}

const promptOf = (template: PromptTemplate, branch: number, leaf: number): readonly Message[] => [
  { role: 'system', content: repeatToLength(`${template.root} [${template.workspace}]`, rootUnits) },
  { role: 'system', content: repeatToLength(`${template.root} Branch ${branch}.`, branchUnits) },
  { role: 'user', content: repeatToLength(`Case ${leaf} of branch ${branch} in ${template.workspace}.`, leafUnits) }
]

const textsOf = (messages: readonly Message[]): readonly string[] => messages.map(({ content }) => content)

/**
 * Creates the workload of a deployment.
 *
 * @param hash - hash functions, to compute the expected tokens
 * @param random - source of random numbers for prompts and bookings
 * @param deployment - the deployment
 * @param seeds - instances from which callers fetch their addresses
 * @returns the workload
 */
export const createWorkload = (hash: Hash, random: Random, deployment: Deployment, seeds: readonly Origin[]): Workload => {
  const tally: Tally = { answered: [], called: [] }
  const callers = new Map<string, Caller>()
  const computedLevels = new Set<string>()
  const templatesByShare = deployment.prompts.flatMap(template => Array.from({ length: template.share }, () => template))

  const callerOf = (workspace: string): Caller => {
    const caller = callers.get(workspace) ?? createCaller({ workspace, key: `demo-key-${workspace}`, seeds })
    callers.set(workspace, caller)
    return caller
  }

  /** Draws an index below `count`; low indexes are the most frequent, so that few branches and leaves get most requests. */
  const drawSkewed = (count: number): number => Math.floor(count * random.unit() ** 2)

  const expectedText = (template: PromptTemplate, messages: readonly Message[], maxTokens: number): string => {
    const model = template.adapter === undefined ? template.model : `${template.model}+${template.adapter}`
    const parsed = parseSample({ model, stream: true, messages }, template.weightVersion)
    if ('complaint' in parsed) return parsed.complaint
    const token = createTokenFunction(hash, parsed.sample.key)
    return Array.from({ length: maxTokens }, (_, position) => token(position)).join('')
  }

  /** Returns a key for each prefix of the prompt that engines cache: one level, two levels and all. */
  const levelsOf = (template: PromptTemplate, texts: readonly string[]): readonly string[] =>
    texts.map((_, level) => [template.workspace, template.model, template.adapter, ...texts.slice(0, level + 1)].join('\n'))

  const generate = async (template: PromptTemplate, maxTokens: number, onToken?: TokenListener): Promise<CheckedGeneration> => {
    const branch = drawSkewed(template.branches)
    const messages = promptOf(template, branch, drawSkewed(template.leaves))
    const texts = textsOf(messages)
    const levels = levelsOf(template, texts)
    const computedCount = levels.filter(level => computedLevels.has(level)).length
    const body = { model: template.model, adapter: template.adapter, messages, max_tokens: maxTokens }
    const generation = await callerOf(template.workspace).generate('/v1/chat/completions', body, onToken)
    const complete = generation.ending === 'whole'
    if (complete) for (const level of levels) computedLevels.add(level)
    const recomputedTokens = complete ? Math.max(0, countTokens(texts.slice(0, computedCount)) - generation.cachedTokens) : 0
    const exact = complete && generation.text === expectedText(template, messages, maxTokens)
    return { generation, exact, recomputedTokens }
  }

  const sendBooking = async (): Promise<void> => {
    const { workspace, path } = deployment.bookings[random.below(deployment.bookings.length)]
    const key = uuidv7(Date.now())
    const send = (): Promise<CallResult> => callerOf(workspace).call('POST', path, key, { slot: key.slice(-6) })
    tally.called.push({ key, result: await send() })
    if (random.unit() < repeatedBookingShare) await send()
  }

  const sendRequest = async (): Promise<void> => {
    const template = templatesByShare[random.below(templatesByShare.length)]
    tally.answered.push(await generate(template, template.maxTokens))
  }

  const run = async (requests: number, bookings: number, perSecond: number): Promise<void> => {
    const total = requests + bookings
    const pending: Array<Promise<void>> = []
    let bookingsSent = 0
    for (let sent = 0; sent < total; sent++) {
      const isBooking = bookingsSent * total < bookings * (sent + 1) && bookingsSent < bookings
      if (isBooking) bookingsSent++
      pending.push(isBooking ? sendBooking() : sendRequest())
      await new Promise(resolve => setTimeout(resolve, 1_000 / perSecond))
    }
    await Promise.all(pending)
  }

  const generateLong = (maxTokens: number, onToken: TokenListener): Promise<CheckedGeneration> => generate(deployment.prompts[0], maxTokens, onToken)

  const close = async (): Promise<void> => {
    await Promise.all([...callers.values()].map(caller => caller.close()))
  }

  return { tally, run, generateLong, close }
}
