/** Guards against signals that end a process while it starts, or that are lost: real processes, signalled at moments of their start. */
import { spawn, spawnSync, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { stringify } from 'ini'
import { freePort } from '../../platform/soak/freePort.js'

type Command = 'gateway' | 'entry'

interface Run {
  /** Lines of the log by their messages, in order. */
  readonly log: readonly string[]
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

const host = '127.0.0.1'
let folder: string
let program: string
let child: ChildProcess | undefined

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'wasabireel-signals-'))
  program = join(folder, 'wasabireel.cjs')
  const script = `import { bundleProgram } from './scripts/bundleProgram.mjs'; await bundleProgram(${JSON.stringify(join(folder, 'program.cjs'))})`
  expect(spawnSync(process.execPath, ['--input-type=module', '-e', script], { encoding: 'utf8' }).stderr).toBe('')
  copyFileSync('scripts/startCached.cjs', program)
})

// A failed test may leave its process running.
afterEach(() => { child?.kill('SIGKILL') })

afterAll(() => { rmSync(folder, { recursive: true, force: true }) })

const gatewaySettings = async (): Promise<object> => {
  const [front, ready, directory, peer, metrics] = await Promise.all(Array.from({ length: 5 }, () => freePort(host)))
  return {
    instance: { id: 'a', data_centre: 'a', host },
    listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, directory: `${host}:${directory}`, peer_port: peer, metrics_port: metrics },
    platform: { store: `${host}:1` },
    configuration: { apply_within: 2_000, revoke_within: 5_000, strict_revoke: true },
    retries: { fraction: 0.2, slack: 50, window: 10 },
    shutdown: { grace: 2 },
    weights: { apply_within: 8_000 }
  }
}

const entrySettings = async (): Promise<object> => ({
  instance: { id: 'a', data_centre: 'a' },
  caller: { host, port: 0 },
  operator: { host, port: 0 },
  peer: { host, port: 0 },
  platform: { list_lag: 0 },
  addresses: { time_to_live: 100 },
  streams: { resume_keys: 'key-of-this-test-0001' }
})

const messageOf = (line: string): string => {
  try {
    const { msg, kind } = JSON.parse(line) as { readonly msg?: string, readonly kind?: string }
    return msg ?? kind ?? line
  } catch {
    return line
  }
}

/** Starts a process that signals itself at a moment of its start, and ends it with SIGTERM once it has logged `until`. */
const run = async (command: Command, signal: NodeJS.Signals, moment: string, until?: string): Promise<Run> => {
  const settings = join(folder, `${command}-${moment}-${signal}.ini`)
  writeFileSync(settings, stringify(command === 'gateway' ? await gatewaySettings() : await entrySettings()))
  const started = spawn(process.execPath, ['--require', resolve('test/start/signalAt.cjs'), program, command, '--settings', settings], {
    env: { ...process.env, SIGNAL: signal, MOMENT: moment, SETTINGS: settings },
    stdio: ['ignore', 'pipe', 'pipe']
  })
  child = started
  let output = ''
  let problems = ''
  let stopped = false
  const log = (): string[] => output.split('\n').filter(line => line !== '').map(messageOf)
  started.stdout.on('data', bytes => {
    output += String(bytes)
    if (stopped || until === undefined || !log().includes(until)) return
    stopped = true
    started.kill('SIGTERM')
  })
  started.stderr.on('data', bytes => { problems += String(bytes) })
  const [code, endedBy] = await once(started, 'close') as [number | null, NodeJS.Signals | null]
  // A process that the signal ends does not come to write that it was sent.
  if (endedBy === null) expect(problems).toBe('signalled\n')
  return { log: log(), code, signal: endedBy }
}

const beforeListening: readonly (readonly [Command, string])[] = [
  ['gateway', 'programLoaded'], ['gateway', 'settingsRead'], ['gateway', 'listener1'], ['gateway', 'listener4'],
  ['entry', 'programLoaded'], ['entry', 'settingsRead'], ['entry', 'listener1'], ['entry', 'listener2']
]
/** The last listener of each is the one for callers. */
const whileListening: readonly (readonly [Command, string])[] = [
  ['gateway', 'listener5'], ['gateway', 'listening5'], ['entry', 'listener3'], ['entry', 'listening3']
]

describe('a process that starts', () => {
  it.each([...beforeListening, ...whileListening])('%s: lives on after a SIGHUP at %s and reads its settings or certificates after it', async (command, moment) => {
    const reloaded = command === 'gateway' ? 'reloaded' : 'credentials'
    const { log, code, signal } = await run(command, 'SIGHUP', moment, moment === 'programLoaded' ? 'started' : reloaded)
    expect([code, signal]).toEqual([0, null])
    expect(log).toContain('started')
    if (moment !== 'programLoaded') expect(log).toContain(reloaded)
  })

  it.each(beforeListening)('%s: ends at once, with status 0, after a SIGTERM at %s', async (command, moment) => {
    const { log, code, signal } = await run(command, 'SIGTERM', moment)
    expect([code, signal]).toEqual([0, null])
    expect(log).not.toContain('started')
  })

  it.each(whileListening)('%s: stops gracefully after a SIGTERM at %s, when a request may have been accepted', async (command, moment) => {
    const { log, code, signal } = await run(command, 'SIGTERM', moment)
    expect([code, signal]).toEqual([0, null])
    const [leaving, ended] = command === 'gateway' ? ['leaving', 'stopped'] : ['drainStarted', 'ended']
    expect(log.filter(line => ['started', leaving, ended].includes(line)).filter((line, index, lines) => lines.indexOf(line) === index)).toEqual(['started', leaving, ended])
  })
})
