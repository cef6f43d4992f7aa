/**
 * Measures the cost of claims for the fleet at its design size: appends, bytes to
 * and from the log and between instances, processor time and heap. It runs in
 * virtual time from fixed seeds, so the counts are deterministic; processor time
 * and heap depend on the machine. `bench/slopes/claimsRun.ts` parses the output.
 */
import { encode } from 'cbor-x'
import { Command } from 'commander'
import { createClaims } from '../src/claims/claimsMachine.js'
import type { Claims } from '../src/claims/claimsMachine.js'
import type { ClaimsEffect, ClaimsInput } from '../src/claims/claimsTypes.js'
import { loadHash } from '../src/hash.js'
import type { LogEffect, LogInput } from '../src/ports/logPort.js'
import { tickInterval } from '../src/ports/peerPort.js'
import { createRandom } from '../src/random.js'
import { createFakeLog } from '../test/fakes/fakeLog.js'
import { createIdempotencyKey } from '../test/fakes/idempotencyKey.js'
import { createVirtualTime } from '../test/fakes/virtualTime.js'

/** Start of virtual time, in ms since the Unix epoch. */
const startTime = 1_700_000_000_000
/** Time that claims are retained, in ms. */
const retentionTime = 3_600_000
/** Delay of a message between instances, in ms. */
const peerDelay = 2
/** Time that an endpoint takes for a call, in ms. */
const serviceTime = 80
/** Time before counting starts, in ms. */
const warmUpTime = 5_000
/** Size of the body of each answer. */
const answerBytes = 600
/** Length prefix of a frame between instances, in bytes. */
const frameBytes = 4

interface Options {
  readonly nodes: string
  readonly rate: string
  readonly seconds: string
  readonly repeats: string
  readonly logDelay: string
}

const options = new Command('claims')
  .option('--nodes <count>', 'instances', '320')
  .option('--rate <perSecond>', 'non-idempotent calls per second', '355')
  .option('--seconds <count>', 'measured time in virtual seconds', '30')
  .option('--repeats <share>', 'share of calls that are sent again to a random instance after 2 s', '0.02')
  .option('--log-delay <ms>', 'duration of one log operation', '10')
  .parse().opts<Options>()

const nodes = Number(options.nodes)
const rate = Number(options.rate)
const measuredTime = Number(options.seconds) * 1_000
const retryShare = Number(options.repeats)
const logDelay = Number(options.logDelay)

/** One simulated instance with the bytes that it sent and received while counting. */
interface Node {
  readonly id: string
  readonly claims: Claims
  peerBytes: number
  logBytes: number
}

const hash = await loadHash()
const time = createVirtualTime(startTime)
const random = createRandom(7)
const log = createFakeLog()
const fleet: Node[] = Array.from({ length: nodes }, (_, index) => {
  const id = `node-${index}`
  return { id, claims: createClaims({ self: id, incarnation: `${startTime}-${index}`, hash, random: createRandom(index + 1), retention: retentionTime }), peerBytes: 0, logBytes: 0 }
})
const byId = new Map(fleet.map(node => [node.id, node]))
/** Time from the start of a call to the grant of its claim, in ms. */
const latencies: number[] = []
/** Start of each call that awaits its grant, by request number. */
const startedAt = new Map<number, number>()
/** Number of ticks over all instances and their processor time in ms. */
const tickTotals = { count: 0, time: 0 }
let counting = false
let appends = 0
let reads = 0
let appendBytes = 0
let readBytes = 0
let peerMessages = 0
let calls = 0
let granted = 0
let refused = 0
/** Time in the claims machines over all instances, ticks included, in ms. */
let handleTime = 0

const handleInput = (node: Node, input: ClaimsInput): void => {
  const began = performance.now()
  const effects = node.claims.handle(input, time.now())
  const took = performance.now() - began
  if (counting && input.kind === 'tick') {
    tickTotals.count++
    tickTotals.time += took
  }
  if (counting) handleTime += took
  for (const effect of effects) performEffect(node, effect)
}

const performLogEffect = (node: Node, effect: LogEffect): void => {
  time.after(logDelay / 2, () => {
    const input = log.perform(effect, time.now())
    countLogTraffic(node, effect, input)
    time.after(logDelay / 2, () => handleInput(node, input))
  })
}

const countLogTraffic = (node: Node, effect: LogEffect, input: LogInput): void => {
  if (!counting) return
  const bytes = effect.kind === 'log.append' ? JSON.stringify(effect.payload).length : input.kind === 'log.records' ? JSON.stringify(input.records).length : 0
  node.logBytes += bytes
  if (effect.kind === 'log.append') {
    appends++
    appendBytes += bytes
  } else {
    reads++
    readBytes += bytes
  }
}

const performEffect = (node: Node, effect: ClaimsEffect): void => {
  switch (effect.kind) {
    case 'peer.send': {
      const target = byId.get(effect.to)
      if (target === undefined) return
      const bytes = encode(effect.message).length + frameBytes
      if (counting) {
        peerMessages++
        node.peerBytes += bytes
        target.peerBytes += bytes
      }
      return time.after(peerDelay, () => handleInput(target, { kind: 'peer.message', from: node.id, message: effect.message }))
    }
    case 'log.append':
    case 'log.read': return performLogEffect(node, effect)
    case 'claims.granted': return executeCall(node, effect.request)
    case 'claims.refused':
      if (counting) refused++
  }
}

const executeCall = (node: Node, request: number): void => {
  if (counting) {
    granted++
    latencies.push(time.now() - (startedAt.get(request) ?? 0))
  }
  startedAt.delete(request)
  if (!node.claims.mayDispatch(request, time.now())) return
  time.after(serviceTime, () => handleInput(node, { kind: 'claims.settle', request, outcome: { kind: 'ran', answer: { status: 200, headers: { 'content-type': 'application/json' }, body: new Uint8Array(answerBytes) } } }))
}

let nextRequest = 0
const beginCall = (workspace: string, key: string): void => {
  const request = nextRequest++
  startedAt.set(request, time.now())
  if (counting) calls++
  handleInput(fleet[random.below(nodes)], { kind: 'claims.begin', request, workspace, key, fingerprint: '0123456789abcdef', deadline: time.now() + 5_000 })
}

const scheduleArrivals = (): void => {
  const key = createIdempotencyKey(Math.floor(time.now()), random.below(2 ** 30))
  const workspace = `workspace-${random.below(890)}`
  beginCall(workspace, key)
  if (random.unit() < retryShare) time.after(2_000, () => beginCall(workspace, key))
  time.after(-Math.log(1 - random.unit()) * 1_000 / rate, scheduleArrivals)
}

const scheduleTicks = (node: Node): void => {
  handleInput(node, { kind: 'tick' })
  time.after(tickInterval, () => scheduleTicks(node))
}

const instances = fleet.map(({ id }, index) => ({ id, incarnation: `${startTime}-${index}`, state: 'live' as const }))
for (const node of fleet) {
  handleInput(node, { kind: 'claims.members', instances })
  time.after(random.below(tickInterval), () => scheduleTicks(node))
}
scheduleArrivals()
time.runUntil(startTime + warmUpTime)
counting = true
const heapBefore = process.memoryUsage().heapUsed
time.runUntil(startTime + warmUpTime + measuredTime)
counting = false

const perSecond = (value: number): string => (value / (measuredTime / 1_000)).toFixed(1)
const sorted = latencies.sort((left, right) => left - right)
const quantile = (share: number): string => (sorted[Math.floor(share * (sorted.length - 1))] ?? NaN).toFixed(0)
const traffic = fleet.map(node => (node.peerBytes + node.logBytes) / measuredTime).sort((left, right) => left - right)
const mean = traffic.reduce((sum, each) => sum + each, 0) / traffic.length

console.log(`nodes ${nodes}, calls/s ${perSecond(calls)}, granted ${granted}, refused ${refused}, log delay ${logDelay} ms`)
console.log(`log: ${perSecond(appends)} appends/s, ${perSecond(reads)} reads/s, ${(appendBytes / calls).toFixed(0)} bytes appended and ${(readBytes / calls).toFixed(0)} read per call`)
console.log(`peers: ${(peerMessages / calls).toFixed(2)} messages and ${(fleet.reduce((sum, node) => sum + node.peerBytes, 0) / 2 / calls).toFixed(0)} bytes per call`)
console.log(`per node, peers and log, both ways: mean ${mean.toFixed(2)} KB/s, median ${traffic[nodes >> 1].toFixed(2)}, busiest ${traffic[nodes - 1].toFixed(2)}`)
console.log(`time to grant: median ${quantile(0.5)} ms, 95 in 100 ${quantile(0.95)} ms, 99 in 100 ${quantile(0.99)} ms`)
console.log(`processor: ${((handleTime - tickTotals.time) * 1_000 / calls).toFixed(0)} us per call over the fleet, ${(tickTotals.time * 1_000 / tickTotals.count).toFixed(2)} us per tick`)
console.log(`heap grown by ${((process.memoryUsage().heapUsed - heapBefore) / 1e6).toFixed(1)} MB, log and fleet together`)
