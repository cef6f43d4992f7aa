/** Timeouts, intervals and size limits of claims. */

/** Time in ms without a reply after which a claim is sent to the next holder. */
export const holderTimeout = 500

/** Interval in ms at which a holder notifies a claimant that its claim is still queued. */
export const queuedNoticeInterval = 200

/** Time in ms without a verdict after which an attempt is given up. */
export const claimTimeout = 3_000

/** Time in ms to wait for a claimant's answer to a lookup. */
export const lookupTimeout = 500

/** Interval in ms at which an unconfirmed close record is resent. */
export const closeRetryInterval = 3_000

/** Time in ms after the deadline at which a dispatched attempt without an outcome is settled as unknown. */
export const settleTimeout = 600_000

/** Base delay in ms after which a refused caller may retry; a random jitter of up to the same amount is added. */
export const retryAfterBase = 500

/** Time in ms for which an instance refuses the calls of a partition immediately after its holder reported the log as unavailable. */
export const logUnavailableBackoff = 1_000

/** Interval in ms at which an instance removes expired attempts from memory and resends the close records that are due. */
export const sweepInterval = 1_000

/** Greatest number of an instance's attempts in progress, ended attempts and unconfirmed close records together. */
export const maxAttempts = 65_536

/** Greatest number of calls in the state of one partition. */
export const maxCalls = 65_536

/** Default for the greatest total size in bytes of the answers cached for duplicates. */
export const defaultAnswerBytes = 4_194_304

/** Shortest time in ms between two appends of a partition. */
export const minAppendInterval = 200

/** Longest time in ms for which a close record waits to be batched with claims; `notRun` records do not wait. */
export const maxCloseDelay = 1_000

/** Time in ms after which an unanswered log operation is treated as failed. */
export const logTimeout = 2_000

/** Time in ms for which a holder refuses claims immediately after a read failed or returned none of the outstanding records. */
export const logFailureBackoff = 1_000

/** Time in ms without a claim or close record after which a partition's state is dropped. */
export const partitionIdleTimeout = 60_000

/** Interval in ms at which a partition removes calls with expired keys. */
export const foldSweepInterval = 10_000

/** Greatest number of claims queued at a partition; the same limit applies to its queued close records. */
export const maxQueueLength = 4_096

/** Greatest number of claims and close records in one append. */
export const maxBatchLength = 128

/** Greatest number of log records in one read. */
export const maxReadLength = 64

/** Greatest number of appends of one claim by one holder. */
export const maxAppendTries = 2
