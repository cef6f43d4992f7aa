/**
 * Resolves duplicates: attempts of a call that another attempt owns. Their
 * refusal depends on the owner's state on the log and on the answer of the
 * owner's claimant to a lookup.
 */
import { createClose } from './claimsDb.js'
import type { ClaimsDb, LocalAttempt, AttemptPhase } from './claimsDb.js'
import { keyTime } from './claimsKey.js'
import { findingFromMemory } from './claimsLocal.js'
import type { Claim, ClaimsMessage, Close, Finding, Owner } from './claimsMessages.js'
import type { ClaimsInstance, Refusal } from './claimsTypes.js'
import { assertNever } from '../errors.js'

/** State and functions of the instance that the duplicate handler uses. */
export interface DuplicateHandlerOptions {
  readonly db: ClaimsDb
  readonly self: string
  readonly incarnation: string
  /** Age in ms at which a key is no longer accepted. */
  readonly window: number
  /** Finds an instance in the current membership. */
  readonly find: (id: string) => ClaimsInstance | undefined
  readonly send: (to: string, message: ClaimsMessage, now: number) => void
  /** Removes an attempt and refuses it. */
  readonly end: (attempt: LocalAttempt, refusal: Refusal) => void
  /** Sends a close record until the log holds it. */
  readonly record: (close: Close, keyTime: number, now: number) => void
  /** Returns the delay in ms after which the caller should retry. */
  readonly retryAfter: () => number
}

/** Handles attempts that do not own their call, and lookups from other instances. */
export interface DuplicateHandler {
  /** Handles the verdict that another attempt owns the call; `state` is the owner's state on the log. */
  readonly taken: (attempt: LocalAttempt, owner: Owner, state: 'held' | 'ran' | 'unknown', now: number) => void
  /** Answers a lookup of an attempt of this instance. */
  readonly findingOn: (owner: Claim, now: number) => Finding
  /** Handles the answer to a lookup. */
  readonly found: (asker: string, owner: string, finding: Finding) => void
  /** Refuses an attempt whose lookup got no answer, using only the owner's recorded state and deadline. */
  readonly lookupFailed: (attempt: LocalAttempt, phase: AttemptPhase & { kind: 'asking' }, now: number) => void
}

/**
 * Creates a duplicate handler.
 *
 * @param options - state and functions of the instance
 * @returns the handler
 */
export const createDuplicateHandler = (options: DuplicateHandlerOptions): DuplicateHandler => {
  const { db, self, incarnation, window, find, send, end, record, retryAfter } = options

  const taken = (attempt: LocalAttempt, owner: Owner, state: 'held' | 'ran' | 'unknown', now: number): void => {
    if (owner.kind === 'close') return end(attempt, state === 'ran' ? { kind: 'ran' } : { kind: 'unknown', reason: 'answerLost' })
    if (owner.fingerprint !== attempt.claim.fingerprint) return end(attempt, { kind: 'fingerprintMismatch' })
    if (state === 'unknown') return end(attempt, { kind: 'unknown', reason: 'answerLost' })
    const isClaimantGone = owner.claimant !== self && find(owner.claimant)?.incarnation !== owner.incarnation
    if (isClaimantGone && state === 'ran') return end(attempt, { kind: 'ran' })
    if (isClaimantGone) return end(attempt, { kind: 'unknown', reason: 'answerLost' })
    attempt.phase = { kind: 'asking', owner, recorded: state, sentAt: now }
    send(owner.claimant, { kind: 'claims.lookup', owner, asker: attempt.claim.attempt }, now)
  }

  const findingOn = (owner: Claim, now: number): Finding => {
    const time = keyTime(owner.key)
    const isOwn = owner.claimant === self && owner.incarnation === incarnation
    if (!isOwn || time === undefined || now - time > window) return { kind: 'unknown' }
    const finding = findingFromMemory(db, owner)
    const needsClose = finding.kind === 'neverRun' && !db.pendingCloses.has(owner.attempt)
    if (needsClose) record(createClose(owner, 'notRun'), time, now)
    return finding
  }

  const found = (asker: string, owner: string, finding: Finding): void => {
    const attempt = db.byAttempt.get(asker)
    if (attempt?.phase.kind !== 'asking' || attempt.phase.owner.attempt !== owner) return
    if (finding.kind === 'ran') return end(attempt, finding)
    if (attempt.phase.recorded === 'ran') return end(attempt, { kind: 'ran' })
    switch (finding.kind) {
      case 'running': return end(attempt, { kind: 'inProgress', retryAfter: retryAfter() })
      case 'unknown': return end(attempt, { kind: 'unknown', reason: 'answerLost' })
      case 'neverRun': return end(attempt, { kind: 'notRun', reason: 'superseded', scope: 'attempt', retryAfter: retryAfter() })
      default: return assertNever(finding)
    }
  }

  const lookupFailed = (attempt: LocalAttempt, { owner, recorded }: AttemptPhase & { kind: 'asking' }, now: number): void => {
    const mayStillRun = now < owner.deadline
    if (recorded === 'ran') return end(attempt, { kind: 'ran' })
    end(attempt, mayStillRun ? { kind: 'inProgress', retryAfter: retryAfter() } : { kind: 'unknown', reason: 'answerLost' })
  }

  return { taken, findingOn, found, lookupFailed }
}
