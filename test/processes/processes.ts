/**
 * The command `npm run matrix:processes`, the fault matrix on real processes of the built binary.
 * Under load, processes are killed, stopped, drained and sent malformed bytes. The record of the
 * services gives the calls that ran; every streamed token is compared with the one that the engine
 * must generate.
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

/** A fault and the function that injects it into a running fleet. */
interface Case {
  readonly name: string
  readonly injectFault: (fleet: Fleet) => Promise<void>
}

/** Load of each case: numbers of streams and of bookings, and calls started per second. */
const requests = 60
const bookings = 30
const perSecond = 20
const faultDelay = 1_200 // ms
const stopTime = 4_000 // ms
const outageTime = 2_000 // ms
const readyTimeout = 20_000 // ms
const pollInterval = 100 // ms

class FleetCheckError extends Error {
  override readonly name = 'FleetCheckError'
}

const printLine = (text: string): void => { process.stdout.write(`${text}\n`) }
const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })
const urlOf = ({ host, port }: Origin): string => `http://${host}:${port}`

const waitUntil = async (timeoutMessage: string, condition: () => Promise<boolean>): Promise<void> => {
  const deadline = Date.now() + readyTimeout
  while (!await condition().catch(() => false)) {
    if (Date.now() > deadline) throw new FleetCheckError(timeoutMessage)
    await sleep(pollInterval)
  }
}

const waitUntilReady = (instance: Instance): Promise<void> =>
  waitUntil(`${instance.id} was not ready in time`, async () => (await fetch(`${urlOf(instance.operator)}/ready`)).ok)

const publishRules = (fleet: Fleet): Promise<void> => {
  const text = readFileSync(join(fleet.deployment.example, 'rules.txt'), 'utf8')
  const body = JSON.stringify({ base: 0, text, publisher: 'matrix', publishId: 'matrix-1' })
  return waitUntil('the rules were not accepted in time', async () => (await fetch(`${urlOf(fleet.instances[0].operator)}/v1/rules`, { method: 'POST', body })).ok)
}

const killInstances = async (fleet: Fleet, count: number): Promise<void> => {
  const killed = fleet.instances.slice(0, count)
  for (const { process: child } of killed) child.kill('SIGKILL')
  const restarted = await Promise.all(killed.map(({ id }) => fleet.restart(id)))
  await Promise.all(restarted.map(waitUntilReady))
}

const drainInstance = async (fleet: Fleet): Promise<void> => {
  const [{ id, process: child }] = fleet.instances
  child.kill('SIGTERM')
  const code = await new Promise<number | null>(resolve => child.once('exit', resolve))
  if (code !== 0) throw new FleetCheckError(`${id} exited with code ${code} after SIGTERM`)
  await waitUntilReady(await fleet.restart(id))
}

const sendMalformedBytes = async (fleet: Fleet): Promise<void> => {
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
  { name: 'no fault', injectFault: async () => {} },
  { name: 'kill -9 of one instance', injectFault: fleet => killInstances(fleet, 1) },
  { name: 'kill -9 of all instances at once', injectFault: fleet => killInstances(fleet, fleet.instances.length) },
  {
    name: 'SIGSTOP for 4 s, then SIGCONT',
    injectFault: async fleet => {
      const [{ process: child }] = fleet.instances
      child.kill('SIGSTOP')
      await sleep(stopTime)
      child.kill('SIGCONT')
    }
  },
  { name: 'kill -9 of one engine', injectFault: async fleet => { fleet.engines[0].process.kill('SIGKILL') } },
  {
    name: 'log outage of 2 s',
    injectFault: async fleet => {
      await fetch(`${urlOf(fleet.log.origin)}/fault`, { method: 'POST', body: JSON.stringify({ kind: 'outage', ms: outageTime }) })
      await sleep(outageTime)
    }
  },
  { name: 'malformed and truncated frames', injectFault: sendMalformedBytes },
  { name: 'drain on SIGTERM', injectFault: drainInstance }
]

/** Violations in the results of the load, given the number of runs of each idempotency key. */
const violationsOf = (tally: Tally, runs: ReadonlyMap<string, number>): string[] => {
  const reportedAsRun = new Map<string, boolean>()
  for (const { key, result } of tally.called) reportedAsRun.set(key, (reportedAsRun.get(key) ?? false) || result.outcome === 'ran')
  return [
    ...tally.answered.filter(({ exact }) => !exact).map(({ generation }) => `a stream ended ${generation.ending}: ${generation.error ?? 'unexpected tokens'}`),
    ...[...runs].filter(([, count]) => count > 1).map(([key, count]) => `key ${key} ran ${count} times`),
    ...[...reportedAsRun].filter(([key, ran]) => ran && (runs.get(key) ?? 0) === 0).map(([key]) => `key ${key} was reported as run and did not run`),
    ...tally.called.filter(({ key, result }) => result.outcome === 'not_run' && !reportedAsRun.get(key) && (runs.get(key) ?? 0) > 0).map(({ key }) => `key ${key} was reported as not run and ran`)
  ]
}

const runCase = async (fleet: Fleet, { name, injectFault }: Case, seed: number): Promise<boolean> => {
  const workload = createWorkload(await loadHash(), createRandom(seed), fleet.deployment, fleet.instances.map(({ origin }) => origin))
  const load = workload.run(requests, bookings, perSecond)
  await sleep(faultDelay)
  const injectionErrors = await injectFault(fleet).then(() => [], (error: unknown) => [String(error)])
  await load
  await workload.close()
  const failures = [...injectionErrors, ...violationsOf(workload.tally, await countRuns(fleet))]
  const unknown = workload.tally.called.filter(({ result }) => result.outcome === 'unknown').length
  printLine(`${failures.length === 0 ? 'passed' : 'FAILED'}  ${name}: ${workload.tally.answered.length} streams, ${workload.tally.called.length} bookings, ${unknown} with outcome "unknown"`)
  for (const line of failures) printLine(`        ${line}`)
  return failures.length === 0
}

const main = async (): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-processes-'))
  const fleet = await startFleet(deployments[0], folder)
  try {
    await publishRules(fleet)
    await Promise.all(fleet.instances.map(waitUntilReady))
    let passed = 0
    for (const [index, processCase] of cases.entries()) if (await runCase(fleet, processCase, index + 1)) passed++
    printLine(`\n${passed} passed, ${cases.length - passed} failed`)
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
