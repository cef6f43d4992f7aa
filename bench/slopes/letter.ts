/** The size to design for and the budget of one node. */

/** The whole system. */
export const letter = {
  nodes: 320,
  workers: 600,
  requestsPerSecond: 7_100,
  tokensPerSecond: 2_600_000,
  blocks: 56_000_000,
  eventsPerSecond: 580_000,
  workspaces: 890,
  changesPerDay: 1_700,
  failuresPerDay: 7,
  restartsPerDay: 140
} as const

/** What control may cost one node. */
export const budget = {
  /** Microseconds of processor time in a second: 1.2% of a core. */
  processor: 12_000,
  /** Bytes of memory. */
  memory: 64 * 1024 * 1024,
  /** Bytes a second, sent and received together. */
  bytes: 23_000,
  /** Milliseconds until a change is in force everywhere. */
  force: 4_000
} as const

/** Calls that may not be repeated, as a part of all requests. */
export const claimedPart = 0.05
/** Instances that serve one workspace, by the settings' default. */
export const entriesPerWorkspace = 3
export const secondsPerDay = 86_400
