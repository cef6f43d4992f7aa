/**
 * Measures what a part of prompts that crashes workers costs a fleet of gateways in
 * virtual time: requests that reach workers, and messages and bytes about it.
 * `npx tsx bench/poisonRequests.ts [instances...]`; with `--seeds FIRST-LAST`, plays
 * these seeds of every case at the first size, and prints which fail the bound.
 */
import { encode } from 'cbor-x'
import { loadHash, type Hash } from '../src/hash.js'
import { messageOverhead } from '../test/fakes/fakeNetwork.js'
import type { FakeGateways } from '../test/fakes/fakeGateways.js'
import { allowedAfter, crashesFrom, playCrashingParts, type CrashingPart, type CrashingPartReport } from '../test/fleets/crashingPartPlay.js'

const defaultSizes = [7, 60, 195]
const end = 26_000 // ms
const settledFrom = 10_000 // ms
const msPerSecond = 1_000
const minSoundShare = 0.5

const middle: CrashingPart = { id: 'poison', position: 1, load: 8 }

const cases: Readonly<Record<string, readonly CrashingPart[]>> = {
  'in the middle': [middle],
  'as the first part': [{ ...middle, position: 0 }],
  'sound before': [{ ...middle, arrivesFrom: 1_500 }],
  'first part, sound before': [{ ...middle, position: 0, arrivesFrom: 1_500 }],
  'two parts': [middle, { id: 'poison2', position: 0, load: 6 }],
  'one request a second': [{ ...middle, load: 1 }],
  '30 requests a second': [{ ...middle, load: 30 }]
}

const kinds: ReadonlySet<string> = new Set(['fleet.workerCrash', 'fleet.partQuestion', 'fleet.partProofs', 'fleet.blockedParts', 'fleet.partUnblocked'])

interface Cost {
  messages: number
  bytes: number
  /** Messages of the instance that sent most. */
  readonly bySender: Map<string, number>
}

const buildCost = (): Cost => ({ messages: 0, bytes: 0, bySender: new Map() })

const add = (cost: Cost, from: string, bytes: number): void => {
  cost.messages++
  cost.bytes += bytes
  cost.bySender.set(from, (cost.bySender.get(from) ?? 0) + 1)
}

/** Counts the messages about crashes until the part is blocked, and those while it stays so. */
const countCost = (fleet: FakeGateways): { readonly finding: Cost, readonly settled: Cost } => {
  const finding = buildCost()
  const settled = buildCost()
  fleet.network.intercept(({ from, message }) => {
    if (!kinds.has(message.kind)) return 'deliver'
    const bytes = encode(message).length + messageOverhead
    const now = fleet.time.now()
    if (now < settledFrom) add(finding, from, bytes)
    else add(settled, from, bytes)
    return 'deliver'
  })
  return { finding, settled }
}

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const busiest = ({ bySender }: Cost): number => Math.max(0, ...bySender.values())

const playSize = (hash: Hash, instances: number): void => {
  let cost: ReturnType<typeof countCost> | undefined
  const processor = process.cpuUsage()
  const { parts: [{ crashes, after }], soundBefore, soundAfter, fleet } = playCrashingParts({ hash, instances, parts: [middle], end, disturb: played => { cost = countCost(played) } })
  const { user } = process.cpuUsage(processor)
  if (cost === undefined) return
  const { finding, settled } = cost
  const blockedAt = Math.max(...fleet.logEvents.filter(({ event }) => event.kind === 'partBlocked').map(({ at }) => at))
  const span = (end - settledFrom) / msPerSecond
  print(`${instances} instances: ${crashes.length} crashes, blocked everywhere ${Math.round(blockedAt - crashesFrom)} ms after the first request, ${after} requests after the bound, sound requests ${soundBefore.toFixed(2)} before and ${soundAfter.toFixed(2)} after`)
  print(`  until it is blocked and for 4 s: ${finding.messages} messages, ${finding.bytes} bytes, ${busiest(finding)} messages of the busiest instance`)
  print(`  while it is blocked: ${(settled.messages / span).toFixed(1)} messages and ${(settled.bytes / span).toFixed(0)} bytes a second in all, ${(busiest(settled) / span).toFixed(1)} messages a second of the busiest instance; play of ${end / msPerSecond} s in ${Math.round(user / msPerSecond)} ms`)
}

const failureOf = (parts: readonly CrashingPart[], report: CrashingPartReport): string | undefined => {
  const sound = report.blocked.filter(id => !parts.some(part => part.id === id))
  if (report.parts.some(({ after }) => after > allowedAfter)) return `${report.parts.map(({ after }) => after).join(' and ')} requests after the bound`
  if (report.soundAfter < minSoundShare * report.soundBefore) return `sound requests ${report.soundAfter.toFixed(2)}`
  return sound.length > 0 ? `blocked ${sound.join(', ')}` : undefined
}

const playSeeds = (hash: Hash, instances: number, first: number, last: number): void => {
  for (const [name, parts] of Object.entries(cases)) {
    const failures: string[] = []
    for (let seed = first; seed <= last; seed++) {
      const failure = failureOf(parts, playCrashingParts({ hash, instances, parts, seed, end: 18_000 }))
      if (failure !== undefined) failures.push(`seed ${seed}: ${failure}`)
    }
    print(`${name}, ${instances} instances: ${last - first + 1 - failures.length} of ${last - first + 1} plays hold${failures.length > 0 ? `; ${failures.join('; ')}` : ''}`)
  }
}

const [...options] = process.argv.slice(2)
const seeds = options.includes('--seeds') ? options.splice(options.indexOf('--seeds'), 2)[1].split('-').map(Number) : undefined
const sizes = options.length > 0 ? options.map(Number) : defaultSizes
const hash = await loadHash()
if (seeds === undefined) for (const instances of sizes) playSize(hash, instances)
else playSeeds(hash, sizes[0], seeds[0], seeds[1])
