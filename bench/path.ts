/**
 * Added latency and throughput of the built binary: the same load goes straight
 * to stand-in engines and through one entry instance, in turns within one run.
 * The processor time and memory are those that the instance reports itself.
 */
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { stringify } from 'ini'
import { createCaller } from '../demo/client.js'
import type { Caller, Origin } from '../demo/client.js'
import { startInstance, startStandIn, killProcess } from '../demo/fleet.js'
import type { Instance, ServerProcess } from '../demo/fleet.js'

/** What one round measured. */
interface Round {
  readonly way: 'direct' | 'routed'
  readonly streams: number
  /** In microseconds. */
  readonly firstToken: Histogram
  readonly gap: Histogram
  readonly requests: number
  readonly tokens: number
  readonly failed: number
  readonly seconds: number
}

/** The instance's own account. */
interface Usage {
  readonly cpuSeconds: number
  readonly residentBytes: number
}

const concurrencies = [10, 100, 400]
const roundTime = 6_000 // ms
const warmUpTime = 2_000 // ms
const engineCount = 4
const tokensPerRequest = 64
const decodeTime = 20 // ms
const workspace = 'bench'
const key = 'demo-key-bench'
const promptLevels = ['House rules. ', 'Branch rules. ', 'The case. '].map(text => text.repeat(200))
const host = '127.0.0.1'
const usPerMs = 1_000
const readyTimeout = 20_000 // ms

class NotReady extends Error {
  override readonly name = 'NotReady'
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

const urlOf = ({ host, port }: Origin): string => `http://${host}:${port}`

const createHistogram = (): Histogram => build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })

const load = async (way: Round['way'], callers: readonly Caller[], streams: number, time: number): Promise<Round> => {
  const round = { way, streams, firstToken: createHistogram(), gap: createHistogram(), requests: 0, tokens: 0, failed: 0 }
  const began = performance.now()
  const until = began + time
  const stream = async (caller: Caller): Promise<void> => {
    await sleep(Math.random() * tokensPerRequest * decodeTime)
    while (performance.now() < until) {
      const messages = promptLevels.map((content, level) => ({ role: level === 2 ? 'user' : 'system', content }))
      const result = await caller.generate('/v1/chat/completions', { model: 'drafter', messages, max_tokens: tokensPerRequest })
      if (result.ending !== 'whole') {
        round.failed++
        continue
      }
      round.requests++
      round.tokens += tokensPerRequest
      round.firstToken.recordValue(Math.max(1, Math.round((result.firstTokenTime ?? 0) * usPerMs)))
      for (const gap of result.gaps) round.gap.recordValue(Math.max(1, Math.round(gap * usPerMs)))
    }
  }
  await Promise.all(Array.from({ length: streams }, (_, index) => stream(callers[index % callers.length])))
  return { ...round, seconds: (performance.now() - began) / 1_000 }
}

const usageOf = async ({ operator }: Instance): Promise<Usage> => {
  const text = await (await fetch(`${urlOf(operator)}/metrics`)).text()
  const value = (name: string): number => Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? NaN)
  return { cpuSeconds: value('process_cpu_seconds_total'), residentBytes: value('process_resident_memory_bytes') }
}

const percentiles = (histogram: Histogram): string =>
  [50, 95, 99].map(share => (histogram.getValueAtPercentile(share) / usPerMs).toFixed(1).padStart(7)).join(' ')

const describe = ({ way, streams, firstToken, gap, requests, tokens, failed, seconds }: Round): string => [
  String(streams).padStart(7), way.padEnd(7), percentiles(firstToken), percentiles(gap),
  String(requests).padStart(8), String(failed).padStart(6), String(Math.round(tokens / seconds)).padStart(9)
].join('  ')

const describeUsage = (before: Usage, after: Usage, { requests, tokens, seconds }: Round): string => {
  const cpu = after.cpuSeconds - before.cpuSeconds
  return [
    `         instance: ${(cpu / seconds * 100).toFixed(1)} % of a core`,
    `${(cpu / Math.max(1, requests) * 1_000).toFixed(2)} ms per request`,
    `${(cpu / Math.max(1, tokens) * 1_000_000).toFixed(1)} us per token`,
    `RSS ${Math.round(after.residentBytes / 1_048_576)} MB`
  ].join(', ')
}

const rules = [
  `workspace ${workspace} deadline=60s # asked by the bench`,
  `key workspace=${workspace} hash=sha256:${createHash('sha256').update(key).digest('hex')} # asked by the bench`,
  'model drafter version=1 # asked by the bench'
].join('\n')

const startRouter = async (folder: string, engines: readonly ServerProcess[], log: ServerProcess, list: ServerProcess): Promise<Instance> => {
  const file = join(folder, 'bench.ini')
  const worker = Object.fromEntries(engines.map(({ name, origin }) =>
    [name, { host, port: origin.port, data_centre: 'bench', slots: 256, models: 'drafter@1' }]))
  writeFileSync(file, stringify({
    instance: { id: 'bench-e1', data_centre: 'bench' },
    platform: { log_url: urlOf(log.origin), membership_url: urlOf(list.origin) },
    streams: { resume_keys: 'a-key-only-for-the-bench' },
    worker
  }))
  const instance = await startInstance('bench-e1', file)
  const body = JSON.stringify({ base: 0, text: rules, publisher: 'bench', publishId: 'bench' })
  const until = Date.now() + readyTimeout
  while (!(await fetch(`${urlOf(instance.operator)}/v1/rules`, { method: 'POST', body })).ok) {
    if (Date.now() > until) throw new NotReady('the rules were not accepted')
    await sleep(100)
  }
  return instance
}

const main = async (): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-bench-'))
  const [log, list] = await Promise.all([startStandIn('log', ['log']), startStandIn('membership', ['membership'])])
  const engines = await Promise.all(Array.from({ length: engineCount }, (_, index) => startStandIn(`w${index}`, [
    'engine', '--id', `w${index}`, '--slots', '256', '--decode-time', String(decodeTime), '--prefill-tokens-per-second', '1000000'
  ])))
  const instance = await startRouter(folder, engines, log, list)
  const direct = engines.map(({ origin }) => createCaller({ workspace, key, seeds: [origin], direct: true, attempts: 1 }))
  const routed = [createCaller({ workspace, key, seeds: [instance.origin], direct: true, attempts: 1 })]

  process.stdout.write(`${tokensPerRequest} tokens per request, ${decodeTime} ms between tokens, ${engineCount} engines, ${roundTime / 1_000} s per round; times in ms\n`)
  process.stdout.write('streams  way       first token p50 p95 p99     between tokens p50 p95 p99  requests  failed   tokens/s\n')
  for (const streams of concurrencies) {
    await load('direct', direct, streams, warmUpTime)
    await load('routed', routed, streams, warmUpTime)
    process.stdout.write(`${describe(await load('direct', direct, streams, roundTime))}\n`)
    const before = await usageOf(instance)
    const round = await load('routed', routed, streams, roundTime)
    process.stdout.write(`${describe(round)}\n${describeUsage(before, await usageOf(instance), round)}\n`)
  }
  await Promise.all([...direct, ...routed].map(caller => caller.close()))
  await Promise.all([log, list, ...engines, instance].map(({ process: child }) => killProcess(child)))
  rmSync(folder, { recursive: true, force: true })
}

main().then(() => process.exit())
