/** The size of the system that wasabireel is designed for, and the budget of the control plane on one node. */

/** Size and load of the whole system. Rates are per second unless the name says otherwise. */
export const designSize = {
  nodes: 320,
  workers: 600,
  requestsPerSecond: 7_100,
  tokensPerSecond: 2_600_000,
  /** Cached blocks of all workers. */
  blocks: 56_000_000,
  /** Cache events of all workers. */
  eventsPerSecond: 580_000,
  workspaces: 890,
  /** Changes of the configuration. */
  changesPerDay: 1_700,
  failuresPerDay: 7,
  restartsPerDay: 140
} as const

/** Maximum cost of the control plane on one node. */
export const nodeBudget = {
  /** Processor time in microseconds per second: 1.2% of a core. */
  processor: 12_000,
  /** Memory in bytes. */
  memory: 64 * 1024 * 1024,
  /** Bytes per second, sent and received together. */
  bytes: 23_000,
  /** Time until a configuration change is in force on all nodes, in ms. */
  propagation: 4_000
} as const

/** Share of the requests that are non-idempotent calls. */
export const claimedShare = 0.05
/** Instances that serve one workspace, as in the default settings. */
export const entriesPerWorkspace = 3
export const secondsPerDay = 86_400
