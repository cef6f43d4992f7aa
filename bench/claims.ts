/**
 * Counts what claims cost the fleet at its design size: appends, bytes on the
 * log and between instances, processor time. The counts are deterministic;
 * processor time is the machine's own.
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

const start = 1_700_000_000_000
const retention = 3_600_000
const peerDelay = 2
const serviceTime = 80
const warmUp = 5_000
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
  .option('--rate <perSecond>', 'calls that may not be repeated', '355')
  .option('--seconds <count>', 'measured time', '30')
  .option('--repeats <share>', 'share of calls that come again at another instance', '0.02')
  .option('--log-delay <ms>', 'time of one operation of the log', '10')
  .parse().opts<Options>()

const nodes = Number(options.nodes)
const rate = Number(options.rate)
const measured = Number(options.seconds) * 1_000
const repeats = Number(options.repeats)
const logDelay = Number(options.logDelay)

interface Node {
  readonly id: string
  readonly claims: Claims
  peerBytes: number
  logBytes: number
}

const hash = await loadHash()
const time = createVirtualTime(start)
const random = createRandom(7)
const log = createFakeLog()
const fleet: Node[] = Array.from({ length: nodes }, (_, index) => {
  const id = `node-${index}`
  return { id, claims: createClaims({ self: id, incarnation: `${start}-${index}`, hash, random: createRandom(index + 1), retention }), peerBytes: 0, logBytes: 0 }
})
const byId = new Map(fleet.map(node => [node.id, node]))
const latencies: number[] = []
const begunAt = new Map<number, number>()
const perNode = { ticks: 0, tickTime: 0 }
let counting = false
let appends = 0
let reads = 0
let appendBytes = 0
let readBytes = 0
let peerMessages = 0
let calls = 0
let granted = 0
let refused = 0
let handleTime = 0

const feed = (node: Node, input: ClaimsInput): void => {
  const began = performance.now()
  const effects = node.claims.handle(input, time.now())
  const took = performance.now() - began
  if (counting && input.kind === 'tick') {
    perNode.ticks++
    perNode.tickTime += took
  }
  if (counting) handleTime += took
  for (const effect of effects) perform(node, effect)
}

const useLog = (node: Node, effect: LogEffect): void => {
  time.after(logDelay / 2, () => {
    const input = log.perform(effect, time.now())
    count(node, effect, input)
    time.after(logDelay / 2, () => feed(node, input))
  })
}

const count = (node: Node, effect: LogEffect, input: LogInput): void => {
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

const perform = (node: Node, effect: ClaimsEffect): void => {
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
      return time.after(peerDelay, () => feed(target, { kind: 'peer.message', from: node.id, message: effect.message }))
    }
    case 'log.append':
    case 'log.read': return useLog(node, effect)
    case 'claims.granted': return serve(node, effect.request)
    case 'claims.refused':
      if (counting) refused++
  }
}

const serve = (node: Node, request: number): void => {
  if (counting) {
    granted++
    latencies.push(time.now() - (begunAt.get(request) ?? 0))
  }
  begunAt.delete(request)
  if (!node.claims.mayDispatch(request, time.now())) return
  time.after(serviceTime, () => feed(node, { kind: 'claims.settle', request, outcome: { kind: 'ran', answer: { status: 200, headers: { 'content-type': 'application/json' }, body: new Uint8Array(answerBytes) } } }))
}

let serial = 0
const begin = (workspace: string, key: string): void => {
  const request = serial++
  begunAt.set(request, time.now())
  if (counting) calls++
  feed(fleet[random.below(nodes)], { kind: 'claims.begin', request, workspace, key, fingerprint: '0123456789abcdef', deadline: time.now() + 5_000 })
}

const arrive = (): void => {
  const key = createIdempotencyKey(Math.floor(time.now()), random.below(2 ** 30))
  const workspace = `workspace-${random.below(890)}`
  begin(workspace, key)
  if (random.unit() < repeats) time.after(2_000, () => begin(workspace, key))
  time.after(-Math.log(1 - random.unit()) * 1_000 / rate, arrive)
}

const tick = (node: Node): void => {
  feed(node, { kind: 'tick' })
  time.after(tickInterval, () => tick(node))
}

const instances = fleet.map(({ id }, index) => ({ id, incarnation: `${start}-${index}`, state: 'live' as const }))
for (const node of fleet) {
  feed(node, { kind: 'claims.members', instances })
  time.after(random.below(tickInterval), () => tick(node))
}
arrive()
time.runUntil(start + warmUp)
counting = true
const heapBefore = process.memoryUsage().heapUsed
time.runUntil(start + warmUp + measured)
counting = false

const perSecond = (value: number): string => (value / (measured / 1_000)).toFixed(1)
const sorted = latencies.sort((left, right) => left - right)
const quantile = (share: number): string => (sorted[Math.floor(share * (sorted.length - 1))] ?? NaN).toFixed(0)
const rates = fleet.map(node => (node.peerBytes + node.logBytes) / measured).sort((left, right) => left - right)
const mean = rates.reduce((sum, each) => sum + each, 0) / rates.length

console.log(`nodes ${nodes}, calls/s ${perSecond(calls)}, granted ${granted}, refused ${refused}, log delay ${logDelay} ms`)
console.log(`log: ${perSecond(appends)} appends/s, ${perSecond(reads)} reads/s, ${(appendBytes / calls).toFixed(0)} bytes appended and ${(readBytes / calls).toFixed(0)} read per call`)
console.log(`peers: ${(peerMessages / calls).toFixed(2)} messages and ${(fleet.reduce((sum, node) => sum + node.peerBytes, 0) / 2 / calls).toFixed(0)} bytes per call`)
console.log(`per node, peers and log, both ways: mean ${mean.toFixed(2)} KB/s, median ${rates[nodes >> 1].toFixed(2)}, busiest ${rates[nodes - 1].toFixed(2)}`)
console.log(`time to grant: median ${quantile(0.5)} ms, 95 in 100 ${quantile(0.95)} ms, 99 in 100 ${quantile(0.99)} ms`)
console.log(`processor: ${((handleTime - perNode.tickTime) * 1_000 / calls).toFixed(0)} us per call over the fleet, ${(perNode.tickTime * 1_000 / perNode.ticks).toFixed(2)} us per tick`)
console.log(`heap grown by ${((process.memoryUsage().heapUsed - heapBefore) / 1e6).toFixed(1)} MB, log and fleet together`)
