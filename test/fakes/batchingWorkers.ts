/**
 * Model workers in virtual time that run a batch of requests at once and queue a
 * few more, as engines do. They state their load, and may be brittle: a worker that
 * has to turn away too many requests in a second ends. A run whose connection is
 * closed is dropped, or goes on and keeps its place.
 */
import type { AnswerHead, Call } from '../../src/ports/forwardPort.js'
import type { VirtualTime } from './virtualTime.js'

/** What a run brings to the instance that sent its request. */
export interface RunOutputs {
  readonly head: (head: Partial<AnswerHead>) => void
  /** An event of the stream, from 1 on. */
  readonly event: (number: number) => void
  readonly end: () => void
}

/** The workers; times in ms. */
export interface BatchingWorkers {
  /** Passes a request to a worker; returns a function to call when its connection is closed. */
  readonly run: (worker: string, call: Call, firstEvent: number, outputs: RunOutputs) => () => void
  /** Forgets the runs of a worker that has ended. */
  readonly clear: (worker: string) => void
  /** Requests that were turned away for want of room. */
  readonly rejections: readonly { readonly worker: string, readonly at: number }[]
  /** Runs that went on after their connection was closed. */
  readonly wentOn: () => number
}

/** Options of the workers; times in ms. */
export interface BatchingWorkersOptions {
  readonly time: VirtualTime
  readonly slots: number
  /** Number of requests that a worker queues now. */
  readonly queue: (now: number) => number
  /** Number of requests that a worker states it may turn away in a second; undefined if it is not brittle now. */
  readonly brittle: (now: number) => number | undefined
  /** When a worker that turns away more of them ends. */
  readonly fallsFrom: number
  readonly events: number
  readonly eventInterval: number
  /** Whether the run goes on after its connection was closed. */
  readonly goesOn: (call: Call, worker: string) => boolean
  /** Whether the workers state their load. */
  readonly statesLoad?: boolean
  /** Ends a worker that has turned away too many requests. */
  readonly onFall: (worker: string) => void
}

interface Run {
  readonly call: Call
  readonly firstEvent: number
  readonly outputs: RunOutputs
  open: boolean
  dropped: boolean
}

interface Batch {
  readonly running: Set<Run>
  readonly waiting: Run[]
  rejectedAt: number[]
}

const msPerSecond = 1_000

/**
 * Creates the workers, which run nothing.
 *
 * @param options - their size, and how they fail
 */
export const createBatchingWorkers = ({ time, slots, queue, brittle, fallsFrom, events, eventInterval, goesOn, statesLoad = true, onFall }: BatchingWorkersOptions): BatchingWorkers => {
  const batches = new Map<string, Batch>()
  const rejections: { worker: string, at: number }[] = []
  let goneOn = 0

  const batchOf = (worker: string): Batch => {
    const known = batches.get(worker) ?? { running: new Set(), waiting: [], rejectedAt: [] }
    batches.set(worker, known)
    return known
  }

  const statementOf = ({ running, waiting }: Batch): Partial<AnswerHead> => {
    const refusals = brittle(time.now())
    return {
      ...(statesLoad ? { load: { running: running.size, waiting: waiting.length, slots } } : {}),
      ...(refusals === undefined ? {} : { brittle: { kind: 'brittle', refusals } })
    }
  }

  const remove = (batch: Batch, run: Run): void => {
    run.dropped = true
    batch.running.delete(run)
    const next = batch.waiting.indexOf(run)
    if (next >= 0) batch.waiting.splice(next, 1)
    fill(batch)
  }

  const step = (batch: Batch, run: Run, event: number): void => {
    if (run.dropped) return
    if (event > events) {
      if (run.open) run.outputs.end()
      return remove(batch, run)
    }
    if (run.open) run.outputs.event(event)
    time.after(eventInterval, () => step(batch, run, event + 1))
  }

  const begin = (batch: Batch, run: Run): void => {
    batch.running.add(run)
    time.after(eventInterval, () => {
      if (run.dropped) return
      if (run.open) run.outputs.head(statementOf(batch))
      step(batch, run, run.firstEvent)
    })
  }

  const fill = (batch: Batch): void => {
    while (batch.running.size < slots) {
      const next = batch.waiting.shift()
      if (next === undefined) return
      begin(batch, next)
    }
  }

  const reject = (worker: string, batch: Batch, outputs: RunOutputs): void => {
    const now = time.now()
    rejections.push({ worker, at: now })
    batch.rejectedAt = [...batch.rejectedAt.filter(at => at > now - msPerSecond), now]
    outputs.head({ status: 503, notRun: true, signed: false, ...statementOf(batch) })
    outputs.end()
    const allowed = brittle(now)
    if (allowed === undefined || now < fallsFrom || batch.rejectedAt.length <= allowed) return
    clear(worker)
    onFall(worker)
  }

  const clear = (worker: string): void => {
    const batch = batches.get(worker)
    batches.delete(worker)
    for (const run of [...batch?.running ?? [], ...batch?.waiting ?? []]) run.dropped = true
  }

  const run: BatchingWorkers['run'] = (worker, call, firstEvent, outputs) => {
    const batch = batchOf(worker)
    if (batch.running.size >= slots && batch.waiting.length >= queue(time.now())) {
      reject(worker, batch, outputs)
      return () => { /* It has been answered. */ }
    }
    const begun: Run = { call, firstEvent, outputs, open: true, dropped: false }
    if (batch.running.size < slots) begin(batch, begun)
    else batch.waiting.push(begun)
    return () => {
      if (!begun.open || begun.dropped) return
      begun.open = false
      if (goesOn(call, worker)) goneOn++
      else remove(batch, begun)
    }
  }

  return { run, clear, rejections, wentOn: () => goneOn }
}
