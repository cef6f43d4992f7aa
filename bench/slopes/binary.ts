/** Memory and processor time of the built binary, against one worker in this process that stands for many. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** What a process costs. */
export interface ProcessCost {
  readonly name: string
  readonly workers: number
  /** Resident bytes. */
  readonly resident: number
  /** Resident bytes of its own that no file backs. */
  readonly anonymous: number
  /** Microseconds of processor time in a second. */
  readonly processor: number
  /** Exchanges with workers in a second. */
  readonly probes: number
  /** Cache events received in a second. */
  readonly events: number
  /** Bytes of bodies with cache events in a second. */
  readonly eventBytes: number
}

const binary = 'dist/wasabireel'
const host = '127.0.0.1'
const settle = 8_000
const window = 8_000
const tickTime = 10_000 // microseconds of one clock tick of /proc
const eventPause = 50 // ms that the worker holds a poll open
const kilobyte = 1_024

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

const kilobytes = (pid: number, key: string): number =>
  Number(new RegExp(`^${key}:\\s+(\\d+) kB`, 'm').exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? NaN) * kilobyte

const processorOf = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
  return (Number(fields[11]) + Number(fields[12])) * tickTime
}

interface Worker {
  readonly server: Server
  readonly port: number
  readonly counts: { probes: number, events: number, eventBytes: number }
}

const hex = (value: number): string => value.toString(16).padStart(16, '0')

/** A worker that answers probes, and polls for cache events with `batch` events after `eventPause`; 0 holds them open. */
const startWorker = async (batch: number): Promise<Worker> => {
  const counts = { probes: 0, events: 0, eventBytes: 0 }
  let block = 1
  const server = createServer((request, response) => {
    const answer = (value: unknown): number => {
      const body = JSON.stringify(value)
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length }).end(body)
      return body.length
    }
    const url = new URL(request.url ?? '/', 'http://worker')
    if (url.pathname === '/v1/load') {
      counts.probes++
      answer({ incarnation: 'i1', models: [{ model: 'drafter', weightVersion: '7' }], running: 0, waiting: 0, waiting_tokens: 0, leaving: false })
      return
    }
    const from = url.searchParams.get('from')
    if (from === null) {
      answer({ incarnation: 'i1', seq: 0, full: true, events: [] })
      return
    }
    const events = Array.from({ length: batch }, () => ({ kind: 'stored', block: hex(block++) }))
    setTimeout(() => {
      counts.events += batch
      counts.eventBytes += answer({ incarnation: 'i1', seq: batch === 0 ? Number(from) - 1 : Number(from), full: false, events })
    }, batch === 0 ? 2_000 : eventPause)
  })
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  return { server, port: (server.address() as AddressInfo).port, counts }
}

const watch = async (name: string, workers: number, child: ChildProcess, worker: Worker | undefined): Promise<ProcessCost> => {
  const pid = child.pid ?? 0
  await sleep(settle)
  const before = { ...worker?.counts }
  const processor = processorOf(pid)
  await sleep(window)
  const seconds = window / 1_000
  const rate = (key: 'probes' | 'events' | 'eventBytes'): number => ((worker?.counts[key] ?? 0) - (before[key] ?? 0)) / seconds
  const cost = {
    name,
    workers,
    resident: kilobytes(pid, 'VmRSS'),
    anonymous: kilobytes(pid, 'RssAnon'),
    processor: (processorOf(pid) - processor) / seconds,
    probes: rate('probes'),
    events: rate('events'),
    eventBytes: rate('eventBytes')
  }
  child.kill('SIGKILL')
  return cost
}

const measureEntry = async (name: string, workers: number, batch: number): Promise<ProcessCost> => {
  const folder = mkdtempSync(join(tmpdir(), 'slopes-'))
  const worker = await startWorker(batch)
  const sections = Array.from({ length: workers }, (_, index) => `[worker.w${index}]\nhost = ${host}\nport = ${worker.port}\ndata_centre = d0\nmodels = drafter@7\n`)
  writeFileSync(join(folder, 'entry.ini'), `[instance]\nid = n0\ndata_centre = d0\nlog_level = error\n${sections.join('')}`)
  const child = spawn(binary, ['entry', '--settings', join(folder, 'entry.ini')], { stdio: 'ignore' })
  try {
    return await watch(name, workers, child, worker)
  } finally {
    child.kill('SIGKILL')
    worker.server.closeAllConnections()
    worker.server.close()
    rmSync(folder, { recursive: true })
  }
}

/** Measures the binary with no worker, with several, and with cache events; and a bare Node.js process. Answers with nothing where the binary is not built. */
export const measureProcesses = async (): Promise<readonly ProcessCost[]> => {
  if (!existsSync(binary)) return []
  const bare = await watch('bare `node -e`', 0, spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)'], { stdio: 'ignore' }), undefined)
  const idle = await measureEntry('entry, idle', 0, 0)
  const few = await measureEntry('entry, no cache events', 16, 0)
  const many = await measureEntry('entry, no cache events', 64, 0)
  const quiet = await measureEntry('entry, batches of 5 events', 8, 5)
  const busy = await measureEntry('entry, batches of 50 events', 8, 50)
  return [bare, idle, few, many, quiet, busy]
}
