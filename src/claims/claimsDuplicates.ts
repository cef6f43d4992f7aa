/**
 * Attempts of a call that another attempt owns: what the log says of the owner,
 * and what its claimant answers when it is asked.
 */
import { createClose } from './claimsDb.js'
import type { ClaimsDb, LocalAttempt, AttemptPhase } from './claimsDb.js'
import { keyTime } from './claimsKey.js'
import { findingFromMemory } from './claimsLocal.js'
import type { Claim, ClaimsMessage, Close, Finding, Owner } from './claimsMessages.js'
import type { ClaimsInstance, Refusal } from './claimsTypes.js'
import { assertNever } from '../errors.js'

/** What repeats need of the instance. */
export interface DuplicateHandlerOptions {
  readonly db: ClaimsDb
  readonly self: string
  readonly incarnation: string
  /** Age in ms at which a key is no longer accepted. */
  readonly window: number
  readonly find: (id: string) => ClaimsInstance | undefined
  readonly send: (to: string, message: ClaimsMessage, now: number) => void
  /** Ends an attempt with a refusal. */
  readonly end: (attempt: LocalAttempt, refusal: Refusal) => void
  readonly record: (close: Close, keyTime: number, now: number) => void
  /** Ms after which a repeat makes sense. */
  readonly retryAfter: () => number
}

/** Handles attempts that do not own their call. */
export interface DuplicateHandler {
  /** The log says that another attempt owns the call. */
  readonly taken: (attempt: LocalAttempt, owner: Owner, state: 'held' | 'ran' | 'unknown', now: number) => void
  /** Another instance asks about an attempt of this one. */
  readonly findingOn: (owner: Claim, now: number) => Finding
  /** The owner's claimant answers. */
  readonly found: (asker: string, owner: string, finding: Finding) => void
  /** The owner's claimant does not answer: only what the log says is left. */
  readonly lookupFailed: (attempt: LocalAttempt, phase: AttemptPhase & { kind: 'asking' }, now: number) => void
}

/**
 * Creates the handling of repeats.
 *
 * @param options - state and acts of the instance
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
