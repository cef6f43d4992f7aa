/** Instances that run the endpoints feature against workers, in virtual time. */
import type { Hash } from '../../src/hash.js'
import type { EndpointsEffect, EndpointsInput } from '../../src/endpoints/endpointsContext.js'
import { createEndpoints } from '../../src/endpoints/endpointsMachine.js'
import type { Endpoints } from '../../src/endpoints/endpointsMachine.js'
import type { EndpointDescriptor, LoadedModel } from '../../src/endpoints/endpointsTypes.js'
import type { Member } from '../../src/ports/membershipPort.js'
import { tickInterval } from '../../src/ports/peerPort.js'
import { createRandom } from '../../src/random.js'
import { createFakeNetwork } from './fakeNetwork.js'
import type { FakeNetwork } from './fakeNetwork.js'
import { createVirtualTime } from './virtualTime.js'
import type { VirtualTime } from './virtualTime.js'

/** A worker's true state. */
export interface FakeWorker {
  readonly id: string
  incarnation: string
  leaving: boolean
  up: boolean
  running: number
  models: readonly LoadedModel[]
  probes: number
}

/** The model that every worker holds at first. */
export const firstModel: LoadedModel = { model: 'm1', weightVersion: 'v1' }

/** Settings of a worker. */
export const workerDescriptor = (index: number): EndpointDescriptor => ({
  id: `w${index}`,
  kind: 'worker',
  address: { host: '127.0.0.1', port: 9000 + index },
  dataCentre: `dc${index % 3}`,
  fenced: index % 2 === 0,
  slots: 8,
  models: [firstModel]
})

/** Row of an instance. */
export const instanceMember = (index: number): Member => ({
  id: `n${index}`,
  kind: 'entry',
  incarnation: `n${index}-1`,
  address: { host: '127.0.0.1', port: 7000 + index },
  dataCentre: `dc${index % 3}`,
  state: 'live',
  size: 1
})

/** Row of a worker. */
export const workerMember = (worker: FakeWorker, state: 'live' | 'leaving' = 'live'): Member => {
  const { id, kind, address, dataCentre } = workerDescriptor(Number(worker.id.slice(1)))
  return { id, kind, incarnation: worker.incarnation, address, dataCentre, state, size: 1 }
}

/** What a probe finds. */
export type ProbeAnswer = Extract<EndpointsInput, { kind: 'endpoint.report' | 'endpoint.unreachable' }>

/** The present answer of a worker to a probe. */
export const probeAnswer = (worker: FakeWorker): ProbeAnswer => {
  const { id, incarnation, leaving, models, running, up } = worker
  if (!up) return { kind: 'endpoint.unreachable', endpoint: id }
  return { kind: 'endpoint.report', endpoint: id, incarnation, models, running, waiting: 0, waitingTokens: 0, leaving }
}

/** Instances and workers. */
export interface EndpointsFleet {
  readonly time: VirtualTime
  readonly network: FakeNetwork
  readonly workers: ReadonlyMap<string, FakeWorker>
  readonly instances: ReadonlyMap<string, Endpoints>
  readonly changes: Array<{ readonly node: string, readonly at: number, readonly effect: EndpointsEffect }>
  readonly handle: (node: string, input: EndpointsInput) => void
  readonly run: (duration: number) => void
  /** Replaces how probes are answered; undefined answers with the worker's present state. */
  readonly answerProbes: (answer: (node: string, worker: FakeWorker) => ProbeAnswer | undefined) => void
  readonly start: (index: number, known: readonly EndpointDescriptor[]) => void
  readonly stop: (index: number) => void
}

/** Size of the fleet. */
export interface EndpointsFleetOptions {
  readonly hash: Hash
  readonly instances: number
  readonly workers: number
  readonly countBytes?: boolean
}

/** Round trip of a probe, in ms. */
const probeTime = 3

/**
 * Starts instances that know all workers from their settings.
 *
 * @param options - the size
 */
export const startEndpointsFleet = ({ hash, instances, workers: workerCount, countBytes: counting = false }: EndpointsFleetOptions): EndpointsFleet => {
  const time = createVirtualTime(1_000_000)
  const network = createFakeNetwork(time, createRandom(3), counting)
  const settings = Array.from({ length: workerCount }, (_, index) => workerDescriptor(index))
  const workers = new Map(settings.map(({ id }): [string, FakeWorker] =>
    [id, { id, incarnation: `${id}-1`, leaving: false, up: true, running: 0, models: [firstModel], probes: 0 }]))
  const members = Array.from({ length: instances }, (_, index) => instanceMember(index))
  const nodes = new Map<string, Endpoints>()
  const changes: EndpointsFleet['changes'] = []
  let answer: (node: string, worker: FakeWorker) => ProbeAnswer | undefined = () => undefined

  const probe = (node: string, endpoint: string): void => {
    const worker = workers.get(endpoint)
    if (worker === undefined) return
    worker.probes++
    const result = answer(node, worker)
    time.after(probeTime, () => handle(node, result ?? probeAnswer(worker)))
  }

  const perform = (node: string, effects: readonly EndpointsEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'peer.send') network.send({ from: node, to: effect.to, message: effect.message })
      else if (effect.kind === 'endpoint.probe') probe(node, effect.endpoint)
      else changes.push({ node, at: time.now(), effect })
    }
  }

  const handle = (node: string, input: EndpointsInput): void => {
    const machine = nodes.get(node)
    if (machine !== undefined) perform(node, machine.handle(input, time.now()))
  }

  const start = (index: number, known: readonly EndpointDescriptor[]): void => {
    const { id } = instanceMember(index)
    const machine = createEndpoints({ self: id, configured: known, hash, random: createRandom(index + 1) })
    nodes.set(id, machine)
    network.join(id, (from, message) => handle(id, { kind: 'peer.message', from, message }))
    handle(id, { kind: 'membership.changed', members })
    const tick = (): void => {
      if (nodes.get(id) !== machine) return
      handle(id, { kind: 'tick' })
      time.after(tickInterval, tick)
    }
    time.after((index * 7) % tickInterval, tick)
  }

  const stop = (index: number): void => {
    nodes.delete(instanceMember(index).id)
    network.leave(instanceMember(index).id)
  }

  members.forEach((_, index) => start(index, settings))
  return {
    time,
    network,
    workers,
    instances: nodes,
    changes,
    handle,
    run: duration => time.runUntil(time.now() + duration),
    answerProbes: replacement => {
      answer = replacement
    },
    start,
    stop
  }
}
