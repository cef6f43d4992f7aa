/** Intervals and patience of claims, and their bounds. */

/** Time in ms after which another holder is asked. */
export const holderTimeout = 500

/** Time in ms after which a holder tells a claimant that its claim still waits. */
export const queuedNoticeInterval = 200

/** Time in ms after which a claim without a verdict is given up. */
export const claimTimeout = 3_000

/** Time in ms for which a claimant is waited for. */
export const lookupTimeout = 500

/** Time in ms between two tries to record the end of an attempt. */
export const closeRetryInterval = 3_000

/** Time in ms after its deadline at which a dispatched call without an end counts as unknown. */
export const settleTimeout = 600_000

/** Time in ms after which a refused attempt may come back; up to as much again is added at random. */
export const retryAfterBase = 500

/** Time in ms for which an instance refuses at once after a holder found the log unavailable. */
export const logUnavailableBackoff = 1_000

/** Time in ms between two sweeps of expired state. */
export const sweepInterval = 1_000

/** Attempts of an instance that are under way, ended or not yet recorded. */
export const maxAttempts = 65_536

/** Calls in the state of one partition. */
export const maxCalls = 65_536

/** Bytes of answers kept for repeats. */
export const defaultAnswerBytes = 4_194_304

/** Least time between two appends of a partition, in ms. */
export const minAppendInterval = 200

/** Longest time in ms for which the end of a call waits for claims to share an append with. */
export const maxCloseDelay = 1_000

/** Time in ms after which an unanswered operation of the log counts as failed. */
export const logTimeout = 2_000

/** Time in ms for which a holder refuses claims at once after the log failed. */
export const logFailureBackoff = 1_000

/** Time in ms without use after which a partition's state is dropped. */
export const partitionIdleTimeout = 60_000

/** Time in ms between two sweeps of a partition. */
export const foldSweepInterval = 10_000

/** Claims, and ends of calls, that wait at a partition. */
export const maxQueueLength = 4_096

/** Claims and ends in one append. */
export const maxBatchLength = 128

/** Appends in one read. */
export const maxReadLength = 64

/** Appends of one claim by one holder. */
export const maxAppendTries = 2
