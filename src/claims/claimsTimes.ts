/** Intervals and patience of claims, and their bounds. */

/** Time in ms after which another holder is asked. */
export const holderPatience = 500

/** Time in ms after which a holder tells a claimant that its claim still waits. */
export const queuedNotice = 200

/** Time in ms after which a claim without a verdict is given up. */
export const claimPatience = 3_000

/** Time in ms for which a claimant is waited for. */
export const lookupPatience = 500

/** Time in ms between two tries to record the end of an attempt. */
export const closeInterval = 3_000

/** Time in ms after its deadline at which a dispatched call without an end counts as unknown. */
export const dispatchLimit = 600_000

/** Time in ms after which a refused attempt may come back; up to as much again is added at random. */
export const retryBase = 500

/** Time in ms for which an instance refuses at once after a holder found the log unavailable. */
export const logDownFor = 1_000

/** Time in ms between two sweeps of expired state. */
export const sweepInterval = 1_000

/** Attempts of an instance that are under way, ended or not yet recorded. */
export const mostAttempts = 65_536

/** Calls in the state of one partition. */
export const mostCalls = 65_536

/** Bytes of answers kept for repeats. */
export const defaultAnswerBytes = 4_194_304

/** Least time between two appends of a partition, in ms. */
export const appendGap = 200

/** Longest time in ms for which the end of a call waits for claims to share an append with. */
export const closeDelay = 1_000

/** Time in ms after which an unanswered operation of the log counts as failed. */
export const logPatience = 2_000

/** Time in ms for which a holder refuses claims at once after the log failed. */
export const logPause = 1_000

/** Time in ms without use after which a partition's state is dropped. */
export const partitionIdle = 60_000

/** Time in ms between two sweeps of a partition. */
export const foldSweepInterval = 10_000

/** Claims, and ends of calls, that wait at a partition. */
export const longestQueue = 4_096

/** Claims and ends in one append. */
export const longestBatch = 128

/** Appends in one read. */
export const longestPage = 64

/** Appends of one claim by one holder. */
export const appendTries = 2
