/** The faults that a stand-in can be told to show, at once or for its next exchanges. */
import { z } from 'zod'

/** A fault as posted to `/fault`; `times` counts the exchanges that it strikes, `ms` is its length. */
export const faultSchema = z.discriminatedUnion('kind', [
  /** No exchange works. */
  z.object({ kind: z.literal('outage'), ms: z.number().nonnegative() }),
  /** Answers start late by `ms`. */
  z.object({ kind: z.literal('slow'), ms: z.number().nonnegative(), times: z.number().int().default(1) }),
  /** The connection is cut before anything is done. */
  z.object({ kind: z.literal('cutBefore'), times: z.number().int().default(1) }),
  /** The effect takes place, then the connection is cut without an answer. */
  z.object({ kind: z.literal('cutAfter'), times: z.number().int().default(1), events: z.number().int().default(0) }),
  /** The exchange answers what belongs to another. */
  z.object({ kind: z.literal('crossed'), times: z.number().int().default(1) }),
  /** The effect or each event comes twice. */
  z.object({ kind: z.literal('duplicate'), times: z.number().int().default(1) }),
  /** Bytes that follow no protocol. */
  z.object({ kind: z.literal('garbled'), times: z.number().int().default(1) }),
  /** Running streams stand still, cache events and load reports too. */
  z.object({ kind: z.literal('freeze'), ms: z.number().nonnegative() }),
  /** Cache events stop, the rest goes on. */
  z.object({ kind: z.literal('freezeEvents'), ms: z.number().nonnegative() }),
  /** That many batches of cache events are lost. */
  z.object({ kind: z.literal('gap'), batches: z.number().int().positive().default(1) }),
  /** All connections are cut and all state is lost; a new incarnation goes on. */
  z.object({ kind: z.literal('crash') })
])

/** A fault. */
export type Fault = z.infer<typeof faultSchema>

/** The name of a fault. */
export type FaultName = Fault['kind']

/** The faults that wait to strike. */
export interface FaultQueue {
  readonly add: (fault: Fault, now: number) => void
  /** Uses up one strike of a counted fault. */
  readonly take: <Name extends FaultName>(kind: Name) => Extract<Fault, { kind: Name }> | undefined
  /** Strikes that are still to come. */
  readonly left: () => number
  /** Whether a lasting fault holds at `now`. */
  readonly holds: (kind: FaultName, now: number) => boolean
}

/**
 * Creates an empty queue.
 *
 * @returns the queue
 */
export const createFaultQueue = (): FaultQueue => {
  const until = new Map<FaultName, number>()
  const waiting: Array<{ readonly fault: Fault, left: number }> = []

  const add = (fault: Fault, now: number): void => {
    if ('times' in fault) waiting.push({ fault, left: fault.times })
    else if ('ms' in fault) until.set(fault.kind, now + fault.ms)
  }

  const take = <Name extends FaultName>(kind: Name): Extract<Fault, { kind: Name }> | undefined => {
    const index = waiting.findIndex(({ fault }) => fault.kind === kind)
    if (index < 0) return undefined
    const entry = waiting[index]
    entry.left--
    if (entry.left <= 0) waiting.splice(index, 1)
    return entry.fault as Extract<Fault, { kind: Name }>
  }

  return { add, take, left: () => waiting.reduce((sum, { left }) => sum + left, 0), holds: (kind, now) => now < (until.get(kind) ?? -Infinity) }
}
