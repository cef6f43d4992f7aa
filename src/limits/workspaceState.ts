/** One workspace's state at one entry. */
import type { TokenBucket } from './tokenBucket.js'
import { createTokenBucket } from './tokenBucket.js'
import type { AdmissionRequest, LimitsOptions, WorkspaceSummary } from './limitsTypes.js'
import { limitWindow } from './limitsTypes.js'
import type { RetryBudget } from './retryBudget.js'
import { createRetryBudget } from './retryBudget.js'
import type { ShareLedger } from './shareLedger.js'
import { createShareLedger } from './shareLedger.js'

/** The state of one workspace. */
export interface WorkspaceState {
  readonly workspace: string
  /** The list of entries that the ledger was made from. */
  instanceIds: readonly string[]
  readonly ledger: ShareLedger
  readonly requests: TokenBucket
  readonly tokens: TokenBucket
  readonly retries: RetryBudget
  inFlight: number
  /** Whether the workspace has any limit to divide. */
  hasLimit: boolean
  /** Demand as a fraction of the limit, fading over `limitWindow`. */
  demand: number
  demandUpdatedAt: number
  lastActiveAt: number
  lastNoticeAt: number
  overShare: boolean
  admitted: number
  readonly refused: Record<string, number>
}

/** Creates the state, with the counters of an earlier one when only the entries have changed. */
export const createWorkspaceState = (
  workspace: string, list: readonly string[], entries: number, options: LimitsOptions, now: number, earlier?: WorkspaceState
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
  ...earlier,
  workspace,
  instanceIds: list,
  ledger: createShareLedger({ self: options.self, incarnation: options.incarnation, instanceIds: list, entries, now })
})

/** Demand now, as a fraction of the limit. */
export const currentDemand = (state: WorkspaceState, now: number): number => {
  const faded = state.demand * Math.exp(-(now - state.demandUpdatedAt) / limitWindow)
  return faded < 1e-4 ? 0 : faded
}

/** Counts one request, admitted or not, towards the workspace's demand here. */
export const recordDemand = (state: WorkspaceState, question: AdmissionRequest, now: number): void => {
  const { requestsPerSecond, tokensPerSecond, concurrency } = question.limit
  const parts = [
    requestsPerSecond === undefined ? 0 : 1 / Math.max(1e-3, requestsPerSecond),
    tokensPerSecond === undefined ? 0 : question.tokens / Math.max(1e-3, tokensPerSecond),
    concurrency === undefined ? 0 : 1 / Math.max(1, concurrency)
  ]
  const largest = Math.max(...parts)
  state.hasLimit = largest > 0
  state.demand = currentDemand(state, now) + largest
  state.demandUpdatedAt = now
  state.lastActiveAt = now
}

/** The workspace's part of the state dump. */
export const workspaceSummary = (state: WorkspaceState): WorkspaceSummary => ({
  workspace: state.workspace,
  fraction: state.ledger.fraction(state.lastActiveAt),
  demand: state.demand,
  inFlight: state.inFlight,
  overShare: state.overShare,
  admitted: state.admitted,
  refused: { ...state.refused }
})
