/**
 * Measures a fleet of complete nodes (the core with all features) in virtual
 * time: the time to put two publishes in force and the cost at rest after them.
 */
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
import { createMessageCounter, liveBytes, processorTime } from './meter.js'

/** The cost of one node of a fleet at rest. */
export interface FleetCost {
  /** Number of instances. */
  readonly nodes: number
  /** Number of workers. */
  readonly workers: number
  /** Messages that a node sends per second, by feature. */
  readonly messages: Readonly<Record<string, number>>
  /** Bytes that a node sends and receives per second, by feature. */
  readonly bytes: Readonly<Record<string, number>>
  /** Probes of endpoints that a node sends per second. */
  readonly probes: number
  /** Reads of and appends to the log that a node makes per second. */
  readonly logOperations: number
  /** Processor time of a node in microseconds per second. */
  readonly processor: number
  /** Live heap of a node in bytes. */
  readonly heap: number
  /**
   * Time from a publish until it was in force on the last node, in ms; infinite if that took
   * longer than 8 s. The first publish, and one that differs from it little.
   */
  readonly publishDelays: readonly number[]
}

const warmUp = 20_000 // ms
const measureTime = 10_000 // ms
const publishTime = 8_000 // ms within which a publish must come into force
const probeDelay = 3 // ms until a probe, a poll for cache events or a read of the member list is answered
const logDelay = 10 // ms until the log answers
const seedCount = 8
const host = '127.0.0.1'

const settingsText = (workers: number): string => {
  const sections = Array.from({ length: workers }, (_, index) => `[worker.w${index}]\nhost = ${host}\nport = ${10_000 + index}\ndata_centre = d${index % 4}\nmodels = m${index % 4}@7\n`)
  const seeds = Array.from({ length: seedCount }, (_, index) => `n${index}@${host}:${9_000 + index}`).join(',')
  return `[instance]\nid = n0\ndata_centre = d0\n[peer]\nseeds = ${seeds}\n[streams]\nresume_keys = 0123456789abcdef\n${sections.join('')}`
}

const rulesText = (workspaces: number, priority: number): string => {
  const workspaceNames = Array.from({ length: workspaces }, (_, index) => `ws${index}`)
  const models = Array.from({ length: 4 }, (_, index) => `model m${index} version=7 # asked by Rae, Platform\n`).join('')
  return `${rulesFor(workspaceNames)}${models}priority workspace=ws0 path=/x/y -> ${priority} # asked by Ines, Listings\n`
}

/**
 * Runs a fleet and measures it.
 *
 * @param hash - hash functions
 * @param nodes - number of instances
 * @param workers - workers in the settings of each instance
 * @param workspaces - workspaces in the rules
 * @returns the cost of one node
 */
export const measureFleet = (hash: Hash, nodes: number, workers: number, workspaces: number): FleetCost => {
  const heapBefore = liveBytes()
  const time = createVirtualTime(epoch)
  const network = createFakeNetwork(time, createRandom(5))
  const counter = createMessageCounter()
  const log = createFakeLog()
  const memberList = new Map<string, Member>()
  const nodesById = new Map<string, Node>()
  const instancesByVersion = new Map<number, number>()
  let probes = 0
  let logOperations = 0
  let lastInForceAt = 0
  network.intercept(({ message }) => {
    counter.record(message)
    return 'deliver'
  })
  const sharedSettings = readSettings('slopes', settingsText(workers))._unsafeUnwrap()

  const feed = (id: string, input: NodeInput): void => {
    for (const effect of nodesById.get(id)?.handle(input, time.now()) ?? []) perform(id, effect)
  }
  const schedule = (delay: number, id: string, input: () => NodeInput): void => time.after(delay, () => feed(id, input()))

  const perform = (id: string, effect: NodeEffect): void => {
    switch (effect.kind) {
      case 'peer.send': return network.send({ from: id, to: effect.to, message: effect.message })
      case 'endpoint.probe':
        probes++
        return schedule(probeDelay, id, () => ({ kind: 'endpoint.report', endpoint: effect.endpoint, incarnation: `${effect.endpoint}-1`, models: sharedSettings.worker[effect.endpoint].models, running: 0, waiting: 0, waitingTokens: 0, leaving: false }))
      case 'endpoint.follow': return schedule(probeDelay, id, () => ({ kind: 'endpoint.events', endpoint: effect.endpoint, incarnation: `${effect.endpoint}-1`, seq: 0, full: true, events: [] }))
      case 'log.append':
      case 'log.read':
        logOperations++
        return schedule(logDelay, id, () => log.perform(effect, time.now()))
      case 'membership.announce':
        memberList.set(id, effect.member)
        return
      case 'membership.fetch': return schedule(probeDelay, id, () => ({ kind: 'membership.list', members: [...memberList.values()] }))
      case 'node.changed':
        if (effect.change.kind !== 'configInForce') return
        instancesByVersion.set(effect.change.version, (instancesByVersion.get(effect.change.version) ?? 0) + 1)
        lastInForceAt = time.now()
    }
  }

  const start = (index: number): void => {
    const id = `n${index}`
    const settings: Settings = { ...sharedSettings, instance: { ...sharedSettings.instance, id, data_centre: `d${index % 4}` } }
    nodesById.set(id, createNode({ settings, self: { incarnation: `${id}-1`, callerPort: 7_000 + index, peerPort: 9_000 + index }, hash, random: createRandom(index + 1), metrics: createMetrics({ processMetrics: false }), startedAt: time.now() }))
    network.join(id, (from, message) => feed(id, { kind: 'peer.message', from, message }))
    const tick = (): void => {
      feed(id, { kind: 'tick' })
      time.after(tickInterval, tick)
    }
    time.after((index * 7) % tickInterval, tick)
  }

  const publish = (base: number): number => {
    const body = JSON.stringify({ base, text: rulesText(workspaces, base), publisher: 'Rae', publishId: `p${base}` })
    const publishedAt = time.now()
    feed('n1', { kind: 'operator.request', request: base + 1, method: 'POST', path: '/v1/rules', headers: { authorization: 'Bearer demo-operator-fleet' }, body: Buffer.from(body) })
    time.runUntil(publishedAt + publishTime)
    return instancesByVersion.get(base + 1) === nodes ? lastInForceAt - publishedAt : Infinity
  }

  for (let index = 0; index < nodes; index++) time.after(index * 10, () => start(index))
  time.runUntil(epoch + warmUp)
  const publishDelays = [publish(0), publish(1)]
  time.runUntil(time.now() + measureTime)

  counter.start()
  const [probesBefore, logBefore] = [probes, logOperations]
  time.runUntil(time.now() + measureTime)
  const counts = [...counter.stop()]
  const instanceSeconds = nodes * measureTime / 1_000
  const rates = { probes: (probes - probesBefore) / instanceSeconds, logOperations: (logOperations - logBefore) / instanceSeconds }
  const processor = processorTime(() => time.runUntil(time.now() + measureTime)) / instanceSeconds
  const heap = (liveBytes() - heapBefore) / nodes
  return {
    nodes,
    workers,
    messages: Object.fromEntries(counts.map(([feature, count]) => [feature, count.messages / instanceSeconds])),
    bytes: Object.fromEntries(counts.map(([feature, count]) => [feature, 2 * count.bytes / instanceSeconds])),
    ...rates,
    processor,
    heap,
    publishDelays
  }
}
