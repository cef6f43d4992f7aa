/** What an instance can say of a call by itself, without the log. */
import type { ClaimsDb } from './claimsDb.js'
import { keyTime } from './claimsKey.js'
import { callName } from './claimsMessages.js'
import type { Claim, Finding } from './claimsMessages.js'
import type { BeginInput, Refusal } from './claimsTypes.js'

/**
 * The refusal of a repeat of a call that this instance runs or has run.
 *
 * @param db - the instance's attempts
 * @param input - the repeat
 * @param retryAfter - ms until the running call may have ended
 * @returns undefined if nothing is known of the call here
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
 * What became of an attempt of this incarnation. Every dispatched attempt is
 * under way or listed among the ended ones until its key has expired, so that
 * one which is neither has not been dispatched and never will be.
 *
 * @param db - the instance's attempts
 * @param claim - a claim of this incarnation, whose key has not expired
 */
export const findingFromMemory = (db: ClaimsDb, claim: Claim): Finding => {
  const name = callName(claim)
  const ended = db.ended.get(name)
  if (db.byAttempt.has(claim.attempt)) return { kind: 'running' }
  if (ended?.attempt !== claim.attempt) return { kind: 'neverRun' }
  return ended.outcome === 'ran' ? { kind: 'ran', answer: db.answers.get(name) } : { kind: 'unknown' }
}

/** Bounds of time for keys. */
export interface KeyBounds {
  /** Age in ms at which a key is no longer accepted. */
  readonly window: number
  /** Greatest difference between clocks, in ms. */
  readonly skew: number
}

/**
 * The refusal of an attempt whose key or deadline admits no claim.
 *
 * @param input - the attempt
 * @param bounds - of the key's time
 * @param now - in ms
 * @returns undefined if the attempt may be claimed
 */
export const refusalByTime = ({ key, deadline }: BeginInput, { window, skew }: KeyBounds, now: number): Refusal | undefined => {
  const time = keyTime(key)
  if (time === undefined) return { kind: 'notRun', reason: 'keyMalformed', scope: 'call' }
  if (now - time > window) return { kind: 'unknown', reason: 'keyExpired' }
  if (time - now > skew) return { kind: 'notRun', reason: 'keyAhead', scope: 'attempt', retryAfter: time - now - skew }
  if (now >= deadline) return { kind: 'notRun', reason: 'deadlinePassed', scope: 'attempt' }
  return undefined
}
