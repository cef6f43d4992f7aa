/**
 * Faults that can be injected into a stand-in. A counted fault (with `times`)
 * applies to that many of the next exchanges, a lasting fault (with only `ms`)
 * applies for that time, and the others take effect once, immediately.
 */
import { z } from 'zod'

/** Schema of a fault as posted to `/fault`; `times` is the number of exchanges that it affects, `ms` its duration or delay in ms. */
export const faultSchema = z.discriminatedUnion('kind', [
  /** Every connection is closed without a response. */
  z.object({ kind: z.literal('outage'), ms: z.number().nonnegative() }),
  /** Responses are delayed by `ms`. */
  z.object({ kind: z.literal('slow'), ms: z.number().nonnegative(), times: z.number().int().default(1) }),
  /** The connection is closed before the request is processed. */
  z.object({ kind: z.literal('cutBefore'), times: z.number().int().default(1) }),
  /** The request is processed, then the connection is closed without a response; a stream is closed after `events` events. */
  z.object({ kind: z.literal('cutAfter'), times: z.number().int().default(1), events: z.number().int().default(0) }),
  /** The response carries the identifier of another request. */
  z.object({ kind: z.literal('crossed'), times: z.number().int().default(1) }),
  /** The effect is performed twice, or each event of a stream is sent twice. */
  z.object({ kind: z.literal('duplicate'), times: z.number().int().default(1) }),
  /** The response is malformed. */
  z.object({ kind: z.literal('garbled'), times: z.number().int().default(1) }),
  /** Running streams, cache events and load reports make no progress. */
  z.object({ kind: z.literal('freeze'), ms: z.number().nonnegative() }),
  /** Cache events are not published; streams and load reports continue. */
  z.object({ kind: z.literal('freezeEvents'), ms: z.number().nonnegative() }),
  /** The next `batches` batches of cache events are dropped, which leaves a gap in the sequence numbers. */
  z.object({ kind: z.literal('gap'), batches: z.number().int().positive().default(1) }),
  /** All connections are closed; an engine also loses its requests and cache. An engine or service continues as a new incarnation. */
  z.object({ kind: z.literal('crash') })
])

/** A fault to inject into a stand-in. */
export type Fault = z.infer<typeof faultSchema>

/** The kind of a fault. */
export type FaultName = Fault['kind']

/** The counted faults that have not been used up, and the lasting faults. */
export interface FaultQueue {
  /** Queues a counted fault or starts a lasting one at `now`, in ms; has no effect for other kinds. */
  readonly add: (fault: Fault, now: number) => void
  /** Consumes one use of the first queued fault of the kind; returns undefined if there is none. */
  readonly take: <Name extends FaultName>(kind: Name) => Extract<Fault, { kind: Name }> | undefined
  /** Returns the total number of remaining uses of all counted faults. */
  readonly left: () => number
  /** Whether a lasting fault of the kind is active at `now`, in ms. */
  readonly holds: (kind: FaultName, now: number) => boolean
}

/**
 * Creates an empty fault queue.
 *
 * @returns the queue
 */
export const createFaultQueue = (): FaultQueue => {
  const activeUntil = new Map<FaultName, number>()
  const queued: Array<{ readonly fault: Fault, left: number }> = []

  const add = (fault: Fault, now: number): void => {
    if ('times' in fault) queued.push({ fault, left: fault.times })
    else if ('ms' in fault) activeUntil.set(fault.kind, now + fault.ms)
  }

  const take = <Name extends FaultName>(kind: Name): Extract<Fault, { kind: Name }> | undefined => {
    const index = queued.findIndex(({ fault }) => fault.kind === kind)
    if (index < 0) return undefined
    const entry = queued[index]
    entry.left--
    if (entry.left <= 0) queued.splice(index, 1)
    return entry.fault as Extract<Fault, { kind: Name }>
  }

  return { add, take, left: () => queued.reduce((sum, { left }) => sum + left, 0), holds: (kind, now) => now < (activeUntil.get(kind) ?? -Infinity) }
}
