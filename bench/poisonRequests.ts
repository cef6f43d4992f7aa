/**
 * Measures what a part of prompts, or a whole request, that crashes workers costs a
 * fleet of gateways in virtual time: requests that reach workers, messages and bytes
 * about it, and the time to recognize a request with a large body.
 * `npx tsx bench/poisonRequests.ts [instances...]`; with `--seeds FIRST-LAST`, plays
 * these seeds of every case at the first size, and prints which fail the bound.
 */
import { encode } from 'cbor-x'
import { loadHash, type Hash } from '../src/hash.js'
import { messageOverhead } from '../test/fakes/fakeNetwork.js'
import type { FakeGateways } from '../test/fakes/fakeGateways.js'
import { createRequestFingerprints } from '../src/poisonRequests/requestFingerprint.js'
import { buildCall } from '../test/fixtures/forwarding.js'
import { allowedAfter, crashesFrom, playCrashingParts, type CrashingPart, type CrashingPartReport } from '../test/fleets/crashingPartPlay.js'
import { playCrashingRequests, type CrashingRequestOptions, type CrashingRequestReport } from '../test/fleets/crashingRequestPlay.js'

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

const kinds: ReadonlySet<string> = new Set(['fleet.workerCrash', 'fleet.partQuestion', 'fleet.partProofs', 'fleet.blockedParts', 'fleet.partUnblocked', 'fleet.blockedQuestion', 'fleet.blockedAnswer'])

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

/** What a play of one guilty feature showed. */
interface Outcome {
  readonly crashes: readonly number[]
  readonly after: number
  readonly soundBefore: number
  readonly soundAfter: number
  readonly fleet: FakeGateways
}

type Play = (disturb: (fleet: FakeGateways) => void) => Outcome

const playPart = (hash: Hash, instances: number): Play => disturb => {
  const { parts: [{ crashes, after }], ...seen } = playCrashingParts({ hash, instances, parts: [middle], end, disturb })
  return { crashes, after, ...seen }
}

const workersBySize: Readonly<Record<number, number>> = { 7: 6, 60: 12, 195: 30 }

const playRequest = (hash: Hash, instances: number): Play => disturb => {
  const { guilty: [{ crashes, after }], ...seen } = playCrashingRequests({ hash, instances, workers: workersBySize[instances] ?? 12, end, disturb })
  return { crashes, after, ...seen }
}

const playSize = (name: string, instances: number, play: Play): void => {
  let cost: ReturnType<typeof countCost> | undefined
  const processor = process.cpuUsage()
  const { crashes, after, soundBefore, soundAfter, fleet } = play(played => { cost = countCost(played) })
  const { user } = process.cpuUsage(processor)
  if (cost === undefined) return
  const { finding, settled } = cost
  const blockedAt = Math.max(...fleet.logEvents.filter(({ event }) => event.kind === 'partBlocked' || event.kind === 'requestBlocked').map(({ at }) => at))
  const span = (end - settledFrom) / msPerSecond
  print(`${name}, ${instances} instances: ${crashes.length} crashes, blocked everywhere ${Math.round(blockedAt - crashesFrom)} ms after the first request, ${after} requests after the bound, sound requests ${soundBefore.toFixed(2)} before and ${soundAfter.toFixed(2)} after`)
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

const requestCases: Readonly<Record<string, Omit<CrashingRequestOptions, 'hash' | 'instances'>>> = {
  'request, 4 a second': {},
  'request, 30 a second': { rate: 30 },
  'request, once a second': { rate: 1 },
  'request, three workers': { workers: 3, load: 16 },
  'request, model workers': { service: 'model' },
  'request, model workers, 30 a second': { service: 'model', rate: 30 },
  'ten requests, once a second': { guilty: 10, rate: 1, end: 60_000 },
  'ten requests, 4 a second': { guilty: 10, end: 60_000 }
}

const requestFailureOf = ({ guilty, soundBefore, soundAfter, innocentRefused }: CrashingRequestReport): string | undefined => {
  const most = Math.max(...guilty.map(({ after }) => after))
  if (most > allowedAfter) return `${most} attempts after the bound`
  if (soundAfter < minSoundShare * soundBefore) return `sound requests ${soundAfter.toFixed(2)}`
  return innocentRefused > 0 ? `${innocentRefused} sound requests refused` : undefined
}

const playRequestSeeds = (hash: Hash, instances: number, first: number, last: number): void => {
  for (const [name, options] of Object.entries(requestCases)) {
    const failures: string[] = []
    for (let seed = first; seed <= last; seed++) {
      const failure = requestFailureOf(playCrashingRequests({ hash, instances, seed, ...options }))
      if (failure !== undefined) failures.push(`seed ${seed}: ${failure}`)
    }
    print(`${name}, ${instances} instances: ${last - first + 1 - failures.length} of ${last - first + 1} plays hold${failures.length > 0 ? `; ${failures.join('; ')}` : ''}`)
  }
}

const fingerprintRuns = 50

const timeFingerprints = (hash: Hash, size: number): void => {
  const fingerprintOf = createRequestFingerprints(hash)
  const calls = Array.from({ length: fingerprintRuns }, () => buildCall({ body: Buffer.alloc(size, 'x') }))
  const processor = process.cpuUsage()
  for (const call of calls) fingerprintOf({ call, workspace: undefined })
  print(`fingerprint of a body of ${size} bytes: ${(process.cpuUsage(processor).user / msPerSecond / fingerprintRuns).toFixed(3)} ms`)
}

const [...options] = process.argv.slice(2)
const seeds = options.includes('--seeds') ? options.splice(options.indexOf('--seeds'), 2)[1].split('-').map(Number) : undefined
const sizes = options.length > 0 ? options.map(Number) : defaultSizes
const hash = await loadHash()
if (seeds === undefined) {
  for (const size of [800, 18_000, 4_000_000]) timeFingerprints(hash, size)
  for (const instances of sizes) {
    playSize('part', instances, playPart(hash, instances))
    playSize('request', instances, playRequest(hash, instances))
  }
} else {
  playRequestSeeds(hash, sizes[0], seeds[0], seeds[1])
  playSeeds(hash, sizes[0], seeds[0], seeds[1])
}
