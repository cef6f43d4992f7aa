/** Decisions that an instance makes from its own memory and clock, without reading the log. */
import type { ClaimsDb } from './claimsDb.js'
import { keyTime } from './claimsKey.js'
import { callName } from './claimsMessages.js'
import type { Claim, Finding } from './claimsMessages.js'
import type { BeginInput, Refusal } from './claimsTypes.js'

/**
 * Refuses an attempt of a call that this instance is running or has run.
 *
 * @param db - the instance's attempts
 * @param input - the duplicate attempt
 * @param retryAfter - ms after which the caller should retry while the call is in progress
 * @returns the refusal, or undefined if this instance has no record of the call
 */
export const refusalFromMemory = (db: ClaimsDb, input: BeginInput, retryAfter: number): Refusal | undefined => {
  const name = callName(input)
  const running = db.byCallName.get(name)
  const ended = db.ended.get(name)
  const knownFingerprint = running?.claim.fingerprint ?? ended?.fingerprint
  if (knownFingerprint !== undefined && knownFingerprint !== input.fingerprint) return { kind: 'fingerprintMismatch' }
  if (running !== undefined) return { kind: 'inProgress', retryAfter }
  if (ended === undefined) return undefined
  return ended.outcome === 'ran' ? { kind: 'ran', answer: db.answers.get(name) } : { kind: 'unknown', reason: 'answerLost' }
}

/**
 * Finds the state of an attempt of this incarnation. Every dispatched attempt
 * is either in progress or listed among the ended ones until its key has
 * expired, so an attempt in neither list was not dispatched and never will be.
 *
 * @param db - the instance's attempts
 * @param claim - a claim of this incarnation, whose key has not expired
 * @returns the finding to send to the instance that looked the attempt up
 */
export const findingFromMemory = (db: ClaimsDb, claim: Claim): Finding => {
  const name = callName(claim)
  const ended = db.ended.get(name)
  if (db.byAttempt.has(claim.attempt)) return { kind: 'running' }
  if (ended?.attempt !== claim.attempt) return { kind: 'neverRun' }
  return ended.outcome === 'ran' ? { kind: 'ran', answer: db.answers.get(name) } : { kind: 'unknown' }
}

/** Limits on the time in an idempotency key. */
export interface KeyBounds {
  /** Age in ms at which a key is no longer accepted. */
  readonly window: number
  /** Greatest difference between any two clocks, in ms. */
  readonly skew: number
}

/**
 * Refuses an attempt whose key is malformed, too old or too far in the future,
 * or whose deadline has passed.
 *
 * @param input - the attempt
 * @param bounds - limits on the key's time
 * @param now - in ms
 * @returns the refusal, or undefined if the attempt may be claimed
 */
export const refusalByTime = ({ key, deadline }: BeginInput, { window, skew }: KeyBounds, now: number): Refusal | undefined => {
  const time = keyTime(key)
  if (time === undefined) return { kind: 'notRun', reason: 'keyMalformed', scope: 'call' }
  if (now - time > window) return { kind: 'unknown', reason: 'keyExpired' }
  if (time - now > skew) return { kind: 'notRun', reason: 'keyAhead', scope: 'attempt', retryAfter: time - now - skew }
  if (now >= deadline) return { kind: 'notRun', reason: 'deadlinePassed', scope: 'attempt' }
  return undefined
}
