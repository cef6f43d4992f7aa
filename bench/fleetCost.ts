/**
 * `npm run bench:fleet -- SIZES`: what limited workers and streams of two software
 * versions cost the instances of a fleet in virtual time: requests at the limited
 * worker, streams taken up, and messages and bytes by kind.
 */
import { encode } from 'cbor-x'
import { loadHash, type Hash } from '../src/hash.js'
import type { FakeGateways } from '../test/fakes/fakeGateways.js'
import { messageOverhead } from '../test/fakes/fakeNetwork.js'
import { allowedInSpan, playLimitedWorker } from '../test/fleets/limitedWorkerPlay.js'
import { buildVersioned, playResumedStreams } from '../test/fleets/resumedStreamsPlay.js'

const defaultSizes = [7, 60, 195]
const msPerSecond = 1_000
const end = 12_000 // ms
/** Start of the time over which messages are counted, in ms. */
const countedFrom = 5_000
/** Requests a second to all instances together. */
const load = 100

/** Messages of the kinds that were counted, from `countedFrom` on. */
interface Cost {
  messages: number
  bytes: number
  /** Messages of the instance that sent most. */
  readonly bySender: Map<string, number>
}

const countKinds = (fleet: FakeGateways, kinds: ReadonlySet<string>): Cost => {
  const cost: Cost = { messages: 0, bytes: 0, bySender: new Map() }
  fleet.network.intercept(({ from, message }) => {
    if (!kinds.has(message.kind) || fleet.time.now() < countedFrom) return 'deliver'
    cost.messages++
    cost.bytes += encode(message).length + messageOverhead
    cost.bySender.set(from, (cost.bySender.get(from) ?? 0) + 1)
    return 'deliver'
  })
  return cost
}

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const perSecond = (count: number): string => (count * msPerSecond / (end - countedFrom)).toFixed(2)

const costText = ({ messages, bytes, bySender }: Cost, instances: number): string =>
  `messages a second ${perSecond(messages)}, at the busiest instance ${perSecond(Math.max(0, ...bySender.values()))}; bytes a second for each instance ${perSecond(bytes / instances)}`

const limitKinds: ReadonlySet<string> = new Set(['fleet.workerLimit', 'fleet.permitRequest', 'fleet.permitDecision'])
const streamKinds: ReadonlySet<string> = new Set(['fleet.streams', 'fleet.streamQuestion', 'fleet.streamAnswer'])

const playLimits = (hash: Hash, instances: number): void => {
  for (const limit of [1, 20]) {
    let cost: Cost | undefined
    const { most, used } = playLimitedWorker({ hash, instances, perSecond: limit, load, end, disturb: fleet => { cost = countKinds(fleet, limitKinds) } })
    print(`limit ${limit} a second, ${instances} instances: at most ${most} in 4 s (allowed ${allowedInSpan(limit)}), ${used.toFixed(2)} a second used; ${cost === undefined ? '' : costText(cost, instances)}`)
  }
}

const playStreams = (hash: Hash, instances: number): void => {
  const workers = [buildVersioned('w1', 'v1'), buildVersioned('w2', 'v1'), buildVersioned('w3', 'v2'), buildVersioned('w4', 'v2')]
  const killed = Math.max(1, Math.floor(instances / 7))
  let cost: Cost | undefined
  const { mixed, resumptions, resumed } = playResumedStreams({
    hash,
    instances,
    workers,
    load,
    end,
    disturb: fleet => {
      cost = countKinds(fleet, streamKinds)
      for (let index = 0; index < 2 * killed; index++) fleet.time.at(index < killed ? 5_500 : 8_000, () => fleet.kill(`n${index}`))
    }
  })
  print(`streams ${load} a second, ${instances} instances: ${mixed.length} of two versions, ${resumed.length} of ${resumptions.length} taken up; ${cost === undefined ? '' : costText(cost, instances)}`)
}

const sizes = process.argv.slice(2).map(Number)
const hash = await loadHash()
for (const instances of sizes.length > 0 ? sizes : defaultSizes) {
  playLimits(hash, instances)
  playStreams(hash, instances)
}
