/**
 * The state of one partition, folded from its stream. Every reader of the same
 * records reaches the same state: the first claim of a call owns it until its
 * claimant gives it up, and nothing else opens it again.
 */
import { attemptId, batchSchema, callName, entrySchema } from './claimsMessages.js'
import type { Attempt, Claim, Close, Owner, Verdict } from './claimsMessages.js'
import { keyTime } from './claimsKey.js'
import type { LogRecord } from '../ports/logPort.js'

/** What became of an attempt that does not own its call, or no longer runs. */
type Ending = 'lost' | Close['outcome']

interface Call {
  readonly keyTime: number
  owner?: Owner
  /** By attempt id; an attempt listed here can never own the call from then on. */
  readonly endings: Map<string, Ending>
}

/** The folded state of a partition. */
export interface Fold {
  /** Folds one record in; records come in order of offset. */
  readonly apply: (record: LogRecord) => void
  /** What the records say of a claim; undefined if they do not decide it. */
  readonly verdictOn: (claim: Claim) => Verdict | undefined
  /** Whether the end of an attempt is recorded. */
  readonly isClosed: (attempt: Attempt) => boolean
  /** Forgets calls whose keys have expired. */
  readonly sweep: () => void
  readonly size: () => number
  /** Records that are not of this feature's schema. */
  readonly skipped: () => number
}

/** Bounds of a fold. */
export interface FoldOptions {
  /** The log's time in ms from which on no record is missing. */
  readonly since: number
  /** Age in ms at which a key is no longer accepted. */
  readonly window: number
  /** Greatest difference between clocks, in ms. */
  readonly skew: number
}

/**
 * Creates the state of a partition before its first record.
 *
 * @param options - bounds of time
 */
export const createFold = ({ since, window, skew }: FoldOptions): Fold => {
  const calls = new Map<string, Call>()
  let latest = -Infinity
  let skipped = 0

  const callOf = (attempt: Attempt, time: number): Call => {
    const name = callName(attempt)
    const call = calls.get(name) ?? { keyTime: time, endings: new Map<string, Ending>() }
    calls.set(name, call)
    return call
  }

  const applyClaim = (claim: Claim, time: number, at: number): void => {
    const call = callOf(claim, time)
    const id = attemptId(claim)
    if (call.endings.has(id)) return
    if (call.owner !== undefined && attemptId(call.owner) === id) return
    if (call.owner === undefined && isTimely(time, at)) call.owner = claim
    else call.endings.set(id, 'lost')
  }

  const isTimely = (time: number, at: number): boolean => at - time <= window && time - at <= skew

  const applyClose = (close: Close, time: number): void => {
    const call = callOf(close, time)
    const id = attemptId(close)
    if (call.endings.has(id)) return
    call.endings.set(id, close.outcome)
    const owns = call.owner !== undefined && attemptId(call.owner) === id
    if (close.outcome === 'notRun' && owns) call.owner = undefined
    if (close.outcome !== 'notRun') call.owner ??= close
  }

  const apply = ({ payload, at }: LogRecord): void => {
    latest = Math.max(latest, at)
    const batch = batchSchema.safeParse(payload)
    if (!batch.success) {
      skipped++
      return
    }
    for (const unread of batch.data.records) applyEntry(unread, at)
  }

  const applyEntry = (unread: unknown, at: number): void => {
    const entry = entrySchema.safeParse(unread)
    const time = entry.success ? keyTime(entry.data.key) : undefined
    if (!entry.success || time === undefined) skipped++
    else if (entry.data.kind === 'claim') applyClaim(entry.data, time, at)
    else applyClose(entry.data, time)
  }

  const verdictOn = (claim: Claim): Verdict | undefined => {
    const time = keyTime(claim.key)
    if (time === undefined) return { kind: 'expired' }
    const expired = latest - time > window
    if (time - skew < since) return { kind: expired ? 'expired' : 'undecided' }
    const verdict = verdictOnCall(claim, calls.get(callName(claim)))
    const isOpen = verdict === undefined || verdict.kind === 'spent'
    return expired && isOpen ? { kind: 'expired' } : verdict
  }

  const sweep = (): void => {
    for (const [name, call] of calls) {
      if (latest - call.keyTime > window + skew) calls.delete(name)
    }
  }

  return {
    apply,
    verdictOn,
    isClosed: attempt => calls.get(callName(attempt))?.endings.has(attemptId(attempt)) ?? false,
    sweep,
    size: () => calls.size,
    skipped: () => skipped
  }
}

const verdictOnCall = (claim: Claim, call: Call | undefined): Verdict | undefined => {
  if (call === undefined) return undefined
  const ending = call.endings.get(attemptId(claim))
  const { owner } = call
  if (owner === undefined) return ending === undefined ? undefined : { kind: 'spent' }
  const ownerId = attemptId(owner)
  if (ownerId === attemptId(claim) && ending === undefined) return { kind: 'won' }
  const state = call.endings.get(ownerId)
  return { kind: 'taken', owner, state: state === 'ran' || state === 'unknown' ? state : 'held' }
}
