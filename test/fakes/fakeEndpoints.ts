/** Fake fleet for tests: endpoint registries of several instances that probe fake workers in virtual time. */
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

/** Actual state of a fake worker. */
export interface FakeWorker {
  readonly id: string
  incarnation: string
  leaving: boolean
  up: boolean
  running: number
  models: readonly LoadedModel[]
  /** Probes received so far. */
  probes: number
}

/** The model that every worker has loaded at first. */
export const firstModel: LoadedModel = { model: 'm1', weightVersion: 'v1' }

/** Builds the configured descriptor of worker `w<index>`. */
export const workerDescriptor = (index: number): EndpointDescriptor => ({
  id: `w${index}`,
  kind: 'worker',
  address: { host: '127.0.0.1', port: 9000 + index },
  dataCentre: `dc${index % 3}`,
  fenced: index % 2 === 0,
  slots: 8,
  models: [firstModel]
})

/** Builds the membership list entry of instance `n<index>`. */
export const instanceMember = (index: number): Member => ({
  id: `n${index}`,
  kind: 'entry',
  incarnation: `n${index}-1`,
  address: { host: '127.0.0.1', port: 7000 + index },
  dataCentre: `dc${index % 3}`,
  state: 'live',
  size: 1
})

/** Builds the membership list entry of a worker. */
export const workerMember = (worker: FakeWorker, state: 'live' | 'leaving' = 'live'): Member => {
  const { id, kind, address, dataCentre } = workerDescriptor(Number(worker.id.slice(1)))
  return { id, kind, incarnation: worker.incarnation, address, dataCentre, state, size: 1 }
}

/** Result of a probe. */
export type ProbeAnswer = Extract<EndpointsInput, { kind: 'endpoint.report' | 'endpoint.unreachable' }>

/** Builds the result of probing a worker in its present state. */
export const probeAnswer = (worker: FakeWorker): ProbeAnswer => {
  const { id, incarnation, leaving, models, running, up } = worker
  if (!up) return { kind: 'endpoint.unreachable', endpoint: id }
  return { kind: 'endpoint.report', endpoint: id, incarnation, models, running, waiting: 0, waitingTokens: 0, leaving }
}

/** Instances and workers of a fake fleet. */
export interface EndpointsFleet {
  readonly time: VirtualTime
  readonly network: FakeNetwork
  readonly workers: ReadonlyMap<string, FakeWorker>
  readonly instances: ReadonlyMap<string, Endpoints>
  /** Effects emitted by instances, other than probes and messages. */
  readonly changes: Array<{ readonly instance: string, readonly at: number, readonly effect: EndpointsEffect }>
  /** Passes an input to an instance and performs the effects. */
  readonly handle: (instance: string, input: EndpointsInput) => void
  /** Advances the virtual time, in ms. */
  readonly run: (duration: number) => void
  /** Sets a function that overrides probe results; where it returns undefined, the worker's present state is used. */
  readonly answerProbes: (answer: (instance: string, worker: FakeWorker) => ProbeAnswer | undefined) => void
  /** Starts an instance with the given configured endpoints. */
  readonly start: (index: number, configured: readonly EndpointDescriptor[]) => void
  /** Stops an instance. */
  readonly stop: (index: number) => void
}

/** Options of a fake fleet. */
export interface EndpointsFleetOptions {
  readonly hash: Hash
  readonly instances: number
  readonly workers: number
  /** Whether the network counts bytes sent; false by default. */
  readonly countBytes?: boolean
}

/** Round-trip time of a probe, in ms. */
const probeRoundTrip = 3

/**
 * Starts a fleet whose instances have all workers in their settings.
 *
 * @param options - numbers of instances and workers, hash function
 * @returns the running fleet
 */
export const startEndpointsFleet = ({ hash, instances: instanceCount, workers: workerCount, countBytes = false }: EndpointsFleetOptions): EndpointsFleet => {
  const time = createVirtualTime(1_000_000)
  const network = createFakeNetwork(time, createRandom(3), countBytes)
  const settings = Array.from({ length: workerCount }, (_, index) => workerDescriptor(index))
  const workers = new Map(settings.map(({ id }): [string, FakeWorker] =>
    [id, { id, incarnation: `${id}-1`, leaving: false, up: true, running: 0, models: [firstModel], probes: 0 }]))
  const members = Array.from({ length: instanceCount }, (_, index) => instanceMember(index))
  const machines = new Map<string, Endpoints>()
  const changes: EndpointsFleet['changes'] = []
  let answer: (instance: string, worker: FakeWorker) => ProbeAnswer | undefined = () => undefined

  const probe = (instance: string, endpoint: string): void => {
    const worker = workers.get(endpoint)
    if (worker === undefined) return
    worker.probes++
    const result = answer(instance, worker)
    time.after(probeRoundTrip, () => handle(instance, result ?? probeAnswer(worker)))
  }

  const perform = (instance: string, effects: readonly EndpointsEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'peer.send') network.send({ from: instance, to: effect.to, message: effect.message })
      else if (effect.kind === 'endpoint.probe') probe(instance, effect.endpoint)
      else changes.push({ instance, at: time.now(), effect })
    }
  }

  const handle = (instance: string, input: EndpointsInput): void => {
    const machine = machines.get(instance)
    if (machine !== undefined) perform(instance, machine.handle(input, time.now()))
  }

  const start = (index: number, configured: readonly EndpointDescriptor[]): void => {
    const { id } = instanceMember(index)
    const machine = createEndpoints({ self: id, configured, hash, random: createRandom(index + 1) })
    machines.set(id, machine)
    network.join(id, (from, message) => handle(id, { kind: 'peer.message', from, message }))
    handle(id, { kind: 'membership.changed', members })
    const tick = (): void => {
      if (machines.get(id) !== machine) return
      handle(id, { kind: 'tick' })
      time.after(tickInterval, tick)
    }
    time.after((index * 7) % tickInterval, tick)
  }

  const stop = (index: number): void => {
    machines.delete(instanceMember(index).id)
    network.leave(instanceMember(index).id)
  }

  members.forEach((_, index) => start(index, settings))
  return {
    time,
    network,
    workers,
    instances: machines,
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
