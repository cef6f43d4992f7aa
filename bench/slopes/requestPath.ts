/** Measures requests through the core of one node, with simulated workers and streams of a given length. */
import { createMetrics } from '../../src/metrics/metrics.js'
import { createNode } from '../../src/node/nodeMachine.js'
import type { NodeEffect, NodeInput } from '../../src/node/nodeTypes.js'
import type { Hash } from '../../src/hash.js'
import { createRandom } from '../../src/random.js'
import { readSettings } from '../../src/settings/settingsReader.js'
import { epoch, rulesFor } from '../../test/fakes/deployments.js'
import { createFakeLog } from '../../test/fakes/fakeLog.js'
import { liveBytes, processorTime } from './meter.js'

/** The cost of a request at one length of its answer. */
export interface RequestCost {
  /** Tokens of the answer. */
  readonly tokens: number
  /** Processor time of a complete request in microseconds. */
  readonly processor: number
  /** Heap of one open stream that has received all its tokens but not its end, in bytes. */
  readonly heap: number
}

type Dispatch = Extract<NodeEffect, { kind: 'endpoint.dispatch' }>

const levelBytes = 2_000 // of each of the three levels of a prompt
const openStreams = 341 // open at once while heap is measured
const measuredRequests = 600
const batchCount = 6 // batches of the measured requests, each after 100 ms of virtual time

/** Thrown when a request is not dispatched; the message is the node's answer to it. */
class NoDispatch extends Error {
  override readonly name = 'NoDispatch'
}

const settingsText = (workers: number): string => {
  const sections = Array.from({ length: workers }, (_, index) => `[worker.w${index}]\nhost = 127.0.0.1\nport = ${10_000 + index}\ndata_centre = d0\nmodels = drafter@7\nslots = 4096\n`)
  return `[instance]\nid = n0\ndata_centre = d0\n[streams]\nresume_keys = 0123456789abcdef\n${sections.join('')}`
}

/**
 * Measures requests with answers of one length.
 *
 * @param hash - hash functions
 * @param workers - workers that serve the model
 * @param tokens - tokens of each answer
 * @returns the cost of a request
 * @throws NoDispatch if the node answers a request itself instead of dispatching it
 */
export const measureRequests = (hash: Hash, workers: number, tokens: number): RequestCost => {
  const log = createFakeLog()
  const settings = readSettings('slopes', settingsText(workers))._unsafeUnwrap()
  const node = createNode({ settings, self: { incarnation: 'n0-1', callerPort: 7_000, peerPort: 9_000 }, hash, random: createRandom(1), metrics: createMetrics({ processMetrics: false }), startedAt: epoch })
  let now = epoch
  let lastRequest = 0
  const dispatched: Dispatch[] = []
  let lastAnswer = ''

  const feed = (input: NodeInput): void => {
    for (const effect of node.handle(input, now)) {
      if (effect.kind === 'caller.answer') lastAnswer = String(effect.body)
      if (effect.kind === 'log.append' || effect.kind === 'log.read') feed(log.perform(effect, now))
      if (effect.kind === 'endpoint.dispatch') dispatched.push(effect)
    }
  }
  const advance = (duration: number): void => {
    for (const until = now + duration; now < until; now += 50) feed({ kind: 'tick' })
  }

  const sendRequest = (): Dispatch => {
    const request = ++lastRequest
    const messages = [0, 1, 2].map(level => ({ role: level === 2 ? 'user' : 'system', content: `${level}:${level === 2 ? request : request % 8 ** (level + 1)} `.padEnd(levelBytes, 'x') }))
    const body = Buffer.from(JSON.stringify({ model: 'drafter', stream: true, max_tokens: tokens, messages }))
    now += 1
    feed({ kind: 'caller.request', request, method: 'POST', path: '/v1/chat/completions', headers: { authorization: 'Bearer demo-key-ws7' }, body, remote: '127.0.0.1' })
    const dispatch = dispatched.pop()
    if (dispatch === undefined) throw new NoDispatch(lastAnswer)
    return dispatch
  }
  const feedChunk = ({ attempt, request }: Dispatch, position: number): void => {
    const last = position === tokens
    const choice = { index: 0, delta: last ? {} : { content: ` oak${position}` }, finish_reason: last ? 'stop' : null }
    const usage = last ? { usage: { prompt_tokens: 1_500, completion_tokens: tokens, prompt_tokens_details: { cached_tokens: 0 } } } : {}
    feed({ kind: 'endpoint.chunk', attempt, requestId: request.id, position, data: JSON.stringify({ id: request.id, choices: [choice], ...usage }) })
  }
  const startStream = (): Dispatch => {
    const dispatch = sendRequest()
    const { attempt, endpoint, request } = dispatch
    feed({ kind: 'endpoint.head', attempt, status: 200, requestId: request.id, incarnation: `${endpoint}-1`, weightVersion: '7' })
    for (let position = 0; position < tokens; position++) feedChunk(dispatch, position)
    return dispatch
  }
  const endStream = (dispatch: Dispatch): void => {
    feedChunk(dispatch, tokens)
    feed({ kind: 'endpoint.end', attempt: dispatch.attempt })
  }
  const completeRequests = (count: number): void => {
    for (let index = 0; index < count; index++) endStream(startStream())
  }

  advance(1_000)
  const workspaceNames = Array.from({ length: 890 }, (_, index) => `ws${index}`)
  feed({ kind: 'operator.request', request: 0, method: 'POST', path: '/v1/rules', headers: { authorization: 'Bearer demo-operator-fleet' }, body: Buffer.from(JSON.stringify({ base: 0, text: rulesFor(workspaceNames), publisher: 'Rae', publishId: 'p' })) })
  advance(2_000)
  for (let index = 0; index < workers; index++) feed({ kind: 'endpoint.report', endpoint: `w${index}`, incarnation: `w${index}-1`, models: [{ model: 'drafter', weightVersion: '7' }], running: 0, waiting: 0, waitingTokens: 0, leaving: false })
  for (let batch = 0; batch < batchCount; batch++) {
    advance(100)
    completeRequests(measuredRequests / batchCount)
  }
  let processor = 0
  for (let batch = 0; batch < batchCount; batch++) {
    advance(100)
    processor += processorTime(() => completeRequests(measuredRequests / batchCount)) / measuredRequests
  }
  advance(100)
  const heapBefore = liveBytes()
  const streams = Array.from({ length: openStreams }, startStream)
  const heap = (liveBytes() - heapBefore) / openStreams
  streams.forEach(endStream)
  return { tokens, processor, heap }
}
