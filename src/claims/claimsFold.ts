/**
 * The state of one partition, folded from its stream. Every reader of the same
 * records reaches the same state: the first claim of a call owns it until its
 * claimant gives it up, and nothing else opens it again.
 */
import { batchSchema, callName, entrySchema } from './claimsMessages.js'
import type { CallKey, Claim, Close, Owner, Verdict } from './claimsMessages.js'
import { keyTime } from './claimsKey.js'
import type { LogRecord } from '../ports/logPort.js'

/** What became of an attempt that does not own its call, or no longer runs. */
type Ending = 'lost' | Close['outcome']

interface Call {
  readonly keyTime: number
  owner?: Owner
  /** By attempt; one listed here can never own the call from then on. */
  readonly endings: Map<string, Ending>
}

/** The folded state of a partition. */
export interface Fold {
  /** Folds one record in; records come in order of offset. */
  readonly apply: (record: LogRecord) => void
  /** What the records say of a claim; undefined if they do not decide it. */
  readonly verdictOn: (claim: Claim) => Verdict | undefined
  /** Whether the end of an attempt is recorded. */
  readonly isClosed: (close: Close) => boolean
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

  const callOf = (attempt: CallKey, time: number): Call => {
    const name = callName(attempt)
    const call = calls.get(name) ?? { keyTime: time, endings: new Map<string, Ending>() }
    calls.set(name, call)
    return call
  }

  const applyClaim = (claim: Claim, time: number, at: number): void => {
    const call = callOf(claim, time)
    const { attempt } = claim
    if (call.endings.has(attempt) || call.owner?.attempt === attempt) return
    if (call.owner === undefined && isTimely(time, at)) call.owner = claim
    else call.endings.set(attempt, 'lost')
  }

  const isTimely = (time: number, at: number): boolean => at - time <= window && time - at <= skew

  const applyClose = (close: Close, time: number): void => {
    const call = callOf(close, time)
    const { attempt } = close
    if (call.endings.has(attempt)) return
    call.endings.set(attempt, close.outcome)
    if (close.outcome === 'notRun' && call.owner?.attempt === attempt) call.owner = undefined
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
    isClosed: close => calls.get(callName(close))?.endings.has(close.attempt) ?? false,
    sweep,
    size: () => calls.size,
    skipped: () => skipped
  }
}

const verdictOnCall = (claim: Claim, call: Call | undefined): Verdict | undefined => {
  if (call === undefined) return undefined
  const ending = call.endings.get(claim.attempt)
  const { owner } = call
  if (owner === undefined) return ending === undefined ? undefined : { kind: 'spent' }
  if (owner.attempt === claim.attempt && ending === undefined) return { kind: 'won' }
  const state = call.endings.get(owner.attempt)
  return { kind: 'taken', owner, state: state === 'ran' || state === 'unknown' ? state : 'held' }
}
