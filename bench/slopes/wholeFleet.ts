/** Whole nodes of the real core that run together at rest in virtual time and then take one publish. */
import { createMetrics } from '../../src/metrics/metrics.js'
import { createNode } from '../../src/node/nodeMachine.js'
import type { Node } from '../../src/node/nodeMachine.js'
import type { NodeEffect, NodeInput } from '../../src/node/nodeTypes.js'
import type { Hash } from '../../src/hash.js'
import type { Member } from '../../src/ports/membershipPort.js'
import { tickInterval } from '../../src/ports/peerPort.js'
import { createRandom } from '../../src/random.js'
import { readSettings } from '../../src/settings/settingsReader.js'
import type { Settings } from '../../src/settings/settingsSchema.js'
import { epoch, rulesFor } from '../../test/fakes/deployments.js'
import { createFakeLog } from '../../test/fakes/fakeLog.js'
import { createFakeNetwork } from '../../test/fakes/fakeNetwork.js'
import { createVirtualTime } from '../../test/fakes/virtualTime.js'
import { createCounter, liveBytes, processorTime } from './meter.js'

/** What one node of the fleet costs. */
export interface FleetCost {
  readonly nodes: number
  readonly workers: number
  /** Messages sent by a node in a second, by feature. */
  readonly messages: Readonly<Record<string, number>>
  /** Bytes sent and received by a node in a second, by feature. */
  readonly bytes: Readonly<Record<string, number>>
  /** Probes of endpoints by a node in a second. */
  readonly probes: number
  /** Operations on the log by a node in a second. */
  readonly logOperations: number
  /** Microseconds of processor time of a node in a second. */
  readonly processor: number
  /** Bytes of live heap of a node. */
  readonly heap: number
  /** Milliseconds from a publish until the last node had it in force; the first publish and one with a small difference. */
  readonly force: readonly number[]
}

const warmUp = 20_000
const window = 10_000
const publishWait = 8_000
const probeTime = 3
const logTime = 10
const seedCount = 8
const host = '127.0.0.1'

const settingsText = (workers: number): string => {
  const sections = Array.from({ length: workers }, (_, index) => `[worker.w${index}]\nhost = ${host}\nport = ${10_000 + index}\ndata_centre = d${index % 4}\nmodels = m${index % 4}@7\n`)
  const seeds = Array.from({ length: seedCount }, (_, index) => `n${index}@${host}:${9_000 + index}`).join(',')
  return `[instance]\nid = n0\ndata_centre = d0\n[peer]\nseeds = ${seeds}\n[streams]\nresume_keys = 0123456789abcdef\n${sections.join('')}`
}

const textOf = (workspaces: number, change: number): string => {
  const names = Array.from({ length: workspaces }, (_, index) => `ws${index}`)
  const models = Array.from({ length: 4 }, (_, index) => `model m${index} version=7 # asked by Rae, Platform\n`).join('')
  return `${rulesFor(names)}${models}priority workspace=ws0 path=/x/y -> ${change} # asked by Ines, Listings\n`
}

/**
 * Runs a fleet.
 *
 * @param hash - hash functions
 * @param nodes - instances
 * @param workers - endpoints in the settings of each
 * @param workspaces - in the rules
 */
export const measureFleet = (hash: Hash, nodes: number, workers: number, workspaces: number): FleetCost => {
  const heapBefore = liveBytes()
  const time = createVirtualTime(epoch)
  const network = createFakeNetwork(time, createRandom(5))
  const counter = createCounter()
  const log = createFakeLog()
  const list = new Map<string, Member>()
  const running = new Map<string, Node>()
  const inForce = new Map<number, number>()
  let probes = 0
  let logOperations = 0
  let lastForce = 0
  network.intercept(({ message }) => {
    counter.note(message)
    return 'deliver'
  })
  const shared = readSettings('slopes', settingsText(workers))._unsafeUnwrap()

  const feed = (id: string, input: NodeInput): void => {
    for (const effect of running.get(id)?.handle(input, time.now()) ?? []) perform(id, effect)
  }
  const later = (delay: number, id: string, input: () => NodeInput): void => time.after(delay, () => feed(id, input()))

  const perform = (id: string, effect: NodeEffect): void => {
    switch (effect.kind) {
      case 'peer.send': return network.send({ from: id, to: effect.to, message: effect.message })
      case 'endpoint.probe':
        probes++
        return later(probeTime, id, () => ({ kind: 'endpoint.report', endpoint: effect.endpoint, incarnation: `${effect.endpoint}-1`, models: shared.worker[effect.endpoint].models, running: 0, waiting: 0, waitingTokens: 0, leaving: false }))
      case 'endpoint.follow': return later(probeTime, id, () => ({ kind: 'endpoint.events', endpoint: effect.endpoint, incarnation: `${effect.endpoint}-1`, seq: 0, full: true, events: [] }))
      case 'log.append':
      case 'log.read':
        logOperations++
        return later(logTime, id, () => log.perform(effect, time.now()))
      case 'membership.announce':
        list.set(id, effect.member)
        return
      case 'membership.fetch': return later(probeTime, id, () => ({ kind: 'membership.list', members: [...list.values()] }))
      case 'node.changed':
        if (effect.change.kind !== 'configInForce') return
        inForce.set(effect.change.version, (inForce.get(effect.change.version) ?? 0) + 1)
        lastForce = time.now()
    }
  }

  const start = (index: number): void => {
    const id = `n${index}`
    const settings: Settings = { ...shared, instance: { ...shared.instance, id, data_centre: `d${index % 4}` } }
    running.set(id, createNode({ settings, self: { incarnation: `${id}-1`, callerPort: 7_000 + index, peerPort: 9_000 + index }, hash, random: createRandom(index + 1), metrics: createMetrics({ processMetrics: false }), startedAt: time.now() }))
    network.join(id, (from, message) => feed(id, { kind: 'peer.message', from, message }))
    const tick = (): void => {
      feed(id, { kind: 'tick' })
      time.after(tickInterval, tick)
    }
    time.after((index * 7) % tickInterval, tick)
  }

  const publish = (base: number): number => {
    const body = JSON.stringify({ base, text: textOf(workspaces, base), publisher: 'Rae', publishId: `p${base}` })
    const begun = time.now()
    feed('n1', { kind: 'operator.request', request: base + 1, method: 'POST', path: '/v1/rules', headers: { authorization: 'Bearer demo-operator-fleet' }, body: Buffer.from(body) })
    time.runUntil(begun + publishWait)
    return inForce.get(base + 1) === nodes ? lastForce - begun : Infinity
  }

  for (let index = 0; index < nodes; index++) time.after(index * 10, () => start(index))
  time.runUntil(epoch + warmUp)
  const force = [publish(0), publish(1)]
  time.runUntil(time.now() + window)

  counter.start()
  const [probesBefore, logBefore] = [probes, logOperations]
  time.runUntil(time.now() + window)
  const counts = [...counter.stop()]
  const per = nodes * window / 1_000
  const rates = { probes: (probes - probesBefore) / per, logOperations: (logOperations - logBefore) / per }
  const processor = processorTime(() => time.runUntil(time.now() + window)) / per
  const heap = (liveBytes() - heapBefore) / nodes
  return {
    nodes,
    workers,
    messages: Object.fromEntries(counts.map(([feature, count]) => [feature, count.messages / per])),
    bytes: Object.fromEntries(counts.map(([feature, count]) => [feature, 2 * count.bytes / per])),
    ...rates,
    processor,
    heap,
    force
  }
}
