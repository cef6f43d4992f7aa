/**
 * Reports an instance's requests in flight to the coordinators of their workers, in
 * batches of at most one each 50 ms. What to report is found by comparing the
 * requests in flight with what each coordinator has been told, so that no end is
 * missed, whatever ended the request, and a coordinator that takes a group over is
 * told of all that is in flight there.
 */
import type { InFlightRequest, WorkerLoad } from '../placement/workerLoad.js'
import { boundedCount, maxUpdatesPerMessage, type PlacementUpdates, type WorkerLoadReport } from './coordinationMessages.js'
import { wholeBlocks } from './workerRoom.js'

/** A worker whose requests are reported. */
export interface ReportedWorker {
  readonly id: string
  readonly service: string
  /** The coordinator of the worker's group. */
  readonly coordinator: string
  readonly load: WorkerLoad
}

/** The reports of one instance; times in ms. */
export interface FlightReports {
  /** Returns the id of the next question or request in flight. */
  readonly nextId: () => number
  /** Records that a coordinator has placed the request of an attempt under an id. */
  readonly assign: (attempt: number, id: number, coordinator: string) => void
  /** Records that a request that a coordinator may have placed was not sent there. */
  readonly release: (id: number, coordinator: string) => void
  /** The messages that are due, by coordinator; `listWorkers` is called only if any are. */
  readonly collect: (listWorkers: () => readonly ReportedWorker[], now: number) => readonly { readonly to: string, readonly updates: PlacementUpdates }[]
}

/** Least time between two messages to a coordinator, in ms. */
const batchInterval = 50
/** Time, in ms, after which a coordinator is told again what is still in flight. */
const renewInterval = 2_000
/** Bounds of the first id, which is drawn, so that an instance that has started anew does not use the ids of its requests before. */
const idRange = 2 ** 30

interface Told {
  readonly id: number
  readonly coordinator: string
  begun: boolean
  toldAt: number
}

/** Updates of one coordinator while they are collected. */
interface Batch {
  readonly flights: PlacementUpdates['flights']
  readonly begun: PlacementUpdates['begun']
  readonly ended: number[]
  readonly abandoned: PlacementUpdates['abandoned']
  readonly running: number[]
  readonly reports: WorkerLoadReport[]
}

const emptyBatch = (): Batch => ({ flights: [], begun: [], ended: [], abandoned: [], running: [], reports: [] })

const describeFlight = (id: number, { id: worker, service }: ReportedWorker, flight: InFlightRequest, now: number): PlacementUpdates['flights'][number] => ({
  id,
  worker,
  service,
  unreadTokens: boundedCount(flight.unreadTokens),
  memoryTokens: boundedCount(wholeBlocks(flight.memoryTokens)),
  tokensAhead: boundedCount(flight.tokensAhead),
  expected: boundedCount(flight.expected),
  age: now - flight.sentAt,
  begun: flight.firstEventAt !== undefined
})

/** Divides a batch into messages of bounded size. */
const toMessages = (batch: Batch): readonly PlacementUpdates[] => {
  const { flights, begun, ended, abandoned, running, reports } = batch
  const messages: PlacementUpdates[] = []
  const longest = Math.max(flights.length, begun.length, ended.length, abandoned.length, running.length, reports.length)
  for (let from = 0; from < longest; from += maxUpdatesPerMessage) {
    const part = <Entry>(entries: readonly Entry[]): Entry[] => entries.slice(from, from + maxUpdatesPerMessage)
    messages.push({ kind: 'fleet.placementUpdates', flights: part(flights), begun: part(begun), ended: part(ended), abandoned: part(abandoned), running: part(running), reports: part(reports) })
  }
  return messages
}

/**
 * Creates the reports of an instance that has told nobody of anything.
 *
 * @param firstId - draws a number below its argument, for the first id; called on first use
 */
export const createFlightReports = (firstId: (bound: number) => number): FlightReports => {
  const told = new Map<number, Told>()
  /** Coordinators that know of abandoned runs, by attempt. */
  const toldAbandoned = new Map<number, string>()
  const released: { readonly id: number, readonly coordinator: string }[] = []
  const reportedAt = new Map<string, { readonly at: number, readonly coordinator: string }>()
  let lastId: number | undefined
  let nextCollection = -Infinity

  const nextId = (): number => {
    lastId = (lastId ?? firstId(idRange)) + 1
    return lastId
  }

  const compareFlight = (worker: ReportedWorker, flight: InFlightRequest, batch: Batch, now: number): void => {
    const known = told.get(flight.attempt)
    if (known?.coordinator !== worker.coordinator) {
      const id = known?.id ?? nextId()
      if (known !== undefined) released.push({ id, coordinator: known.coordinator })
      told.set(flight.attempt, { id, coordinator: worker.coordinator, begun: flight.firstEventAt !== undefined, toldAt: now })
      batch.flights.push(describeFlight(id, worker, flight, now))
      return
    }
    if (!known.begun && flight.firstEventAt !== undefined) {
      known.begun = true
      known.toldAt = now
      batch.begun.push({ id: known.id, age: Math.max(0, now - flight.firstEventAt) })
    } else if (now - known.toldAt >= renewInterval) {
      known.toldAt = now
      batch.running.push(known.id)
    }
  }

  /** Tells of the runs without a connection; a coordinator that has placed one keeps its place for as long as the worker may run it. */
  const addAbandoned = ({ id: worker, coordinator, load }: ReportedWorker, batch: Batch, now: number): void => {
    for (const [key, { sentAt, closedAt, memoryTokens, deadline }] of load.abandoned.byKey) {
      const attempt = Number(key)
      if (deadline <= now || toldAbandoned.get(attempt) === coordinator) continue
      const known = told.get(attempt)
      if (known !== undefined && known.coordinator !== coordinator) released.push({ id: known.id, coordinator: known.coordinator })
      told.delete(attempt)
      toldAbandoned.set(attempt, coordinator)
      batch.abandoned.push({ id: known?.id ?? nextId(), worker, memoryTokens: boundedCount(wholeBlocks(memoryTokens)), sent: now - sentAt, age: now - closedAt, left: boundedCount(deadline - now) })
    }
  }

  const addReport = ({ id, coordinator, load }: ReportedWorker, batch: Batch, now: number): void => {
    const last = reportedAt.get(id)
    const { report, brittle } = load
    if (report === undefined || (last !== undefined && last.coordinator === coordinator && last.at >= report.at)) return
    reportedAt.set(id, { at: report.at, coordinator })
    const { running, waiting, slots, pace } = report.counts
    batch.reports.push({ worker: id, age: now - report.at, brittle, running: boundedCount(running), waiting: boundedCount(waiting), slots: boundedCount(slots), ...(pace === undefined ? {} : { pace }) })
  }

  const collect = (listWorkers: () => readonly ReportedWorker[], now: number): readonly { readonly to: string, readonly updates: PlacementUpdates }[] => {
    if (now < nextCollection) return []
    nextCollection = now + batchInterval
    const workers = listWorkers()
    const batches = new Map<string, Batch>()
    const batchOf = (coordinator: string): Batch => {
      const batch = batches.get(coordinator) ?? emptyBatch()
      batches.set(coordinator, batch)
      return batch
    }
    const inFlight = new Set<number>()
    const stillAbandoned = new Set(workers.flatMap(({ load }) => [...load.abandoned.byKey.keys()].map(Number)))
    for (const worker of workers) {
      const batch = batchOf(worker.coordinator)
      for (const flight of worker.load.flights) {
        inFlight.add(flight.attempt)
        compareFlight(worker, flight, batch, now)
      }
      addAbandoned(worker, batch, now)
      addReport(worker, batch, now)
    }
    for (const [attempt, { id, coordinator }] of told) {
      if (inFlight.has(attempt)) continue
      told.delete(attempt)
      batchOf(coordinator).ended.push(id)
    }
    for (const attempt of toldAbandoned.keys()) if (!stillAbandoned.has(attempt)) toldAbandoned.delete(attempt)
    for (const { id, coordinator } of released.splice(0)) batchOf(coordinator).ended.push(id)
    if (reportedAt.size > 2 * workers.length + maxUpdatesPerMessage) reportedAt.clear()
    return [...batches].flatMap(([to, batch]) => toMessages(batch).map(updates => ({ to, updates })))
  }

  return {
    nextId,
    // Counts as told before the renewal interval, so that the next message confirms it.
    assign: (attempt, id, coordinator) => {
      const earlier = told.get(attempt)
      if (earlier !== undefined) released.push({ id: earlier.id, coordinator: earlier.coordinator })
      told.set(attempt, { id, coordinator, begun: false, toldAt: -Infinity })
    },
    release: (id, coordinator) => { released.push({ id, coordinator }) },
    collect
  }
}
