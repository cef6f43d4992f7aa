/**
 * Decides which coordinators an instance asks. One that was killed, is frozen or is
 * cut off stays a member of the fleet for up to seconds, and each question that it
 * does not answer costs its request the whole time limit, so it is left out after
 * two failures and then asked by one request a second until it answers.
 */

/** The coordinators that an instance asks; times in ms. */
export interface CoordinatorTrust {
  /** Whether a coordinator may be asked now; for one that failed, the permission is used by the question. */
  readonly mayAsk: (coordinator: string, now: number) => boolean
  readonly noteAnswer: (coordinator: string) => void
  readonly noteFailure: (coordinator: string, now: number) => void
  /** Number of coordinators that are left out. */
  readonly avoided: () => number
}

/** A log event about a coordinator. */
export type CoordinatorLogEvent =
  /** The coordinator did not answer and is not asked for a time. */
  | { readonly kind: 'coordinatorAvoided', readonly coordinator: string, /** Failures since its last answer. */ readonly failures: number }
  /** The coordinator answers again. */
  | { readonly kind: 'coordinatorUsed', readonly coordinator: string }

/** Failures in sequence after which a coordinator is left out. */
const maxFailures = 2
/** Time for which it is left out, in ms. */
const avoidTime = 1_000
/** Number of coordinators whose failures are remembered. */
const maxRemembered = 1_000

/**
 * Creates the record of an instance that has asked no coordinator.
 *
 * @param log - writes a log event
 */
export const createCoordinatorTrust = (log: (event: CoordinatorLogEvent) => void): CoordinatorTrust => {
  const failed = new Map<string, { failures: number, avoidedUntil: number }>()

  const mayAsk = (coordinator: string, now: number): boolean => {
    const record = failed.get(coordinator)
    if (record === undefined || record.failures < maxFailures) return true
    if (now < record.avoidedUntil) return false
    record.avoidedUntil = now + avoidTime
    return true
  }

  const noteAnswer = (coordinator: string): void => {
    const record = failed.get(coordinator)
    if (record === undefined) return
    failed.delete(coordinator)
    if (record.failures >= maxFailures) log({ kind: 'coordinatorUsed', coordinator })
  }

  const noteFailure = (coordinator: string, now: number): void => {
    if (failed.size >= maxRemembered) failed.clear()
    const record = failed.get(coordinator) ?? { failures: 0, avoidedUntil: -Infinity }
    failed.set(coordinator, record)
    record.failures++
    if (record.failures !== maxFailures) return
    record.avoidedUntil = now + avoidTime
    log({ kind: 'coordinatorAvoided', coordinator, failures: record.failures })
  }

  return {
    mayAsk,
    noteAnswer,
    noteFailure,
    avoided: () => [...failed.values()].filter(({ failures }) => failures >= maxFailures).length
  }
}
