/**
 * In-memory state of an instance's own attempts: attempts in progress, ended
 * attempts, answers cached for duplicates, and close records that the log is
 * not yet known to hold.
 */
import { LRUCache } from 'lru-cache'
import type { Answer, Claim, Close } from './claimsMessages.js'

/** The phase of an attempt in progress. */
export type AttemptPhase =
  /** The claim has been sent to `holder`; `tries` is the number of earlier sends. */
  | { readonly kind: 'claiming', readonly holder: string, readonly sentAt: number, readonly tries: number }
  /** Another attempt owns the call; a lookup has been sent to its claimant. `recorded` is the owner's state on the log. */
  | { readonly kind: 'asking', readonly owner: Claim, readonly recorded: 'held' | 'ran', readonly sentAt: number }
  /** The attempt owns the call and has not been dispatched. */
  | { readonly kind: 'granted' }
  /** The request is being sent, or its answer is awaited. */
  | { readonly kind: 'dispatched' }

/** An attempt in progress at this instance. */
export interface LocalAttempt {
  readonly request: number
  readonly claim: Claim
  /** The call's name, see `callName`. */
  readonly name: string
  /** Time in the idempotency key, in ms. */
  readonly keyTime: number
  /** Start of the attempt, in ms. */
  readonly begunAt: number
  phase: AttemptPhase
}

/** A dispatched attempt of this instance that has ended. */
export interface EndedAttempt {
  readonly attempt: string
  readonly fingerprint: string
  readonly keyTime: number
  readonly outcome: 'ran' | 'unknown'
}

/** A close record that the log is not yet known to hold. */
export interface PendingClose {
  readonly close: Close
  readonly keyTime: number
  /** Time of the last send, in ms. */
  sentAt: number
  /** Number of sends so far. */
  tries: number
}

/** Indexes of an instance's own attempts, and its cached answers. */
export interface ClaimsDb {
  readonly byRequest: Map<number, LocalAttempt>
  readonly byCallName: Map<string, LocalAttempt>
  readonly byAttempt: Map<string, LocalAttempt>
  /** By call name. */
  readonly ended: Map<string, EndedAttempt>
  /** By call name. */
  readonly answers: LRUCache<string, Answer>
  /** By attempt id. */
  readonly pendingCloses: Map<string, PendingClose>
}

/** Bytes counted for each cached answer in addition to its headers and body. */
const entryOverhead = 256

const answerSize = ({ headers, body }: Answer): number =>
  Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + value.length, entryOverhead + body.byteLength)

/**
 * Creates an empty state.
 *
 * @param answerBytes - greatest total size in bytes of the cached answers
 * @returns the state
 */
export const createClaimsDb = (answerBytes: number): ClaimsDb => ({
  byRequest: new Map(),
  byCallName: new Map(),
  byAttempt: new Map(),
  ended: new Map(),
  answers: new LRUCache<string, Answer>({ maxSize: answerBytes, sizeCalculation: answerSize }),
  pendingCloses: new Map()
})

/**
 * Adds an attempt to all indexes.
 *
 * @param db - the state
 * @param attempt - the only attempt of its call in progress at this instance
 */
export const addAttempt = (db: ClaimsDb, attempt: LocalAttempt): void => {
  db.byRequest.set(attempt.request, attempt)
  db.byCallName.set(attempt.name, attempt)
  db.byAttempt.set(attempt.claim.attempt, attempt)
}

/**
 * Removes an attempt from all indexes. A removed attempt can no longer be granted.
 *
 * @param db - the state
 * @param attempt - the attempt in progress
 */
export const removeAttempt = (db: ClaimsDb, attempt: LocalAttempt): void => {
  db.byRequest.delete(attempt.request)
  db.byCallName.delete(attempt.name)
  db.byAttempt.delete(attempt.claim.attempt)
}

/**
 * Drops ended attempts, their answers and pending close records whose keys have expired.
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
 * Creates the close record of an attempt.
 *
 * @param claim - the attempt's claim
 * @param outcome - how the attempt ended
 * @returns the record to append to the log
 */
export const createClose = ({ workspace, key, attempt }: Claim, outcome: Close['outcome']): Close =>
  ({ kind: 'close', workspace, key, attempt, outcome })
