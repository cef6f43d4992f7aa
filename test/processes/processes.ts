/**
 * The end of the fault matrix: real processes of the built binary under load,
 * killed, stopped, drained and sent garbage. The services' own record says what
 * ran; every streamed token is checked against the engine's rule.
 */
import { connect } from 'node:net'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { deployments } from '../../demo/deployments.js'
import type { Origin } from '../../demo/client.js'
import { startFleet, type Fleet, type Instance } from '../../demo/fleet.js'
import { countRuns } from '../../demo/report.js'
import { createWorkload, type Tally } from '../../demo/workload.js'
import { loadHash } from '../../src/hash.js'
import { createRandom } from '../../src/random.js'

/** A fault on real processes. */
interface Case {
  readonly name: string
  readonly strike: (fleet: Fleet) => Promise<void>
}

const requests = 60
const bookings = 30
const perSecond = 20
const strikeAfter = 1_200 // ms
const stopTime = 4_000 // ms
const outageTime = 2_000 // ms
const readyTimeout = 20_000 // ms
const pollPause = 100 // ms

class NotInTime extends Error {
  override readonly name = 'NotInTime'
}

const say = (text: string): void => { process.stdout.write(`${text}\n`) }
const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })
const urlOf = ({ host, port }: Origin): string => `http://${host}:${port}`

const until = async (what: string, holds: () => Promise<boolean>): Promise<void> => {
  const deadline = Date.now() + readyTimeout
  while (!await holds().catch(() => false)) {
    if (Date.now() > deadline) throw new NotInTime(what)
    await sleep(pollPause)
  }
}

const ready = (instance: Instance): Promise<void> =>
  until(`${instance.id} ready`, async () => (await fetch(`${urlOf(instance.operator)}/ready`)).ok)

const publish = (fleet: Fleet): Promise<void> => {
  const text = readFileSync(join(fleet.deployment.example, 'rules.txt'), 'utf8')
  const body = JSON.stringify({ base: 0, text, publisher: 'matrix', publishId: 'matrix-1' })
  return until('rules accepted', async () => (await fetch(`${urlOf(fleet.instances[0].operator)}/v1/rules`, { method: 'POST', body })).ok)
}

const kill = async (fleet: Fleet, count: number): Promise<void> => {
  const victims = fleet.instances.slice(0, count)
  for (const { process: child } of victims) child.kill('SIGKILL')
  const restarted = await Promise.all(victims.map(({ id }) => fleet.restart(id)))
  await Promise.all(restarted.map(ready))
}

const drain = async (fleet: Fleet): Promise<void> => {
  const [{ id, process: child }] = fleet.instances
  child.kill('SIGTERM')
  const code = await new Promise<number | null>(resolve => child.once('exit', resolve))
  if (code !== 0) throw new NotInTime(`${id} ended with ${code}`)
  await ready(await fleet.restart(id))
}

const garbage = async (fleet: Fleet): Promise<void> => {
  const [{ origin, operator }] = fleet.instances
  const peerPort = Number(((await (await fetch(`${urlOf(operator)}/dump`, { headers: { authorization: 'Bearer demo-operator-read' } })).json()) as { instance: { peer: { port: number } } }).instance.peer.port)
  const send = (port: number, bytes: Buffer): Promise<void> => new Promise(resolve => {
    const socket = connect(port, origin.host, () => socket.end(bytes))
    socket.on('error', () => resolve())
    socket.on('close', () => resolve())
    socket.resume()
  })
  await send(origin.port, Buffer.from('not http at all\r\n\r\n'))
  await send(origin.port, Buffer.from('POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\n{"model"'))
  await send(peerPort, Buffer.from([0xff, 0xff, 0xff, 0xff, 1, 2, 3]))
  await send(peerPort, Buffer.from([0, 0, 0, 9, 0xa1, 0x64]))
}

const cases: readonly Case[] = [
  { name: 'no fault', strike: async () => {} },
  { name: 'kill -9 of one instance', strike: fleet => kill(fleet, 1) },
  { name: 'kill -9 of all instances at once', strike: fleet => kill(fleet, fleet.instances.length) },
  {
    name: 'SIGSTOP for 4 s, then SIGCONT',
    strike: async fleet => {
      const [{ process: child }] = fleet.instances
      child.kill('SIGSTOP')
      await sleep(stopTime)
      child.kill('SIGCONT')
    }
  },
  { name: 'kill -9 of one engine', strike: async fleet => { fleet.engines[0].process.kill('SIGKILL') } },
  {
    name: 'log away for 2 s',
    strike: async fleet => {
      await fetch(`${urlOf(fleet.log.origin)}/fault`, { method: 'POST', body: JSON.stringify({ kind: 'outage', ms: outageTime }) })
      await sleep(outageTime)
    }
  },
  { name: 'garbage and truncated frames', strike: garbage },
  { name: 'SIGTERM drains', strike: drain }
]

const violationsOf = (tally: Tally, runs: ReadonlyMap<string, number>): string[] => {
  const keys = new Map<string, boolean>()
  for (const { key, result } of tally.called) keys.set(key, (keys.get(key) ?? false) || result.outcome === 'ran')
  return [
    ...tally.answered.filter(({ exact }) => !exact).map(({ generation }) => `a stream ended ${generation.ending}: ${generation.error ?? 'other tokens'}`),
    ...[...runs].filter(([, count]) => count > 1).map(([key, count]) => `key ${key} ran ${count} times`),
    ...[...keys].filter(([key, ran]) => ran && (runs.get(key) ?? 0) === 0).map(([key]) => `key ${key} is said to have run and did not`),
    ...tally.called.filter(({ key, result }) => result.outcome === 'not_run' && !keys.get(key) && (runs.get(key) ?? 0) > 0).map(({ key }) => `key ${key} is said not to have run and did`)
  ]
}

const runCase = async (fleet: Fleet, { name, strike }: Case, seed: number): Promise<boolean> => {
  const workload = createWorkload(await loadHash(), createRandom(seed), fleet.deployment, fleet.instances.map(({ origin }) => origin))
  const load = workload.run(requests, bookings, perSecond)
  await sleep(strikeAfter)
  const struck = await strike(fleet).then(() => [], (error: unknown) => [String(error)])
  await load
  await workload.close()
  const found = [...struck, ...violationsOf(workload.tally, await countRuns(fleet))]
  const unknown = workload.tally.called.filter(({ result }) => result.outcome === 'unknown').length
  say(`${found.length === 0 ? 'passed' : 'FAILED'}  ${name}: ${workload.tally.answered.length} streams, ${workload.tally.called.length} bookings, ${unknown} told "unknown"`)
  for (const line of found) say(`        ${line}`)
  return found.length === 0
}

const main = async (): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-processes-'))
  const fleet = await startFleet(deployments[0], folder)
  try {
    await publish(fleet)
    await Promise.all(fleet.instances.map(ready))
    let passed = 0
    for (const [index, one] of cases.entries()) if (await runCase(fleet, one, index + 1)) passed++
    say(`\n${passed} passed, ${cases.length - passed} failed`)
    process.exitCode = passed === cases.length ? 0 : 1
  } finally {
    await fleet.stop()
    rmSync(folder, { recursive: true, force: true })
  }
}

main().then(() => process.exit(), (error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exit(1)
})
