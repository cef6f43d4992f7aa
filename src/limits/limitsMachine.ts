/**
 * Admission control: admits or refuses requests at once. A workspace's limits hold
 * over all instances that serve it, each of which has a share that follows demand.
 * Requests that cannot meet their deadline are refused with a jittered time to retry
 * after. Under pressure, requests of a workspace that exceeds its fair share are
 * refused first. Retries are limited to a fraction of first attempts.
 */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { createFairness } from '../fairness/fairness.js'
import { createHeadroom } from './headroom.js'
import type { LimitsMessage, ShareNotice } from './limitsMessages.js'
import type { Admission, AdmissionRequest, Limits, LimitsEffect, LimitsInput, LimitsOptions, Refusal, RetryRequest, RetryRefusal } from './limitsTypes.js'
import type { WorkspaceState } from './workspaceState.js'
import { createWorkspaceState, currentDemand, recordDemand, workspaceSummary } from './workspaceState.js'

/** Interval at which the shares of limits are rebalanced, in ms. */
const rebalanceInterval = 250
/** Interval of messages to peers while no loans change, in ms. */
const noticeInterval = 500
/** Time without demand after which the state of a workspace is removed, in ms. */
const idleTimeout = 30_000
/** Fraction of the time to the deadline that a workspace over its fair share may wait, before division by its usage ratio. */
const overShareHeadroom = 0.6
/** Fraction of the time to the deadline that a request of negative priority may wait. */
const lowPriorityHeadroom = 0.5
/** Product of pressure and usage ratio above which fairness is enforced. Pressure is the moving mean of the expected wait divided by the time to the deadline. */
const pressureThreshold = 0.85
/** Weight of the newest request in the pressure. */
const pressureSmoothing = 0.05
/** Usage ratio, recent share over fair share, up to which fairness is not enforced. */
const toleratedRatio = 1.5
/** Minimum time to retry after, before jitter, in ms. */
const minRetryAfter = 100
/** Weight of the newest request in the mean worth. */
const worthSmoothing = 0.01

/**
 * Creates the admission control of one instance.
 *
 * @param options - the identity of the instance, its peers and the weights
 * @returns limits without any admitted request
 */
export const createLimits = (options: LimitsOptions): Limits => {
  const { random } = options
  const states = new Map<string, WorkspaceState>()
  const fairness = createFairness(options.weightOf)
  const learnedHeadroom = createHeadroom()
  let pressure = 0
  let meanWorth = 1
  let rebalancedAt = -rebalanceInterval

  const stateOf = (workspace: string, now: number): WorkspaceState => {
    const instanceIds = options.instancesOf(workspace)
    const existing = states.get(workspace)
    if (existing !== undefined && existing.instanceIds === instanceIds) return existing
    const instancesHash = options.hash.h32([...instanceIds].sort().join('\n'))
    if (existing !== undefined && existing.ledger.entries === instancesHash) {
      existing.instanceIds = instanceIds
      return existing
    }
    const state = createWorkspaceState(workspace, instanceIds, instancesHash, options, now, existing)
    states.set(workspace, state)
    return state
  }

  const jittered = (time: number): number => Math.ceil(Math.max(minRetryAfter, time) * (1 + random.unit()))

  const refuse = (state: WorkspaceState, reason: Refusal['reason'], time: number): Result<Admission, Refusal> => {
    state.refused[reason] = (state.refused[reason] ?? 0) + 1
    return err({ kind: 'refused', reason, retryAfter: jittered(time) })
  }

  const overLimit = (state: WorkspaceState, request: AdmissionRequest, now: number): Result<Admission, Refusal> | undefined => {
    const { requestsPerSecond, tokensPerSecond, concurrency } = request.limit
    const fraction = state.ledger.fraction(now)
    if (concurrency !== undefined && state.inFlight + 1 > concurrency * fraction + 1e-9) return refuse(state, 'concurrency', rebalanceInterval)
    const requestRate = (requestsPerSecond ?? 0) * fraction
    if (requestsPerSecond !== undefined && !state.requests.open(requestRate, now)) return refuse(state, 'requests', state.requests.wait(requestRate))
    const tokenRate = (tokensPerSecond ?? 0) * fraction
    if (tokensPerSecond !== undefined && !state.tokens.open(tokenRate, now)) return refuse(state, 'tokens', state.tokens.wait(tokenRate))
    return undefined
  }

  const requestHeadroom = (request: AdmissionRequest): number => {
    const byPriority = request.priority < 0 ? lowPriorityHeadroom : 1
    const byWorth = Math.min(1, (request.worth / meanWorth) ** options.worthExponent)
    return byPriority * byWorth
  }

  /** Returns the fraction of the time to the deadline that fairness lets requests of a workspace wait: 1, or under pressure a smaller one, the more the workspace exceeds its fair share. */
  const fairHeadroom = (workspace: string, now: number): number => {
    const ratio = fairness.usageRatio(workspace, now)
    return ratio <= toleratedRatio || pressure * ratio <= pressureThreshold ? 1 : overShareHeadroom / ratio
  }

  const admit = (request: AdmissionRequest, now: number): Result<Admission, Refusal> => {
    const state = stateOf(request.workspace, now)
    recordDemand(state, request, now)
    const limitRefusal = overLimit(state, request, now)
    if (limitRefusal !== undefined) return limitRefusal
    const remainingTime = request.deadline - now
    const correctedWait = request.expectedWait / learnedHeadroom.value()
    pressure += pressureSmoothing * (Math.min(2, request.expectedWait / Math.max(1, remainingTime)) - pressure)
    meanWorth += worthSmoothing * (request.worth - meanWorth)
    const fairFraction = fairHeadroom(request.workspace, now)
    state.overShare = fairFraction < 1
    if (correctedWait > remainingTime) return refuse(state, 'deadline', request.expectedWait - remainingTime)
    if (correctedWait > remainingTime * Math.min(fairFraction, requestHeadroom(request))) {
      return refuse(state, state.overShare ? 'fairShare' : 'deadline', correctedWait)
    }
    return ok(recordAdmission(state, request, now))
  }

  const recordAdmission = (state: WorkspaceState, request: AdmissionRequest, now: number): Admission => {
    state.inFlight++
    state.admitted++
    state.requests.take(1)
    state.tokens.take(request.tokens)
    state.retries.recordFirstAttempt()
    fairness.recordWork(request.workspace, Math.max(1, request.tokens), now)
    return { workspace: request.workspace, tokens: request.tokens, admittedAt: now, expectedWait: request.expectedWait, deadline: request.deadline, ended: false }
  }

  const firstToken = (admission: Admission, now: number): void =>
    learnedHeadroom.observe(now > admission.deadline)

  const finished = (admission: Admission, usedTokens: number | undefined, now: number): void => {
    if (admission.ended) return
    admission.ended = true
    const state = stateOf(admission.workspace, now)
    state.inFlight = Math.max(0, state.inFlight - 1)
    if (usedTokens !== undefined) state.tokens.take(usedTokens - admission.tokens)
  }

  const retry = (request: RetryRequest, now: number): Result<void, RetryRefusal> => {
    if (request.retried) return err({ kind: 'noRetry', reason: 'retryOfRetry' })
    if (now + request.expectedWait / learnedHeadroom.value() > request.deadline) return err({ kind: 'noRetry', reason: 'deadline' })
    if (!stateOf(request.workspace, now).retries.take()) return err({ kind: 'noRetry', reason: 'budget' })
    return ok(undefined)
  }

  const receive = (from: string, message: LimitsMessage, now: number): void => {
    for (const notice of message.shares) {
      const state = stateOf(notice.workspace, now)
      state.ledger.receive(from, message.incarnation, notice, now)
      if (notice.demand > 0) state.lastActiveAt = now
    }
  }

  const collectNotices = (notices: Map<string, ShareNotice[]>, state: WorkspaceState, now: number): void => {
    const demand = currentDemand(state, now)
    state.ledger.rebalance(demand, now)
    if (now - state.lastNoticeAt < noticeInterval && !state.ledger.takeChanged()) return
    state.lastNoticeAt = now
    for (const peer of state.ledger.peers) {
      const list = notices.get(peer) ?? []
      notices.set(peer, list)
      list.push(state.ledger.buildNotice(state.workspace, peer, demand, now))
    }
  }

  const onTick = (now: number): readonly LimitsEffect[] => {
    if (now - rebalancedAt < rebalanceInterval) return []
    rebalancedAt = now
    const notices = new Map<string, ShareNotice[]>()
    for (const [workspace, state] of states) {
      if (now - state.lastActiveAt > idleTimeout && state.inFlight === 0) states.delete(workspace)
      else if (state.hasLimit) collectNotices(notices, stateOf(workspace, now), now)
    }
    return [...notices].map(([to, shares]) => ({ kind: 'peer.send', to, message: { kind: 'limits.shares', incarnation: options.incarnation, shares } }))
  }

  const handle = (input: LimitsInput, now: number): readonly LimitsEffect[] => {
    switch (input.kind) {
      case 'tick':
        return onTick(now)
      case 'peer.message':
        receive(input.from, input.message, now)
        return []
      case 'peer.lost':
        return []
    }
  }

  return {
    handle,
    admit,
    firstToken,
    finished,
    retry,
    dump: () => ({ workspaces: [...states.values()].map(state => workspaceSummary(state)), headroom: learnedHeadroom.value(), pressure })
  }
}
