/**
 * The state of one partition, computed as a deterministic fold over the records
 * of its stream, so every reader of the same records reaches the same state. The
 * first claim of a call owns the call until its claimant records that the
 * attempt was not run; only that record makes the call available again.
 */
import { batchSchema, callName, entrySchema } from './claimsMessages.js'
import type { CallKey, Claim, Close, Owner, Verdict } from './claimsMessages.js'
import { keyTime } from './claimsKey.js'
import type { LogRecord } from '../ports/logPort.js'

/** The final result of an attempt: `lost` if its claim came while another attempt owned the call or outside the key's window, otherwise its recorded outcome. */
type AttemptResult = 'lost' | Close['outcome']

/** The state of one call. */
interface CallState {
  /** Time in the call's key, in ms. */
  readonly keyTime: number
  owner?: Owner
  /** By attempt id. An attempt with a result can no longer become the owner. */
  readonly results: Map<string, AttemptResult>
}

/** The folded state of a partition. */
export interface Fold {
  /** Applies one record; records must be applied in order of offset. */
  readonly apply: (record: LogRecord) => void
  /** The verdict on a claim; undefined if the claim has not been read yet and its call has no owner. */
  readonly verdictOn: (claim: Claim) => Verdict | undefined
  /** Whether the attempt has a result, so that its close record need not be appended. */
  readonly isClosed: (close: Close) => boolean
  /** Drops calls whose keys have expired. */
  readonly sweep: () => void
  /** Number of calls in the state. */
  readonly size: () => number
  /** Number of records and batch entries that did not match their schema or had a malformed key. */
  readonly skipped: () => number
}

/** Time bounds of a fold. */
export interface FoldOptions {
  /** Log time in ms from which the records are known to be complete. */
  readonly since: number
  /** Age in ms at which a key is no longer accepted. */
  readonly window: number
  /** Greatest difference between any two clocks, in ms. */
  readonly skew: number
}

/**
 * Creates the state of a partition before its first record.
 *
 * @param options - time bounds
 * @returns the empty fold
 */
export const createFold = ({ since, window, skew }: FoldOptions): Fold => {
  const calls = new Map<string, CallState>()
  let latestTime = -Infinity
  let skipped = 0

  const getOrCreateCall = (callKey: CallKey, time: number): CallState => {
    const name = callName(callKey)
    const call = calls.get(name) ?? { keyTime: time, results: new Map<string, AttemptResult>() }
    calls.set(name, call)
    return call
  }

  const applyClaim = (claim: Claim, time: number, at: number): void => {
    const call = getOrCreateCall(claim, time)
    const { attempt } = claim
    if (call.results.has(attempt) || call.owner?.attempt === attempt) return
    if (call.owner === undefined && isWithinWindow(time, at)) call.owner = claim
    else call.results.set(attempt, 'lost')
  }

  const isWithinWindow = (time: number, at: number): boolean => at - time <= window && time - at <= skew

  const applyClose = (close: Close, time: number): void => {
    const call = getOrCreateCall(close, time)
    const { attempt } = close
    if (call.results.has(attempt)) return
    call.results.set(attempt, close.outcome)
    if (close.outcome === 'notRun' && call.owner?.attempt === attempt) call.owner = undefined
    if (close.outcome !== 'notRun') call.owner ??= close
  }

  const apply = ({ payload, at }: LogRecord): void => {
    latestTime = Math.max(latestTime, at)
    const batch = batchSchema.safeParse(payload)
    if (!batch.success) {
      skipped++
      return
    }
    for (const rawEntry of batch.data.records) applyEntry(rawEntry, at)
  }

  const applyEntry = (rawEntry: unknown, at: number): void => {
    const entry = entrySchema.safeParse(rawEntry)
    const time = entry.success ? keyTime(entry.data.key) : undefined
    if (!entry.success || time === undefined) skipped++
    else if (entry.data.kind === 'claim') applyClaim(entry.data, time, at)
    else applyClose(entry.data, time)
  }

  const verdictOn = (claim: Claim): Verdict | undefined => {
    const time = keyTime(claim.key)
    if (time === undefined) return { kind: 'expired' }
    const expired = latestTime - time > window
    if (time - skew < since) return { kind: expired ? 'expired' : 'undecided' }
    const verdict = verdictOnCall(claim, calls.get(callName(claim)))
    const isUnowned = verdict === undefined || verdict.kind === 'spent'
    return expired && isUnowned ? { kind: 'expired' } : verdict
  }

  const sweep = (): void => {
    for (const [name, call] of calls) {
      if (latestTime - call.keyTime > window + skew) calls.delete(name)
    }
  }

  return {
    apply,
    verdictOn,
    isClosed: close => calls.get(callName(close))?.results.has(close.attempt) ?? false,
    sweep,
    size: () => calls.size,
    skipped: () => skipped
  }
}

const verdictOnCall = (claim: Claim, call: CallState | undefined): Verdict | undefined => {
  if (call === undefined) return undefined
  const result = call.results.get(claim.attempt)
  const { owner } = call
  if (owner === undefined) return result === undefined ? undefined : { kind: 'spent' }
  if (owner.attempt === claim.attempt && result === undefined) return { kind: 'won' }
  const ownerResult = call.results.get(owner.attempt)
  return { kind: 'taken', owner, state: ownerResult === 'ran' || ownerResult === 'unknown' ? ownerResult : 'held' }
}
