/** The state of one workspace at one instance. */
import type { TokenBucket } from './tokenBucket.js'
import { createTokenBucket } from './tokenBucket.js'
import type { AdmissionRequest, LimitsOptions, WorkspaceSummary } from './limitsTypes.js'
import { limitWindow } from './limitsTypes.js'
import type { RetryBudget } from './retryBudget.js'
import { createRetryBudget } from './retryBudget.js'
import type { ShareLedger } from './shareLedger.js'
import { createShareLedger } from './shareLedger.js'

/** The state of one workspace at this instance. Times are in ms. */
export interface WorkspaceState {
  readonly workspace: string
  /** Ids of the instances that serve the workspace, from which the ledger was created. */
  instanceIds: readonly string[]
  readonly ledger: ShareLedger
  /** Token bucket of the limit of requests per second. */
  readonly requests: TokenBucket
  /** Token bucket of the limit of model tokens per second. */
  readonly tokens: TokenBucket
  readonly retries: RetryBudget
  /** Requests admitted and not finished. */
  inFlight: number
  /** Whether the workspace has any limit to divide among the instances. */
  hasLimit: boolean
  /** Demand as a fraction of the limit, decaying over `limitWindow`. */
  demand: number
  /** When `demand` was last updated. */
  demandUpdatedAt: number
  /** When a request or a peer's demand last arrived. */
  lastActiveAt: number
  /** When a notice was last sent to the peers. */
  lastNoticeAt: number
  /** Whether the last request was held to a shorter wait because the workspace exceeds its fair share. */
  overShare: boolean
  admitted: number
  readonly refused: Record<string, number>
}

/** Creates the state of a workspace. If only the list of instances has changed, the counters of the previous state are kept. */
export const createWorkspaceState = (
  workspace: string, instanceIds: readonly string[], instancesHash: number, options: LimitsOptions, now: number, previous?: WorkspaceState
): WorkspaceState => ({
  requests: createTokenBucket(1),
  tokens: createTokenBucket(1),
  retries: createRetryBudget(options.retryFraction),
  inFlight: 0,
  hasLimit: true,
  demand: 0,
  demandUpdatedAt: now,
  lastActiveAt: now,
  lastNoticeAt: -Infinity,
  overShare: false,
  admitted: 0,
  refused: {},
  ...previous,
  workspace,
  instanceIds,
  ledger: createShareLedger({ self: options.self, incarnation: options.incarnation, instanceIds, entries: instancesHash, now })
})

/** Returns the present demand, as a fraction of the limit. */
export const currentDemand = (state: WorkspaceState, now: number): number => {
  const decayed = state.demand * Math.exp(-(now - state.demandUpdatedAt) / limitWindow)
  return decayed < 1e-4 ? 0 : decayed
}

/** Adds one request, admitted or not, to the workspace's demand at this instance. */
export const recordDemand = (state: WorkspaceState, request: AdmissionRequest, now: number): void => {
  const { requestsPerSecond, tokensPerSecond, concurrency } = request.limit
  const fractions = [
    requestsPerSecond === undefined ? 0 : 1 / Math.max(1e-3, requestsPerSecond),
    tokensPerSecond === undefined ? 0 : request.tokens / Math.max(1e-3, tokensPerSecond),
    concurrency === undefined ? 0 : 1 / Math.max(1, concurrency)
  ]
  const largest = Math.max(...fractions)
  state.hasLimit = largest > 0
  state.demand = currentDemand(state, now) + largest
  state.demandUpdatedAt = now
  state.lastActiveAt = now
}

/** Returns the workspace's entry of the state dump. */
export const workspaceSummary = (state: WorkspaceState): WorkspaceSummary => ({
  workspace: state.workspace,
  fraction: state.ledger.fraction(state.lastActiveAt),
  demand: state.demand,
  inFlight: state.inFlight,
  overShare: state.overShare,
  admitted: state.admitted,
  refused: { ...state.refused }
})
