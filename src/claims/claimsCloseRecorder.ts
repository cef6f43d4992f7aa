/** Sees to it that the end of each attempt is recorded, or its key expired. */
import type { ClaimsDb, PendingClose } from './claimsDb.js'
import type { Close } from './claimsMessages.js'
import { closeRetryInterval } from './claimsTimes.js'

/** Records ends of attempts. */
export interface CloseRecorder {
  readonly record: (close: Close, keyTime: number, now: number) => void
  /** Repeats what has not been confirmed. */
  readonly resendDue: (now: number) => void
}

/** How a close reaches a holder. */
export type SendClose = (close: Close, tries: number, now: number) => void

/**
 * Creates a recorder.
 *
 * @param db - keeps what is not yet recorded
 * @param send - sends to the holder that `tries` selects
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
