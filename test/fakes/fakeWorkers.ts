/**
 * The workers of a fleet in virtual time: which are listed, which accept
 * connections, and which connections are open. A worker that crashes stays listed
 * until its record expires, refuses connections, and starts anew at its address
 * under a new id.
 */
import type { Random } from '../../src/random.js'
import type { Worker } from '../../src/workers/workersTypes.js'
import type { VirtualTime } from './virtualTime.js'

/** The workers. */
export interface FakeWorkers {
  /** All workers that are listed, whether they run or not. */
  readonly listed: () => readonly Worker[]
  /** Returns a worker that accepts connections. */
  readonly running: (id: string) => Worker | undefined
  readonly register: (worker: Worker) => void
  /** Ends a worker at once and removes its record. */
  readonly end: (id: string) => void
  /** Starts a worker anew under its id. */
  readonly restart: (id: string) => void
  /** Ends a worker without a word; returns false if it does not run. */
  readonly crash: (id: string) => boolean
  /** Opens a connection; `close` is called when the worker closes it. Returns a function to call when the connection is done. */
  readonly connect: (id: string, close: () => void) => () => void
  /** Closes the connections of a worker, which goes on. */
  readonly resetConnections: (id: string) => void
}

const closeDelay = 1 // ms
const recordExpiry = 2_000 // ms
/** Shortest time from a crash to the new start, and its random addition, in ms. */
const downTime = 2_800
const downTimeSpread = 900

/**
 * Creates the workers.
 *
 * @param time - the virtual clock
 * @param random - source of the times until a crashed worker starts anew
 * @param initial - the workers at the start
 */
export const createFakeWorkers = (time: VirtualTime, random: Random, initial: readonly Worker[]): FakeWorkers => {
  const workers = new Map(initial.map(worker => [worker.id, worker]))
  const crashed = new Set<string>()
  const connections = new Map<string, Set<() => void>>()

  const running = (id: string): Worker | undefined => crashed.has(id) ? undefined : workers.get(id)

  const connect = (id: string, close: () => void): () => void => {
    const open = connections.get(id) ?? new Set()
    connections.set(id, open.add(close))
    return () => { open.delete(close) }
  }

  const resetConnections = (id: string): void => {
    const open = connections.get(id) ?? new Set()
    connections.delete(id)
    for (const close of open) time.after(closeDelay, close)
  }

  const crash = (id: string): boolean => {
    const worker = running(id)
    if (worker === undefined) return false
    crashed.add(id)
    resetConnections(id)
    const [name, lifetime = '1'] = id.split('.')
    const next = `${name}.${Number(lifetime) + 1}`
    time.after(recordExpiry, () => { workers.delete(id) })
    time.after(downTime + downTimeSpread * random.unit(), () => { workers.set(next, { ...worker, id: next, startedAt: time.now() }) })
    return true
  }

  return {
    listed: () => [...workers.values()],
    running,
    register: worker => { workers.set(worker.id, worker) },
    end: id => { workers.delete(id) },
    restart: id => {
      const worker = workers.get(id)
      if (worker !== undefined) workers.set(id, { ...worker, startedAt: worker.startedAt + 1 })
    },
    crash,
    connect,
    resetConnections
  }
}
