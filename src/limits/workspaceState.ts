/** One workspace's state at one entry. */
import type { Bucket } from './bucket.js'
import { createBucket } from './bucket.js'
import type { AdmissionQuestion, LimitsOptions, WorkspaceSummary } from './limitsTypes.js'
import { limitWindow } from './limitsTypes.js'
import type { RetryBudget } from './retryBudget.js'
import { createRetryBudget } from './retryBudget.js'
import type { ShareLedger } from './shareLedger.js'
import { createShareLedger } from './shareLedger.js'

/** The state of one workspace. */
export interface WorkspaceState {
  readonly workspace: string
  /** The list of entries that the ledger was made from. */
  list: readonly string[]
  readonly ledger: ShareLedger
  readonly requests: Bucket
  readonly tokens: Bucket
  readonly retries: RetryBudget
  inFlight: number
  /** Whether the workspace has any limit to divide. */
  limited: boolean
  /** Demand as a fraction of the limit, fading over `limitWindow`. */
  demand: number
  demandAt: number
  activeAt: number
  noticedAt: number
  overShare: boolean
  admitted: number
  readonly refused: Record<string, number>
}

/** Creates the state, with the counters of an earlier one when only the entries have changed. */
export const createWorkspaceState = (
  workspace: string, list: readonly string[], entries: number, options: LimitsOptions, now: number, earlier?: WorkspaceState
): WorkspaceState => ({
  requests: createBucket(1),
  tokens: createBucket(1),
  retries: createRetryBudget(options.retryFraction),
  inFlight: 0,
  limited: true,
  demand: 0,
  demandAt: now,
  activeAt: now,
  noticedAt: -Infinity,
  overShare: false,
  admitted: 0,
  refused: {},
  ...earlier,
  workspace,
  list,
  ledger: createShareLedger({ self: options.self, incarnation: options.incarnation, list, entries, now })
})

/** Demand now, as a fraction of the limit. */
export const demandOf = (state: WorkspaceState, now: number): number => {
  const faded = state.demand * Math.exp(-(now - state.demandAt) / limitWindow)
  return faded < 1e-4 ? 0 : faded
}

/** Counts one request, admitted or not, towards the workspace's demand here. */
export const noteDemand = (state: WorkspaceState, question: AdmissionQuestion, now: number): void => {
  const { requestsPerSecond, tokensPerSecond, concurrency } = question.limit
  const parts = [
    requestsPerSecond === undefined ? 0 : 1 / Math.max(1e-3, requestsPerSecond),
    tokensPerSecond === undefined ? 0 : question.tokens / Math.max(1e-3, tokensPerSecond),
    concurrency === undefined ? 0 : 1 / Math.max(1, concurrency)
  ]
  const largest = Math.max(...parts)
  state.limited = largest > 0
  state.demand = demandOf(state, now) + largest
  state.demandAt = now
  state.activeAt = now
}

/** The workspace's part of the state dump. */
export const workspaceSummary = (state: WorkspaceState): WorkspaceSummary => ({
  workspace: state.workspace,
  fraction: state.ledger.fraction(state.activeAt),
  demand: state.demand,
  inFlight: state.inFlight,
  overShare: state.overShare,
  admitted: state.admitted,
  refused: { ...state.refused }
})
