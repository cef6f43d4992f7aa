/** Sends close records to holders and resends them until the log holds them or their keys have expired. */
import type { ClaimsDb, PendingClose } from './claimsDb.js'
import type { Close } from './claimsMessages.js'
import { closeRetryInterval } from './claimsTimes.js'

/** Sends and resends close records. */
export interface CloseRecorder {
  /** Sends a close record and keeps it until it is confirmed. */
  readonly record: (close: Close, keyTime: number, now: number) => void
  /** Resends the unconfirmed close records that were last sent at least `closeRetryInterval` ago. */
  readonly resendDue: (now: number) => void
}

/** Sends a close record to a holder; `tries` is the number of earlier sends. */
export type SendClose = (close: Close, tries: number, now: number) => void

/**
 * Creates a close recorder.
 *
 * @param db - stores the unconfirmed close records
 * @param send - sends a close record to the holder selected by `tries`
 * @returns the recorder
 */
export const createCloseRecorder = (db: ClaimsDb, send: SendClose): CloseRecorder => {
  const sendPending = (pending: PendingClose, now: number): void => {
    const { tries } = pending
    pending.sentAt = now
    pending.tries++
    send(pending.close, tries, now)
  }

  const record = (close: Close, keyTime: number, now: number): void => {
    const pending: PendingClose = { close, keyTime, sentAt: now, tries: 0 }
    db.pendingCloses.set(close.attempt, pending)
    sendPending(pending, now)
  }

  const resendDue = (now: number): void => {
    for (const pending of db.pendingCloses.values()) if (now - pending.sentAt >= closeRetryInterval) sendPending(pending, now)
  }

  return { record, resendDue }
}
