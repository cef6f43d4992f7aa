/**
 * A small fleet: complete instances of the real core with fake engines, services, log,
 * membership list and callers, all in the same virtual time. Hooks can inject a fault
 * at every step and record a transcript.
 */
import type { Hash } from '../../src/hash.js'
import { createMetrics } from '../../src/metrics/metrics.js'
import { createNode, type Node } from '../../src/node/nodeMachine.js'
import type { NodeEffect, NodeInput } from '../../src/node/nodeTypes.js'
import type { EndpointEffect } from '../../src/ports/endpointPort.js'
import type { Member } from '../../src/ports/membershipPort.js'
import { tickInterval } from '../../src/ports/peerPort.js'
import { createRandom } from '../../src/random.js'
import { readSettings } from '../../src/settings/settingsReader.js'
import type { Settings } from '../../src/settings/settingsSchema.js'
import { createExchange, type Conversation, type Exchange, type ReceivedAnswer } from './fakeCaller.js'
import { createFakeModelEngine, type FakeModelEngine, type PartDelivery } from './fakeModelEngine.js'
import { createFakeLog, type FakeLog, type LogFault } from './fakeLog.js'
import { createFakeService, type FakeService, type ServiceOutcome } from './fakeService.js'
import { createVirtualTime, type VirtualTime } from './virtualTime.js'

/** Observers and fault injection of a test; `noFaultHooks` are the defaults. All times are in ms. */
export interface FleetHooks {
  /** Called before an instance handles an input; may crash or freeze the instance. */
  readonly onInput: (node: string, input: NodeInput) => void
  /** Called before an effect of an instance is carried out. */
  readonly onEffect: (node: string, effect: NodeEffect) => void
  /** Decides how a part of an engine's answer is delivered. */
  readonly enginePartDelivery: (engine: string, part: 'head' | 'chunk' | 'end') => PartDelivery
  /** Decides what happens to a call at a service. */
  readonly serviceOutcome: (service: string) => ServiceOutcome
  /** Decides which fault a log operation meets; `late` delays its answer. */
  readonly logFault: (node: string, effect: Extract<NodeEffect, { kind: `log.${string}` }>) => LogFault | { readonly late: number }
  /** Decides how a peer message is delivered. */
  readonly peerDelivery: (from: string, to: string) => 'deliver' | 'drop' | 'twice' | { readonly late: number }
  /** Decides whether the membership list can be reached. */
  readonly listFault: () => 'none' | 'outage'
  /** Called with each answer that a caller receives. */
  readonly onAnswer: (conversation: Conversation, answer: ReceivedAnswer, node: string) => void
  /** Returns the input that an instance handles in place of the given one. */
  readonly tamperInput: (node: string, input: NodeInput) => NodeInput
  /** Returns the effect that is carried out in place of the given one. */
  readonly tamperEffect: (effect: NodeEffect) => NodeEffect
  /** Called with each line of the transcript. */
  readonly note: (line: string) => void
}

/** An instance and its process. */
export interface FleetNode {
  readonly id: string
  /** Undefined while the process is not running. */
  node: Node | undefined
  /** Number of starts so far. */
  starts: number
  /** Until this time, in ms, the process handles no input. */
  frozenUntil: number
  /** Whether its listener accepts callers. */
  listening: boolean
  /** Whether the process exited at the end of a drain; it does not start again. */
  exited: boolean
}

/** The fleet and the means to control it. */
export interface FakeFleet {
  readonly time: VirtualTime
  readonly log: FakeLog
  readonly nodes: ReadonlyMap<string, FleetNode>
  readonly engines: ReadonlyMap<string, FakeModelEngine>
  readonly services: ReadonlyMap<string, FakeService>
  /** Entries of the platform's membership list, by instance. */
  readonly list: Map<string, Member>
  /** Passes an input to an instance at once, or at the end of its freeze. */
  readonly feed: (node: string, input: NodeInput) => void
  /** Ends the process of an instance and closes all of its connections. */
  readonly crash: (node: string) => void
  /** Starts an instance with a new incarnation, unless it runs or has exited. */
  readonly start: (node: string) => void
  /** Makes an instance handle no input for a time. */
  readonly freeze: (node: string, ms: number) => void
  /** Sends the request of a conversation to an instance. */
  readonly call: (conversation: Conversation, node: string) => void
  /** Closes the connections of a conversation from the caller's side. */
  readonly disconnect: (conversation: Conversation) => void
  /** Publishes a text of rules, based on version `base`, through an instance. */
  readonly publish: (node: string, base: number, text: string, publisher: string) => void
  /** Answers to operator requests; `publisher` is the id of the instance that answered. */
  readonly operatorAnswers: readonly { readonly publisher: string, readonly body: string }[]
}

/** Delay of a delivery without faults, in ms. */
const deliveryDelay = 2
/** Maximum number of requests that a caller sends for one conversation. */
const maxCallerTries = 8
/** Delay of a caller's retry when the answer states none, in ms. */
const defaultRetryDelay = 300

/** Hooks that inject no fault and observe nothing. */
export const noFaultHooks: FleetHooks = {
  onInput: () => {},
  onEffect: () => {},
  enginePartDelivery: () => 'deliver',
  serviceOutcome: () => 'run',
  logFault: () => 'none',
  peerDelivery: () => 'deliver',
  listFault: () => 'none',
  onAnswer: () => {},
  tamperInput: (_node, input) => input,
  tamperEffect: effect => effect,
  note: () => {}
}

/** Members, hooks and start of a fake fleet. */
export interface FleetPlan {
  readonly hash: Hash
  readonly seed: number
  readonly hooks: FleetHooks
  readonly nodes: readonly { readonly id: string, readonly dataCentre: string }[]
  readonly engines: readonly { readonly id: string, readonly dataCentre: string, readonly models: string }[]
  readonly services: readonly { readonly id: string, readonly dataCentre: string, readonly service: string }[]
  /** Start of virtual time, in ms since 1970. */
  readonly startAt: number
}

const settingsOf = (plan: FleetPlan, node: { readonly id: string, readonly dataCentre: string }): Settings => {
  const seeds = plan.nodes.map(({ id }, index) => `${id}@127.0.0.1:${9000 + index}`).join(',')
  const workers = plan.engines.map(({ id, dataCentre, models }, index) => `[worker.${id}]\nhost = 127.0.0.1\nport = ${8000 + index}\ndata_centre = ${dataCentre}\nmodels = ${models}\n`)
  const services = plan.services.map(({ id, dataCentre, service }, index) => `[service.${id}]\nhost = 127.0.0.1\nport = ${8500 + index}\ndata_centre = ${dataCentre}\nservice = ${service}\n`)
  const text = `[instance]\nid = ${node.id}\ndata_centre = ${node.dataCentre}\n[peer]\nseeds = ${seeds}\n[streams]\nresume_keys = 0123456789abcdef\n[addresses]\ntime_to_live = 1000\n[platform]\nlist_lag = 1500\n${workers.join('')}${services.join('')}`
  return readSettings('fleet', text)._unsafeUnwrap()
}

/**
 * Creates a fleet and starts its instances.
 *
 * @param plan - members, hooks, seed and start time
 */
export const createFakeFleet = (plan: FleetPlan): FakeFleet => {
  const { hooks, hash } = plan
  const time = createVirtualTime(plan.startAt)
  const log = createFakeLog()
  const engines = new Map(plan.engines.map(({ id, models }) => [id, createFakeModelEngine(id, time, models.split(',').map(model => model.split('@')[1]))]))
  const services = new Map(plan.services.map(({ id }) => [id, createFakeService(id, time)]))
  const nodes = new Map<string, FleetNode>(plan.nodes.map(({ id }) => [id, { id, node: undefined, starts: 0, frozenUntil: 0, listening: false, exited: false }]))
  const list = new Map<string, Member>()
  const exchanges = new Map<string, { readonly conversation: Conversation, readonly exchange: Exchange, readonly node: string }>()
  const attempts = new Map<string, { readonly endpoint: string, readonly engineRequest: string, open: boolean }>()
  const operatorAnswers: { publisher: string, body: string }[] = []
  let requests = 0

  const record = (line: string): void => hooks.note(`${String(time.now() - plan.startAt).padStart(6)} ${line}`)

  const settings = new Map(plan.nodes.map(node => [node.id, settingsOf(plan, node)]))

  /** Delivers an input after a delay in ms, unless the process has ended by then; a frozen process receives it at the end of its freeze. */
  const deliver = (to: string, input: NodeInput, after = deliveryDelay): void => {
    const target = nodes.get(to)
    if (target === undefined) return
    const { starts } = target
    time.after(after, () => {
      if (target.node === undefined || target.starts !== starts) return
      if (time.now() < target.frozenUntil) deliver(to, input, target.frozenUntil - time.now())
      else feed(to, input)
    })
  }

  const feed = (id: string, input: NodeInput): void => {
    hooks.onInput(id, input)
    const target = nodes.get(id)
    if (target?.node === undefined) return
    if (time.now() < target.frozenUntil) return deliver(id, input, target.frozenUntil - time.now())
    const { starts } = target
    for (const effect of target.node.handle(hooks.tamperInput(id, input), time.now())) {
      hooks.onEffect(id, effect)
      if (target.node === undefined || target.starts !== starts) return
      perform(id, hooks.tamperEffect(effect))
    }
  }

  const attemptName = (node: string, attempt: number): string => `${node}/${nodes.get(node)?.starts ?? 0}/${attempt}`

  const dispatch = (node: string, effect: Extract<EndpointEffect, { kind: 'endpoint.dispatch' }>): void => {
    const { endpoint, attempt, request } = effect
    const name = attemptName(node, attempt)
    const state = { endpoint, engineRequest: request.id, open: true }
    attempts.set(name, state)
    record(`${node} -> ${endpoint}: ${request.kind === 'model' ? `${request.resumeFrom === undefined ? 'generate' : `resume from ${request.resumeFrom}`}` : `${request.method} ${request.path}`}`)
    const reply = (input: NodeInput): void => {
      if (state.open) deliver(node, input)
    }
    time.after(deliveryDelay, () => {
      const engine = engines.get(endpoint)
      if (engine !== undefined) return engine.dispatch(effect, { deliver: reply, partDelivery: part => hooks.enginePartDelivery(endpoint, part) })
      services.get(endpoint)?.dispatch(effect, reply, hooks.serviceOutcome(endpoint))
    })
  }

  const probe = (node: string, endpoint: string): void => {
    const engine = engines.get(endpoint)
    const service = services.get(endpoint)
    const alive = engine?.isAlive() ?? service?.isAlive() ?? false
    if (!alive) return deliver(node, { kind: 'endpoint.unreachable', endpoint })
    const models = [...(engine?.versions ?? [])].map(weightVersion => ({ model: 'drafter', weightVersion }))
    const incarnation = engine?.incarnation() ?? service?.incarnation() ?? ''
    deliver(node, { kind: 'endpoint.report', endpoint, incarnation, models, running: 0, waiting: 0, waitingTokens: 0, leaving: engine?.leaving ?? service?.leaving ?? false })
  }

  const performLog = (node: string, effect: Extract<NodeEffect, { kind: `log.${string}` }>): void => {
    const fault = hooks.logFault(node, effect)
    const late = typeof fault === 'object' ? fault.late : 0
    time.after(deliveryDelay, () => deliver(node, log.perform(effect, time.now(), typeof fault === 'object' ? 'none' : fault), deliveryDelay + late))
  }

  const performPeer = (node: string, effect: Extract<NodeEffect, { kind: 'peer.send' }>): void => {
    const delivery = hooks.peerDelivery(node, effect.to)
    if (delivery === 'drop') return
    if (nodes.get(effect.to)?.node === undefined) return deliver(node, { kind: 'peer.lost', from: effect.to })
    const input: NodeInput = { kind: 'peer.message', from: node, message: structuredClone(effect.message) }
    deliver(effect.to, input, typeof delivery === 'object' ? delivery.late : deliveryDelay)
    if (delivery === 'twice') deliver(effect.to, structuredClone(input), 2 * deliveryDelay)
  }

  const performList = (node: string, effect: Extract<NodeEffect, { kind: 'membership.fetch' | 'membership.announce' }>): void => {
    if (hooks.listFault() === 'outage') return deliver(node, { kind: 'membership.failed' })
    if (effect.kind === 'membership.announce') list.set(effect.member.id, effect.member)
    else deliver(node, { kind: 'membership.list', members: [...list.values()] })
  }

  const handleCallerEffect = (name: string, effect: Extract<NodeEffect, { kind: `caller.${string}` }>): void => {
    const open = exchanges.get(name)
    if (open === undefined) return
    const answer = open.exchange.handleEffect(effect)
    if (answer === undefined) return
    exchanges.delete(name)
    finishExchange(open.conversation, answer, open.node)
  }

  const perform = (node: string, effect: NodeEffect): void => {
    switch (effect.kind) {
      case 'caller.answer':
      case 'caller.open':
      case 'caller.write':
      case 'caller.end':
      case 'caller.abort': return handleCallerEffect(`${node}/${effect.request}`, effect)
      case 'operator.answer':
        operatorAnswers.push({ publisher: node, body: effect.body })
        return record(`${node} -> operator: ${effect.status} ${effect.body.slice(0, 120)}`)
      case 'endpoint.dispatch': return dispatch(node, effect)
      case 'endpoint.detach':
      case 'endpoint.cancel': {
        const state = attempts.get(attemptName(node, effect.attempt))
        if (state === undefined) return
        state.open = false
        if (effect.kind === 'endpoint.cancel') engines.get(state.endpoint)?.cancel(state.engineRequest)
        return
      }
      case 'endpoint.probe': return probe(node, effect.endpoint)
      case 'log.append':
      case 'log.read': return performLog(node, effect)
      case 'peer.send': return performPeer(node, effect)
      case 'membership.fetch':
      case 'membership.announce': return performList(node, effect)
      case 'drain.closeListener': {
        const target = nodes.get(node)
        if (target !== undefined) target.listening = false
        return record(`${node} closes its listener`)
      }
      case 'drain.exit': {
        const target = nodes.get(node)
        if (target !== undefined) target.exited = true
        record(`${node} exits`)
        return stop(node)
      }
      case 'node.changed':
        if (effect.change.kind === 'configInForce') record(`${node}: version ${effect.change.version} of ${effect.change.publisher} in force`)
        if (effect.change.kind === 'drainStarted') record(`${node}: leaving`)
        break
      default:
        break
    }
  }

  /** Ends the process of an instance; all of its connections close. */
  const stop = (id: string): void => {
    const target = nodes.get(id)
    if (target?.node === undefined) return
    target.node = undefined
    target.listening = false
    for (const [name, state] of attempts) if (name.startsWith(`${id}/`)) state.open = false
    for (const [name, { conversation, node }] of [...exchanges]) {
      if (node !== id) continue
      exchanges.delete(name)
      time.after(deliveryDelay, () => finishExchange(conversation, { kind: 'cut' }, node))
    }
  }

  const crash = (id: string): void => {
    if (nodes.get(id)?.node !== undefined) record(`${id} crashes`)
    stop(id)
  }

  const tick = (id: string, starts: number): void => {
    const target = nodes.get(id)
    if (target?.node === undefined || target.starts !== starts) return
    if (time.now() >= target.frozenUntil) feed(id, { kind: 'tick' })
    time.after(tickInterval, () => tick(id, starts))
  }

  const start = (id: string): void => {
    const target = nodes.get(id)
    const ownSettings = settings.get(id)
    if (target === undefined || ownSettings === undefined || target.node !== undefined || target.exited) return
    target.starts++
    const index = plan.nodes.findIndex(node => node.id === id)
    const incarnation = `${id}-start-${target.starts}`
    const random = createRandom(plan.seed * 1000 + index * 31 + target.starts)
    target.node = createNode({ settings: ownSettings, self: { incarnation, callerPort: 7000 + index, peerPort: 9000 + index }, hash, random, metrics: createMetrics({ processMetrics: false }), startedAt: time.now() })
    target.listening = true
    target.frozenUntil = 0
    if (target.starts > 1) record(`${id} starts again`)
    const { starts } = target
    time.after(index + 1, () => tick(id, starts))
  }

  const freeze = (id: string, ms: number): void => {
    const target = nodes.get(id)
    if (target === undefined) return
    record(`${id} freezes for ${ms} ms`)
    target.frozenUntil = Math.max(target.frozenUntil, time.now() + ms)
  }

  const call = (conversation: Conversation, id: string): void => {
    conversation.tries++
    const target = nodes.get(id)
    record(`${conversation.name} -> ${id}: POST ${conversation.path}${conversation.lastEventId === undefined ? '' : ' with its last event id'}`)
    if (target?.node === undefined || !target.listening) return time.after(deliveryDelay, () => finishExchange(conversation, { kind: 'cut' }, id))
    const request = ++requests
    const exchange = createExchange(conversation, request)
    exchanges.set(`${id}/${request}`, { conversation, exchange, node: id })
    deliver(id, exchange.input)
  }

  const disconnect = (conversation: Conversation): void => {
    for (const [name, open] of [...exchanges]) {
      if (open.conversation !== conversation) continue
      exchanges.delete(name)
      deliver(open.node, { kind: 'caller.gone', request: Number(name.split('/')[1]) })
      finishExchange(conversation, { kind: 'cut' }, open.node)
    }
  }

  /** The instance for a caller's next request: callers try the instances in turn. */
  const nextNode = (conversation: Conversation): string => {
    const ids = [...nodes.keys()]
    return ids[conversation.tries % ids.length]
  }

  /** Delay of the retry after an answer, in ms; undefined if the caller does not retry. */
  const retryDelay = (answer: ReceivedAnswer): number | undefined => {
    if (answer.kind === 'cut') return defaultRetryDelay
    if (answer.kind === 'whole') return undefined
    return answer.type === 'stream_interrupted' ? defaultRetryDelay : answer.retryAfter
  }

  const finishExchange = (conversation: Conversation, answer: ReceivedAnswer, node: string): void => {
    conversation.answers.push(answer)
    hooks.onAnswer(conversation, answer, node)
    if (answer.kind === 'error') discardPartialStream(conversation)
    record(`${conversation.name} hears ${answer.kind === 'error' ? `${answer.type} (${answer.outcome})` : answer.kind}`)
    const wait = retryDelay(answer)
    if (wait === undefined || conversation.tries >= maxCallerTries) {
      conversation.result = answer
      return
    }
    time.after(wait, () => call(conversation, nextNode(conversation)))
  }

  /** On an error, a client library discards the part of the stream that it has received. */
  const discardPartialStream = (conversation: Conversation): void => {
    conversation.text = ''
    conversation.lastEventId = undefined
  }

  const publish = (node: string, base: number, text: string, publisher: string): void => {
    const body = JSON.stringify({ base, text, publisher, publishId: `${publisher}-${base}` })
    record(`${publisher} -> ${node}: publishes on version ${base}`)
    deliver(node, { kind: 'operator.request', request: ++requests, method: 'POST', path: '/v1/rules', headers: { authorization: 'Bearer demo-operator-fleet' }, body: Buffer.from(body) })
  }

  for (const id of nodes.keys()) start(id)
  return { time, log, nodes, engines, services, list, feed, crash, start, freeze, call, disconnect, publish, operatorAnswers }
}
