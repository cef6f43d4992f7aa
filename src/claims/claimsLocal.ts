/** What an instance can say of a call from its own memory, without the log. */
import type { ClaimsDb } from './claimsDb.js'
import { callName } from './claimsMessages.js'
import type { Attempt, Finding } from './claimsMessages.js'
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
  const running = db.byName.get(name)
  const ended = db.ended.get(name)
  const first = running?.claim.fingerprint ?? ended?.fingerprint
  if (first !== undefined && first !== input.fingerprint) return { kind: 'fingerprintMismatch' }
  if (running !== undefined) return { kind: 'inProgress', retryAfter }
  if (ended === undefined) return undefined
  return ended.outcome === 'ran' ? { kind: 'ran', answer: db.answers.get(name) } : { kind: 'unknown', reason: 'answerLost' }
}

/**
 * What became of an attempt of this incarnation. Every dispatched attempt is
 * under way or listed among the ended ones until its key has expired, so that
 * one which is neither has not been dispatched, and without its nonce never is.
 *
 * @param db - the instance's attempts
 * @param attempt - an attempt of this incarnation, whose key has not expired
 */
export const findingFromMemory = (db: ClaimsDb, attempt: Attempt): Finding => {
  const name = callName(attempt)
  const ended = db.ended.get(name)
  if (db.byNonce.has(attempt.nonce)) return { kind: 'running' }
  if (ended?.nonce !== attempt.nonce) return { kind: 'neverRun' }
  return ended.outcome === 'ran' ? { kind: 'ran', answer: db.answers.get(name) } : { kind: 'unknown' }
}
