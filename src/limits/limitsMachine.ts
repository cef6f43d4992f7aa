/**
 * Admits or refuses requests at once. Workspace limits hold over all entries of
 * the workspace by parts that follow demand; requests that cannot meet their
 * deadline are refused with a jittered time to come back; under pressure a
 * workspace over its fair part gives way to the others; retries are a fraction
 * of first attempts.
 */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { createFairness } from './fairness.js'
import { createHeadroom } from './headroom.js'
import type { LimitsMessage, ShareNotice } from './limitsMessages.js'
import type { Admission, AdmissionRequest, Limits, LimitsEffect, LimitsInput, LimitsOptions, Refusal, RetryRequest, RetryRefusal } from './limitsTypes.js'
import type { WorkspaceState } from './workspaceState.js'
import { createWorkspaceState, currentDemand, recordDemand, workspaceSummary } from './workspaceState.js'

/** Milliseconds between two looks at the parts. */
const rebalanceInterval = 250
/** Milliseconds between messages while little changes. */
const noticeInterval = 500
/** Workspaces without demand for this long, in ms, are forgotten. */
const idleTimeout = 30_000
/** Part of the time to the deadline that a workspace at its fair part may wait once another is over its own. */
const overShareHeadroom = 0.6
const lowPriorityHeadroom = 0.5
/** Pressure, as expected wait over time to the deadline, times work over the fair part, from which fairness is enforced. */
const pressureFloor = 0.85
const pressureRate = 0.05
/** Work over the fair part that is tolerated. */
const fairTolerance = 1.5
const shortestRetryAfter = 100
const worthRate = 0.01

/**
 * Creates the limits of one instance.
 *
 * @param options - identity, peers and weights
 * @returns limits that have admitted nothing
 */
export const createLimits = (options: LimitsOptions): Limits => {
  const { random } = options
  const states = new Map<string, WorkspaceState>()
  const fairness = createFairness(options.weightOf)
  const admissible = createHeadroom()
  let pressure = 0
  let meanWorth = 1
  let rebalancedAt = -rebalanceInterval

  const stateOf = (workspace: string, now: number): WorkspaceState => {
    const list = options.instancesOf(workspace)
    const known = states.get(workspace)
    if (known !== undefined && known.instanceIds === list) return known
    const entries = options.hash.h32([...list].sort().join('\n'))
    if (known !== undefined && known.ledger.entries === entries) {
      known.instanceIds = list
      return known
    }
    const state = createWorkspaceState(workspace, list, entries, options, now, known)
    states.set(workspace, state)
    return state
  }

  const jittered = (time: number): number => Math.ceil(Math.max(shortestRetryAfter, time) * (1 + random.unit()))

  const refuse = (state: WorkspaceState, reason: Refusal['reason'], time: number): Result<Admission, Refusal> => {
    state.refused[reason] = (state.refused[reason] ?? 0) + 1
    return err({ kind: 'refused', reason, retryAfter: jittered(time) })
  }

  const overLimit = (state: WorkspaceState, question: AdmissionRequest, now: number): Result<Admission, Refusal> | undefined => {
    const { requestsPerSecond, tokensPerSecond, concurrency } = question.limit
    const fraction = state.ledger.fraction(now)
    if (concurrency !== undefined && state.inFlight + 1 > concurrency * fraction + 1e-9) return refuse(state, 'concurrency', rebalanceInterval)
    const requestRate = (requestsPerSecond ?? 0) * fraction
    if (requestsPerSecond !== undefined && !state.requests.open(requestRate, now)) return refuse(state, 'requests', state.requests.wait(requestRate))
    const tokenRate = (tokensPerSecond ?? 0) * fraction
    if (tokensPerSecond !== undefined && !state.tokens.open(tokenRate, now)) return refuse(state, 'tokens', state.tokens.wait(tokenRate))
    return undefined
  }

  const headroom = (question: AdmissionRequest): number => {
    const byPriority = question.priority < 0 ? lowPriorityHeadroom : 1
    const byWorth = Math.min(1, (question.worth / meanWorth) ** options.worthExponent)
    return byPriority * byWorth
  }

  /** Part of the time to the deadline that a workspace may wait by its fair part: 1, or less the more it is over. */
  const fairHeadroom = (workspace: string, now: number): number => {
    const ratio = fairness.usageRatio(workspace, now)
    return ratio <= fairTolerance || pressure * ratio <= pressureFloor ? 1 : overShareHeadroom / ratio
  }

  const admit = (question: AdmissionRequest, now: number): Result<Admission, Refusal> => {
    const state = stateOf(question.workspace, now)
    recordDemand(state, question, now)
    const limited = overLimit(state, question, now)
    if (limited !== undefined) return limited
    const left = question.deadline - now
    const expected = question.expectedWait / admissible.value()
    pressure += pressureRate * (Math.min(2, question.expectedWait / Math.max(1, left)) - pressure)
    meanWorth += worthRate * (question.worth - meanWorth)
    const fair = fairHeadroom(question.workspace, now)
    state.overShare = fair < 1
    if (expected > left) return refuse(state, 'deadline', question.expectedWait - left)
    if (expected > left * Math.min(fair, headroom(question))) {
      return refuse(state, state.overShare ? 'fairShare' : 'deadline', expected)
    }
    return ok(letIn(state, question, now))
  }

  const letIn = (state: WorkspaceState, question: AdmissionRequest, now: number): Admission => {
    state.inFlight++
    state.admitted++
    state.requests.take(1)
    state.tokens.take(question.tokens)
    state.retries.recordFirstAttempt()
    fairness.recordWork(question.workspace, Math.max(1, question.tokens), now)
    return { workspace: question.workspace, tokens: question.tokens, admittedAt: now, expectedWait: question.expectedWait, deadline: question.deadline, ended: false }
  }

  const firstToken = (admission: Admission, now: number): void =>
    admissible.observe(now > admission.deadline)

  const finished = (admission: Admission, usedTokens: number | undefined, now: number): void => {
    if (admission.ended) return
    admission.ended = true
    const state = stateOf(admission.workspace, now)
    state.inFlight = Math.max(0, state.inFlight - 1)
    if (usedTokens !== undefined) state.tokens.take(usedTokens - admission.tokens)
  }

  const retry = (question: RetryRequest, now: number): Result<void, RetryRefusal> => {
    if (question.retried) return err({ kind: 'noRetry', reason: 'retryOfRetry' })
    if (now + question.expectedWait / admissible.value() > question.deadline) return err({ kind: 'noRetry', reason: 'deadline' })
    if (!stateOf(question.workspace, now).retries.take()) return err({ kind: 'noRetry', reason: 'budget' })
    return ok(undefined)
  }

  const receive = (from: string, message: LimitsMessage, now: number): void => {
    for (const notice of message.shares) {
      const state = stateOf(notice.workspace, now)
      state.ledger.receive(from, message.incarnation, notice, now)
      if (notice.demand > 0) state.lastActiveAt = now
    }
  }

  const collect = (notices: Map<string, ShareNotice[]>, state: WorkspaceState, now: number): void => {
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
      else if (state.hasLimit) collect(notices, stateOf(workspace, now), now)
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
    dump: () => ({ workspaces: [...states.values()].map(state => workspaceSummary(state)), headroom: admissible.value(), pressure })
  }
}
