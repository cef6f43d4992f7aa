/**
 * Runs a built gateway under load for some seconds, so that the V8 code cache
 * that it writes on exit holds the functions that an instance runs first. A
 * restarted instance then does not have to compile them while callers wait.
 *
 *   tsx scripts/rehearse.ts PROGRAM [NODE_OPTION...]
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import { stringify } from 'ini'
import { startStandInStore } from '../platform/fakes/standInStore.js'
import { freePort } from '../platform/soak/freePort.js'
import { startSoakCaller } from '../platform/soak/soakCaller.js'
import { soakConfiguration } from '../platform/soak/soakConfiguration.js'
import { createSoakWorker } from '../platform/soak/soakWorker.js'
import { createRandom } from '../src/random.js'

const host = '127.0.0.1'
const startupTime = 1_500 // ms
const loadTime = 2_500 // ms
const callerCount = 6

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

interface Gateway {
  /** Directory listener, as IP:PORT. */
  readonly directory: string
  /** Sends SIGTERM; resolves with the exit code, or null if a signal ended the process. */
  readonly stop: () => Promise<number | null>
}

/** Starts a gateway; `nodeArguments` are the arguments of Node.js up to the program and its --write. */
const start = async (id: string, nodeArguments: readonly string[], folder: string, store: string): Promise<Gateway> => {
  const [front, ready, directory, peer, metrics] = await Promise.all(Array.from({ length: 5 }, () => freePort(host)))
  const settingsFile = join(folder, `${id}.ini`)
  writeFileSync(settingsFile, stringify({
    instance: { id, data_centre: 'a', host },
    listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, directory: `${host}:${directory}`, peer_port: peer, metrics_port: metrics },
    platform: { store },
    configuration: { apply_within: 2_000, revoke_within: 5_000, strict_revoke: true },
    retries: { fraction: 0.2, slack: 50, window: 10 },
    shutdown: { grace: 8 },
    weights: { apply_within: 8_000 }
  }))
  const child = spawn(process.execPath, [...nodeArguments, 'gateway', '--settings', settingsFile], { stdio: 'ignore' })
  process.on('exit', () => { child.kill('SIGKILL') })
  const ended = new Promise<number | null>(resolve => { child.once('exit', resolve) })
  return {
    directory: `${host}:${directory}`,
    stop: () => {
      child.kill('SIGTERM')
      return ended
    }
  }
}

/** Runs two gateways under load; returns the exit code of the one that writes the code cache. */
const rehearse = async (options: readonly string[], program: string): Promise<number | null> => {
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-rehearsal-'))
  const store = await startStandInStore()
  const ignore = (): void => { /* Results are not checked here. */ }
  const clock = (): number => performance.now()
  store.put('keyed.op', 'config', soakConfiguration(2, ['k0', 'k1']))
  const workers = ['desk', 'model', 'desk', 'model'].map((service, index) =>
    createSoakWorker({ name: `w${index}`, service, model: service === 'model' ? 'llm' : undefined, store, clock, ran: ignore, ordered: ignore }))
  for (const worker of workers) await worker.start()
  const cacheWriter = await start('a', [...options, program, '--write'], folder, store.address)
  const peer = await start('b', [...options, program], folder, store.address)
  await sleep(startupTime)
  const callers = Array.from({ length: callerCount }, (_, index) => startSoakCaller({
    name: `c${index}`,
    directories: [cacheWriter.directory],
    // The key k2 is unknown, so that requests with an invalid key are part of the load.
    keys: ['k0', 'k1', 'k2'],
    random: createRandom(index),
    clock,
    ended: ignore
  }))
  await sleep(loadTime / 2)
  store.put('keyed.op', 'version/llm', JSON.stringify({ model: 'llm', version: 2 }))
  store.put('keyed.op', 'config', soakConfiguration(3, ['k0', 'k1']))
  await sleep(loadTime / 2)
  await Promise.all(callers.map(({ stop }) => stop()))
  const [code] = await Promise.all([cacheWriter.stop(), peer.stop()])
  await Promise.all(workers.map(worker => worker.crash()))
  await store.close()
  rmSync(folder, { recursive: true, force: true })
  return code
}

const [program, ...options] = process.argv.slice(2)
rehearse(options, program).then(code => process.exit(code ?? 1), (error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exit(1)
})
