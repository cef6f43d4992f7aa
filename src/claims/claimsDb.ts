/**
 * What an instance knows of its own attempts: those under way, those that
 * ended, the answers kept for repeats, and ends that the log has not yet got.
 */
import { LRUCache } from 'lru-cache'
import { attemptId, attemptOf, callName } from './claimsMessages.js'
import type { Answer, Attempt, Claim, Close, Owner } from './claimsMessages.js'

/** How far an attempt is. */
export type Phase =
  /** The claim is with a holder; `tries` counts the holders asked. */
  | { readonly kind: 'claiming', readonly holder: string, readonly sentAt: number, readonly tries: number }
  /** Another attempt owns the call; its claimant is asked for the answer. */
  | { readonly kind: 'asking', readonly owner: Owner, readonly recorded: 'held' | 'ran', readonly sentAt: number }
  | { readonly kind: 'granted' }
  | { readonly kind: 'dispatched' }

/** An attempt under way at this instance. */
export interface LocalAttempt {
  readonly request: number
  readonly claim: Claim
  readonly name: string
  readonly keyTime: number
  readonly begunAt: number
  phase: Phase
}

/** The end of a dispatched attempt of this instance. */
export interface Ended {
  readonly nonce: string
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
  readonly byName: Map<string, LocalAttempt>
  readonly byNonce: Map<string, LocalAttempt>
  readonly ended: Map<string, Ended>
  readonly answers: LRUCache<string, Answer>
  /** By nonce. */
  readonly pendingCloses: Map<string, PendingClose>
}

const bytesPerEntry = 256

const sizeOf = ({ headers, body }: Answer): number =>
  Object.entries(headers).reduce((sum, [name, value]) => sum + name.length + value.length, bytesPerEntry + body.byteLength)

/**
 * Creates an empty state.
 *
 * @param answerBytes - bytes of answers to keep
 */
export const createClaimsDb = (answerBytes: number): ClaimsDb => ({
  byRequest: new Map(),
  byName: new Map(),
  byNonce: new Map(),
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
  db.byName.set(attempt.name, attempt)
  db.byNonce.set(attempt.claim.nonce, attempt)
}

/**
 * Removes an attempt; its nonce can never be granted from then on.
 *
 * @param db - the state
 * @param attempt - the attempt
 */
export const removeAttempt = (db: ClaimsDb, attempt: LocalAttempt): void => {
  db.byRequest.delete(attempt.request)
  db.byName.delete(attempt.name)
  db.byNonce.delete(attempt.claim.nonce)
}

/**
 * The attempt under way here that a message names, if any.
 *
 * @param db - the state
 * @param named - the message's attempt
 */
export const findAttempt = (db: ClaimsDb, named: Attempt): LocalAttempt | undefined => {
  const attempt = db.byNonce.get(named.nonce)
  if (attempt === undefined) return undefined
  const { claim, name } = attempt
  return attemptId(claim) === attemptId(named) && name === callName(named) ? attempt : undefined
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
  for (const [nonce, pending] of db.pendingCloses) if (pending.keyTime < oldest) db.pendingCloses.delete(nonce)
}

/**
 * The end of an attempt, as the log records it.
 *
 * @param claim - what names the attempt
 * @param outcome - how it ended
 */
export const closeOf = (claim: Attempt, outcome: Close['outcome']): Close => ({
  kind: 'close',
  ...attemptOf(claim),
  outcome
})
