/**
 * What an instance knows of its own attempts: those under way, those that
 * ended, the answers kept for repeats, and ends that the log has not yet got.
 */
import { LRUCache } from 'lru-cache'
import type { Answer, Claim, Close } from './claimsMessages.js'

/** How far an attempt is. */
export type AttemptPhase =
  /** The claim is with a holder; `tries` counts the holders asked. */
  | { readonly kind: 'claiming', readonly holder: string, readonly sentAt: number, readonly tries: number }
  /** Another attempt owns the call; its claimant is asked for the answer. */
  | { readonly kind: 'asking', readonly owner: Claim, readonly recorded: 'held' | 'ran', readonly sentAt: number }
  | { readonly kind: 'granted' }
  | { readonly kind: 'dispatched' }

/** An attempt under way at this instance. */
export interface LocalAttempt {
  readonly request: number
  readonly claim: Claim
  readonly name: string
  readonly keyTime: number
  readonly begunAt: number
  phase: AttemptPhase
}

/** The end of a dispatched attempt of this instance. */
export interface EndedAttempt {
  readonly attempt: string
  readonly fingerprint: string
  readonly keyTime: number
  readonly outcome: 'ran' | 'unknown'
}

/** An end that the log is not yet known to hold. */
export interface PendingClose {
  readonly close: Close
  readonly keyTime: number
  sentAt: number
  tries: number
}

/** An instance's own attempts. */
export interface ClaimsDb {
  readonly byRequest: Map<number, LocalAttempt>
  readonly byCallName: Map<string, LocalAttempt>
  readonly byAttempt: Map<string, LocalAttempt>
  readonly ended: Map<string, EndedAttempt>
  readonly answers: LRUCache<string, Answer>
  /** By attempt. */
  readonly pendingCloses: Map<string, PendingClose>
}

const entryOverhead = 256

const sizeOf = ({ headers, body }: Answer): number =>
  Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + value.length, entryOverhead + body.byteLength)

/**
 * Creates an empty state.
 *
 * @param answerBytes - bytes of answers to keep
 */
export const createClaimsDb = (answerBytes: number): ClaimsDb => ({
  byRequest: new Map(),
  byCallName: new Map(),
  byAttempt: new Map(),
  ended: new Map(),
  answers: new LRUCache<string, Answer>({ maxSize: answerBytes, sizeCalculation: sizeOf }),
  pendingCloses: new Map()
})

/**
 * Adds an attempt.
 *
 * @param db - the state
 * @param attempt - the only one of its call at this instance
 */
export const addAttempt = (db: ClaimsDb, attempt: LocalAttempt): void => {
  db.byRequest.set(attempt.request, attempt)
  db.byCallName.set(attempt.name, attempt)
  db.byAttempt.set(attempt.claim.attempt, attempt)
}

/**
 * Removes an attempt; it can never be granted from then on.
 *
 * @param db - the state
 * @param attempt - the attempt
 */
export const removeAttempt = (db: ClaimsDb, attempt: LocalAttempt): void => {
  db.byRequest.delete(attempt.request)
  db.byCallName.delete(attempt.name)
  db.byAttempt.delete(attempt.claim.attempt)
}

/**
 * Forgets ended calls and unrecorded ends whose keys have expired.
 *
 * @param db - the state
 * @param oldest - time in ms of the oldest key to keep
 */
export const sweepClaimsDb = (db: ClaimsDb, oldest: number): void => {
  for (const [name, ended] of db.ended) {
    if (ended.keyTime >= oldest) continue
    db.ended.delete(name)
    db.answers.delete(name)
  }
  for (const [attempt, pending] of db.pendingCloses) if (pending.keyTime < oldest) db.pendingCloses.delete(attempt)
}

/**
 * The end of an attempt, as the log records it.
 *
 * @param claim - the attempt's claim
 * @param outcome - how it ended
 */
export const createClose = ({ workspace, key, attempt }: Claim, outcome: Close['outcome']): Close =>
  ({ kind: 'close', workspace, key, attempt, outcome })
