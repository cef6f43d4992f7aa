/**
 * A fleet of gateways in virtual time: complete cores of instances, a network
 * between them, and workers that stream events, state limits, crash and record
 * every request that reaches them. The store answers every instance at once.
 */
import type { Gateway } from '../../src/gateway/gatewayInterface.js'
import { createGateway, tickInterval } from '../../src/gateway/gatewayMachine.js'
import type { GatewayEffect, GatewayInput, GatewayLogEvent } from '../../src/gateway/gatewayTypes.js'
import type { Moment } from '../../src/lease/readLease.js'
import type { FleetMember, StreamStoreEffect } from '../../src/ports/feedPort.js'
import type { AnswerHead, Call, Dispatch, RelayDispatch } from '../../src/ports/forwardPort.js'
import type { PeerMessage } from '../../src/ports/peerPort.js'
import { createRandom } from '../../src/random.js'
import type { Worker } from '../../src/workers/workersTypes.js'
import { buildGatewayBounds } from '../fixtures/gateway.js'
import type { BatchingWorkers } from './batchingWorkers.js'
import type { FakeCall, FakeGateways, FakeGatewaysOptions, FakeProbe, LinkCut, WorkerArrival } from './fakeGatewaysTypes.js'
import { createFakeNetwork } from './fakeNetwork.js'
import { createFakeWorkers } from './fakeWorkers.js'
import { createVirtualTime } from './virtualTime.js'

export type { FakeCall, FakeGateways, FakeGatewaysOptions, FakeProbe, LinkCut, WorkerArrival } from './fakeGatewaysTypes.js'

const storeReadInterval = 500 // ms
const workerDelay = 1 // ms
const storeDelay = 10 // ms
/** Time after which a connection that hangs is given up, as by the gateway's adapter, in ms. */
const connectTimeout = 200
const eventInterval = 40 // ms
/** Shortest time from the first event to a crash, and its random addition, in ms. */
const crashDelay = 40
const crashDelaySpread = 70

/** A request that another instance has passed on. */
interface RelayedCall {
  readonly instance: string
  readonly node: Running
  readonly attempt: number
}

interface Running {
  readonly gateway: Gateway
  readonly calls: Map<number, FakeCall>
  /** Closes the connections of attempts at batching workers. */
  readonly closes: Map<number, () => void>
  /** Attempts in progress; undefined for one that another instance has. */
  readonly attempts: Map<number, Dispatch | undefined>
  /** Requests of other instances, by their number here. */
  readonly relays: Map<number, RelayedCall>
  lastRequest: number
}

const buildMember = (id: string, starts: number): FleetMember =>
  ({ id, incarnation: `${id}-${starts}`, dataCentre: 'a', front: `${id}:80`, peer: { host: id, port: 90 }, capacity: 1 })

/**
 * Creates the fleet and starts its instances, which are called `n0`, `n1` and so on.
 *
 * @param options - size, configuration, workers and what these state
 */
export const createFakeGateways = (options: FakeGatewaysOptions): FakeGateways => {
  const { hash, catalog, streamEvents = 10 } = options
  const time = createVirtualTime()
  const network = createFakeNetwork(time, createRandom(options.seed ?? 1), options.countBytes)
  const running = new Map<string, Running>()
  const starts = new Map<string, number>()
  const storeCutOff = new Set<string>()
  const linkCuts = new Map<string, LinkCut>()
  /** What has arrived at instances that stand still. */
  const frozen = new Map<string, GatewayInput[]>()
  const crashRandom = createRandom(options.seed ?? 1)
  const workers = createFakeWorkers(time, crashRandom, options.workers)
  const arrivals: WorkerArrival[] = []
  const probes: FakeProbe[] = []
  const logEvents: { instance: string, at: number, event: GatewayLogEvent }[] = []

  const recordCalls: number[] = []
  const streamRecords: unknown[] = []

  const batching = options.batching?.(time, worker => { workers.crash(worker) })

  const moment = (): Moment => ({ steady: time.now(), wall: time.now() + (options.wallOffset ?? 0) })

  const input = (instance: string, event: GatewayInput): void => {
    const node = running.get(instance)
    if (node === undefined) return
    const held = frozen.get(instance)
    if (held !== undefined) {
      if (event.kind !== 'tick') held.push(event)
      return
    }
    for (const effect of node.gateway.handle(event, moment())) perform(instance, node, effect)
  }

  /** Passes an event to an instance unless it has ended or given the attempt up. */
  const inputOfAttempt = (instance: string, node: Running, attempt: number, event: GatewayInput): void => {
    if (running.get(instance) === node && node.attempts.has(attempt)) input(instance, event)
  }

  const fail = (instance: string, node: Running, attempt: number, failure: 'unsent' | 'cut'): void => {
    inputOfAttempt(instance, node, attempt, { kind: 'attempt.failed', attempt, failure })
    node.attempts.delete(attempt)
  }

  const headOf = (worker: Worker, call: Call): AnswerHead =>
    ({ status: 200, headers: ['Worker', worker.id], notRun: false, signed: true, requestId: call.id, weightVersion: worker.models[0]?.version, ...options.statements?.(worker, time.now()) })

  const serviceOf = (id: string): string | undefined => workers.listed().find(worker => worker.id === id)?.service

  /** The cut that lies between an instance and a worker. */
  const cutBetween = (instance: string, worker: string): LinkCut | undefined => {
    const cut = linkCuts.get(instance)
    if (cut?.workers?.includes(worker) === false) return undefined
    return cut?.service === undefined || cut.service === serviceOf(worker) ? cut : undefined
  }

  const runInBatch = (batch: BatchingWorkers, instance: string, node: Running, attempt: number, worker: Worker, call: Call, firstEvent: number): void => {
    if (!node.attempts.has(attempt)) return
    const { id } = worker
    const disconnect = workers.connect(id, () => fail(instance, node, attempt, 'cut'))
    arrivals.push({ call: call.id, worker: id, instance, at: time.now(), resumed: firstEvent > 1 })
    /** What reaches the instance; links that hang carry nothing. */
    const pass = (event: GatewayInput): void => {
      if (cutBetween(instance, id)?.mode !== 'hangs') inputOfAttempt(instance, node, attempt, event)
    }
    const close = batch.run(id, call, firstEvent, {
      head: head => pass({ kind: 'attempt.head', attempt, head: { ...headOf(worker, call), ...head } }),
      event: number => pass({ kind: 'attempt.data', attempt, bytes: Buffer.from(`id: ${number}\ndata: ${id}\n\n`) }),
      end: () => {
        disconnect()
        pass({ kind: 'attempt.ended', attempt })
        node.attempts.delete(attempt)
        node.closes.delete(attempt)
      }
    })
    node.closes.set(attempt, () => {
      disconnect()
      if (cutBetween(instance, id)?.mode !== 'hangs') time.after(workerDelay, close)
    })
  }

  const runAt = (instance: string, node: Running, attempt: number, { call, worker: id, resumeAfter }: Dispatch): void => {
    const worker = workers.running(id)
    const cut = cutBetween(instance, id)
    if (cut?.mode === 'hangs') return time.after(connectTimeout, () => fail(instance, node, attempt, 'unsent'))
    if (worker === undefined || cut !== undefined) return fail(instance, node, attempt, 'unsent')
    if (batching !== undefined && worker.models.length > 0) return runInBatch(batching, instance, node, attempt, worker, call, Number(resumeAfter ?? 0) + 1)
    const disconnect = workers.connect(id, () => fail(instance, node, attempt, 'cut'))
    const crash = (): void => {
      if (node.attempts.has(attempt) && workers.crash(id)) options.onCrash?.(call)
    }
    arrivals.push({ call: call.id, worker: id, instance, at: time.now(), resumed: resumeAfter !== undefined })
    const head = headOf(worker, call)
    const isAlive = (): boolean => workers.running(id)?.startedAt === worker.startedAt
    let crashesSoon = false
    const sendEvent = (event: number): void => {
      if (!isAlive()) return fail(instance, node, attempt, 'cut')
      const cutNow = cutBetween(instance, id)?.mode
      if (cutNow === 'refused') return fail(instance, node, attempt, 'cut')
      if (cutNow === 'hangs') return time.after(eventInterval, () => sendEvent(event))
      // A run that crashes its worker does not end before.
      if (crashesSoon && event > streamEvents) return
      if (event > streamEvents || head.notRun) {
        disconnect()
        inputOfAttempt(instance, node, attempt, { kind: 'attempt.ended', attempt })
        node.attempts.delete(attempt)
        return
      }
      inputOfAttempt(instance, node, attempt, { kind: 'attempt.data', attempt, bytes: Buffer.from(`id: ${event}\ndata: ${id}\n\n`) })
      time.after(eventInterval, () => sendEvent(event + 1))
    }
    time.after(eventInterval, () => {
      inputOfAttempt(instance, node, attempt, { kind: 'attempt.head', attempt, head })
      crashesSoon = options.crashes?.(call, time.now()) === true
      sendEvent(Number(resumeAfter ?? 0) + 1)
      if (crashesSoon) time.after(crashDelay + crashDelaySpread * crashRandom.unit(), crash)
    })
  }

  const probe = (instance: string, worker: string): void => {
    probes.push({ instance, worker, at: time.now() })
    const cut = cutBetween(instance, worker)
    const hangs = cut?.mode === 'hangs'
    const reachable = cut === undefined && workers.running(worker) !== undefined
    time.after(hangs ? connectTimeout : workerDelay, () => input(instance, { kind: 'worker.probed', worker, reachable, refused: !reachable && !hangs }))
  }

  const perform = (instance: string, node: Running, effect: GatewayEffect): void => {
    switch (effect.kind) {
      case 'peer.send': return network.send({ from: instance, to: effect.to, message: effect.message })
      case 'gateway.note': logEvents.push({ instance, at: time.now(), event: effect.note }); return
      case 'attempt.send':
        node.attempts.set(effect.attempt, effect.dispatch)
        time.after(workerDelay, () => runAt(instance, node, effect.attempt, effect.dispatch))
        return
      case 'relay.send':
        node.attempts.set(effect.attempt, undefined)
        time.after(workerDelay, () => relayAt(instance, node, effect.attempt, effect.relay))
        return
      case 'attempt.cancel': return cancel(node, effect.attempt)
      case 'streams.append':
      case 'streams.read':
        time.after(storeDelay, () => callRecords(instance, effect))
        return
      case 'worker.probe':
        probe(instance, effect.worker)
        return
      case 'call.open':
      case 'call.answer':
      case 'call.write':
      case 'call.end':
      case 'call.abort': return answer(node, effect)
      default:
    }
  }

  /** Performs a request to the topic of stream records; without a store it fails. */
  const callRecords = (instance: string, effect: StreamStoreEffect): void => {
    const isAppend = effect.kind === 'streams.append'
    const respond = (event: GatewayInput): void => time.after(storeDelay, () => input(instance, event))
    if (storeCutOff.has(instance)) return respond({ kind: isAppend ? 'streams.notAppended' : 'streams.unread' })
    recordCalls.push(time.now())
    if (!isAppend) return respond({ kind: 'streams.records', records: streamRecords.slice(-effect.count) })
    streamRecords.push(effect.record)
    respond({ kind: 'streams.appended' })
  }

  const relayAt = (instance: string, node: Running, attempt: number, { call, peer, timeLeft, resumeAfter, resumes }: RelayDispatch): void => {
    const other = running.get(peer)
    if (other === undefined) return fail(instance, node, attempt, 'unsent')
    other.lastRequest++
    other.relays.set(other.lastRequest, { instance, node, attempt })
    input(peer, { kind: 'call.arrived', request: other.lastRequest, call: { ...call, patience: timeLeft, relayed: true, ...(resumeAfter === undefined ? {} : { resumeAfter }), ...(resumes === undefined ? {} : { resumes }) } })
  }

  const cancel = (node: Running, attempt: number): void => {
    node.attempts.delete(attempt)
    node.closes.get(attempt)?.()
    node.closes.delete(attempt)
    for (const [id, other] of running) {
      for (const [request, relayed] of other.relays) {
        if (relayed.node !== node || relayed.attempt !== attempt) continue
        other.relays.delete(request)
        input(id, { kind: 'call.left', request, id: 'relayed', stage: 'open', reason: 'callerClosed' })
      }
    }
  }

  /** Passes what an instance answers to a relayed request to the one that relayed it. */
  const answerRelay = (node: Running, { instance, node: origin, attempt }: RelayedCall, effect: Extract<GatewayEffect, { kind: `call.${string}` }>): void => {
    const pass = (event: GatewayInput): void => inputOfAttempt(instance, origin, attempt, event)
    const passHead = (status: number, headers: readonly string[]): void =>
      pass({ kind: 'attempt.head', attempt, head: { status, headers, notRun: false, signed: status === 200 } })
    const finish = (): void => {
      node.relays.delete(effect.request)
      pass({ kind: 'attempt.ended', attempt })
      origin.attempts.delete(attempt)
    }
    switch (effect.kind) {
      case 'call.open': return passHead(effect.status, effect.headers)
      case 'call.write': return pass({ kind: 'attempt.data', attempt, bytes: effect.bytes })
      case 'call.answer':
        passHead(effect.status, effect.headers)
        pass({ kind: 'attempt.data', attempt, bytes: effect.body })
        return finish()
      case 'call.end': return finish()
      case 'call.abort':
        node.relays.delete(effect.request)
        return fail(instance, origin, attempt, 'cut')
    }
  }

  const answer = (node: Running, effect: Extract<GatewayEffect, { kind: `call.${string}` }>): void => {
    const relayed = node.relays.get(effect.request)
    if (relayed !== undefined) return time.after(workerDelay, () => answerRelay(node, relayed, effect))
    const received = node.calls.get(effect.request)
    if (received === undefined) return
    switch (effect.kind) {
      case 'call.open':
        received.status = effect.status
        return
      case 'call.write':
        for (const match of effect.bytes.toString().matchAll(/id: (\d+)\ndata: (.*)\n/g)) received.events.push({ id: match[1], worker: match[2] })
        return
      case 'call.answer':
        received.status = effect.status
        received.headers = effect.headers
        received.state = 'whole'
        return
      case 'call.end': received.state = 'whole'; return
      case 'call.abort': received.state = 'broken'
    }
  }

  let membersNow: readonly FleetMember[] = []

  const readStore = (instance: string): void => {
    if (storeCutOff.has(instance)) return
    input(instance, { kind: 'feed.members', members: membersNow, withdrawn: [] })
    input(instance, { kind: 'feed.catalog', catalog })
    input(instance, { kind: 'feed.proof', asOf: moment() })
    input(instance, { kind: 'feed.workers', records: workers.listed().map(worker => ({ kind: 'present', worker })), complete: true })
  }

  const every = (instance: string, node: Running, interval: number, action: () => void): void => {
    if (running.get(instance) !== node) return
    action()
    time.after(interval, () => every(instance, node, interval, action))
  }

  const start = (id: string): void => {
    const count = (starts.get(id) ?? 0) + 1
    starts.set(id, count)
    membersNow = [...starts].map(([member, memberStarts]) => buildMember(member, memberStarts))
    const gateway = createGateway({
      self: buildMember(id, count),
      bounds: buildGatewayBounds,
      hash,
      random: createRandom(count + hash.h32(id))
    })
    const node: Running = { gateway, calls: new Map(), closes: new Map(), attempts: new Map(), relays: new Map(), lastRequest: 0 }
    running.set(id, node)
    network.join(id, (from, message: PeerMessage) => input(id, { kind: 'peer.message', from, message }))
    every(id, node, storeReadInterval, () => readStore(id))
    every(id, node, tickInterval, () => input(id, { kind: 'tick' }))
  }

  const kill = (id: string): void => {
    const node = running.get(id)
    running.delete(id)
    network.leave(id)
    for (const close of node?.closes.values() ?? []) close()
    for (const received of node?.calls.values() ?? []) if (received.state === 'open') received.state = 'broken'
  }

  const send = (instance: string, call: Call): FakeCall => {
    const received: FakeCall = { call, instance, events: [], status: undefined, headers: [], state: 'open' }
    const node = running.get(instance)
    if (node === undefined) return { ...received, state: 'broken' }
    node.lastRequest++
    node.calls.set(node.lastRequest, received)
    input(instance, { kind: 'call.arrived', request: node.lastRequest, call })
    return received
  }

  const freeze = (id: string, duration: number): void => {
    frozen.set(id, [])
    time.after(duration, () => {
      const held = frozen.get(id) ?? []
      frozen.delete(id)
      for (const event of held) input(id, event)
    })
  }

  const hangUp = ({ call, instance, state }: FakeCall): void => {
    const node = running.get(instance)
    const request = [...node?.calls ?? []].find(([, received]) => received.call === call)?.[0]
    if (state !== 'open' || request === undefined) return
    input(instance, { kind: 'call.left', request, id: call.id, stage: 'open', reason: 'callerClosed' })
  }

  for (let index = 0; index < options.instances; index++) starts.set(`n${index}`, 0)
  for (const id of [...starts.keys()]) start(id)

  return {
    time,
    network,
    arrivals,
    probes,
    logEvents,
    recordCalls,
    live: () => [...running.keys()],
    send,
    hangUp,
    freeze,
    kill,
    leave: instance => input(instance, { kind: 'gateway.leave' }),
    start,
    setStoreReachable: (instance, reachable) => {
      if (reachable) storeCutOff.delete(instance)
      else storeCutOff.add(instance)
    },
    register: workers.register,
    announceWeights: (model, version) => { for (const id of running.keys()) input(id, { kind: 'feed.weights', model, version }) },
    endWorker: workers.end,
    restartWorker: workers.restart,
    cutLinks: (cutOff, cut) => { for (const instance of cutOff) linkCuts.set(instance, cut) },
    healLinks: () => linkCuts.clear(),
    crashWorker: workers.crash,
    resetConnections: workers.resetConnections
  }
}
