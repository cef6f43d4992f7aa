/**
 * Runs a built gateway for some seconds, so that the compiled code that it
 * writes when it ends holds what an instance runs first. A restarted instance
 * then does not have to compile that while callers wait.
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
const startTime = 1_500 // ms
const playTime = 2_500 // ms
const callers = 6

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

interface Started {
  readonly directory: string
  readonly leave: () => Promise<number | null>
}

/** Starts a gateway by these words of a command line. */
const start = async (id: string, words: readonly string[], folder: string, store: string): Promise<Started> => {
  const [front, ready, directory, peer, metrics] = await Promise.all(Array.from({ length: 5 }, () => freePort(host)))
  const file = join(folder, `${id}.ini`)
  writeFileSync(file, stringify({
    instance: { id, data_centre: 'a', host },
    listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, directory: `${host}:${directory}`, peer_port: peer, metrics_port: metrics },
    platform: { store },
    configuration: { apply_within: 2_000, revoke_within: 5_000, strict_revoke: true },
    retries: { fraction: 0.2, slack: 50, window: 10 },
    shutdown: { grace: 8 },
    weights: { apply_within: 8_000 }
  }))
  const child = spawn(process.execPath, [...words, 'gateway', '--settings', file], { stdio: 'ignore' })
  process.on('exit', () => { child.kill('SIGKILL') })
  const ended = new Promise<number | null>(resolve => { child.once('exit', resolve) })
  return {
    directory: `${host}:${directory}`,
    leave: () => {
      child.kill('SIGTERM')
      return ended
    }
  }
}

const rehearse = async (options: readonly string[], program: string): Promise<number | null> => {
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-rehearsal-'))
  const store = await startStandInStore()
  const ignore = (): void => { /* Nothing is judged here. */ }
  const clock = (): number => performance.now()
  store.put('keyed.op', 'config', soakConfiguration(2, ['k0', 'k1']))
  const workers = ['desk', 'model', 'desk', 'model'].map((service, index) =>
    createSoakWorker({ name: `w${index}`, service, model: service === 'model' ? 'llm' : undefined, store, clock, ran: ignore, ordered: ignore }))
  for (const worker of workers) await worker.start()
  const writer = await start('a', [...options, program, '--write'], folder, store.address)
  const other = await start('b', [...options, program], folder, store.address)
  await sleep(startTime)
  const running = Array.from({ length: callers }, (_, index) => startSoakCaller({
    name: `c${index}`,
    directories: [writer.directory],
    // One of the keys is unknown.
    keys: ['k0', 'k1', 'k2'],
    random: createRandom(index),
    clock,
    ended: ignore
  }))
  await sleep(playTime / 2)
  store.put('keyed.op', 'version/llm', JSON.stringify({ model: 'llm', version: 2 }))
  store.put('keyed.op', 'config', soakConfiguration(3, ['k0', 'k1']))
  await sleep(playTime / 2)
  await Promise.all(running.map(({ stop }) => stop()))
  const [code] = await Promise.all([writer.leave(), other.leave()])
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
