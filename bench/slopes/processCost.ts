/**
 * Measures memory and processor time of processes of the built binary. All workers in
 * their settings have the address of one HTTP server in this process.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** The cost of one process, with rates averaged over the measured time. */
export interface ProcessCost {
  /** Name of the row in the table. */
  readonly name: string
  /** Workers in the settings of the process. */
  readonly workers: number
  /** Resident memory in bytes. */
  readonly resident: number
  /** Anonymous resident memory (not backed by a file) in bytes. */
  readonly anonymous: number
  /** Processor time in microseconds per second. */
  readonly processor: number
  /** Probes of workers per second. */
  readonly probes: number
  /** Cache events received per second. */
  readonly events: number
  /** Bytes per second of response bodies with cache events. */
  readonly eventBytes: number
}

const binary = 'dist/wasabireel'
const host = '127.0.0.1'
const settleTime = 8_000 // ms from the start of a process to its measurement
const measureTime = 8_000 // ms
const clockTick = 10_000 // microseconds in one clock tick of /proc
const eventDelay = 50 // ms until a poll for cache events is answered
const kilobyte = 1_024 // bytes

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

/** Reads a field of `/proc/PID/status` that is given in kB, in bytes. */
const statusBytes = (pid: number, key: string): number =>
  Number(new RegExp(`^${key}:\\s+(\\d+) kB`, 'm').exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? NaN) * kilobyte

/** Returns the user and system time that a process has used, in microseconds. */
const processorTimeOf = (pid: number): number => {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
  return (Number(fields[11]) + Number(fields[12])) * clockTick
}

/** The worker server and the counts of what it served. */
interface Worker {
  readonly server: Server
  readonly port: number
  readonly counts: { probes: number, events: number, eventBytes: number }
}

const hex = (value: number): string => value.toString(16).padStart(16, '0')

/**
 * Starts a worker that answers probes and polls for cache events.
 *
 * @param batch - cache events in each answer to a poll, which is sent after `eventDelay`; with 0
 *   an answer without events is sent after 2 s
 * @returns the worker, listening on a port of its own
 */
const startWorker = async (batch: number): Promise<Worker> => {
  const counts = { probes: 0, events: 0, eventBytes: 0 }
  let nextBlock = 1
  const server = createServer((request, response) => {
    const sendJson = (value: unknown): number => {
      const body = JSON.stringify(value)
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length }).end(body)
      return body.length
    }
    const url = new URL(request.url ?? '/', 'http://worker')
    if (url.pathname === '/v1/load') {
      counts.probes++
      sendJson({ incarnation: 'i1', models: [{ model: 'drafter', weightVersion: '7' }], running: 0, waiting: 0, waiting_tokens: 0, leaving: false })
      return
    }
    const from = url.searchParams.get('from')
    if (from === null) {
      sendJson({ incarnation: 'i1', seq: 0, full: true, events: [] })
      return
    }
    const events = Array.from({ length: batch }, () => ({ kind: 'stored', block: hex(nextBlock++) }))
    setTimeout(() => {
      counts.events += batch
      counts.eventBytes += sendJson({ incarnation: 'i1', seq: batch === 0 ? Number(from) - 1 : Number(from), full: false, events })
    }, batch === 0 ? 2_000 : eventDelay)
  })
  await new Promise<void>(resolve => { server.listen(0, host, resolve) })
  return { server, port: (server.address() as AddressInfo).port, counts }
}

/** Measures a running process and then kills it. */
const measureProcess = async (name: string, workers: number, child: ChildProcess, worker: Worker | undefined): Promise<ProcessCost> => {
  const pid = child.pid ?? 0
  await sleep(settleTime)
  const before = { ...worker?.counts }
  const processorBefore = processorTimeOf(pid)
  await sleep(measureTime)
  const seconds = measureTime / 1_000
  const rate = (key: 'probes' | 'events' | 'eventBytes'): number => ((worker?.counts[key] ?? 0) - (before[key] ?? 0)) / seconds
  const cost = {
    name,
    workers,
    resident: statusBytes(pid, 'VmRSS'),
    anonymous: statusBytes(pid, 'RssAnon'),
    processor: (processorTimeOf(pid) - processorBefore) / seconds,
    probes: rate('probes'),
    events: rate('events'),
    eventBytes: rate('eventBytes')
  }
  child.kill('SIGKILL')
  return cost
}

/** Measures an entry instance whose settings list `workers` workers, all at the address of one worker server. */
const measureEntry = async (name: string, workers: number, batch: number): Promise<ProcessCost> => {
  const folder = mkdtempSync(join(tmpdir(), 'slopes-'))
  const worker = await startWorker(batch)
  const sections = Array.from({ length: workers }, (_, index) => `[worker.w${index}]\nhost = ${host}\nport = ${worker.port}\ndata_centre = d0\nmodels = drafter@7\n`)
  writeFileSync(join(folder, 'entry.ini'), `[instance]\nid = n0\ndata_centre = d0\nlog_level = error\n${sections.join('')}`)
  const child = spawn(binary, ['entry', '--settings', join(folder, 'entry.ini')], { stdio: 'ignore' })
  try {
    return await measureProcess(name, workers, child, worker)
  } finally {
    child.kill('SIGKILL')
    worker.server.closeAllConnections()
    worker.server.close()
    rmSync(folder, { recursive: true })
  }
}

/**
 * Measures a bare Node.js process and entry instances of the binary without workers, with
 * workers and with cache events.
 *
 * @returns one cost for each process, or none if the binary is not built
 */
export const measureProcesses = async (): Promise<readonly ProcessCost[]> => {
  if (!existsSync(binary)) return []
  const nodeProcess = await measureProcess('bare `node -e`', 0, spawn(process.execPath, ['-e', 'setInterval(() => {}, 1000)'], { stdio: 'ignore' }), undefined)
  const idle = await measureEntry('entry, idle', 0, 0)
  const workers16 = await measureEntry('entry, no cache events', 16, 0)
  const workers64 = await measureEntry('entry, no cache events', 64, 0)
  const smallBatches = await measureEntry('entry, batches of 5 events', 8, 5)
  const largeBatches = await measureEntry('entry, batches of 50 events', 8, 50)
  return [nodeProcess, idle, workers16, workers64, smallBatches, largeBatches]
}
