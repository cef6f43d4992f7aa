/**
 * Non-idempotent calls under every fault at every step of the claims protocol.
 * The checkers use only the service's own record of runs and the replies to
 * callers, and do not depend on how claims work.
 */
import { createPlacement, partitionOf } from '../../src/claims/claimsPlacement.js'
import type { Hash } from '../../src/hash.js'
import { createIdempotencyKey } from '../fakes/idempotencyKey.js'
import { createCluster, start } from './claimsCluster.js'
import type { Cluster } from './claimsCluster.js'
import { claimsApplicability, claimsSteps } from './claimsFaults.js'
import type { CallerReply } from './claimsRecords.js'
import { claimsVariants } from './claimsVariants.js'
import type { Plan, Scenario, Violation } from './matrixTypes.js'

/** Virtual duration of a run, in ms. */
const runDuration = 28_000

/** Time at which the first calls are repeated with their keys, which have expired by then, in ms since the start. */
const keysExpiredAt = 14_000

/** Time of the call `fresh`, in ms since the start; it must be served unless a fault occurred at or after `freshCallFaultCutoff`. */
const freshCallAt = 22_000

/** Time from which a fault may still affect the call `fresh`, in ms since the start. */
const freshCallFaultCutoff = 16_000

/** Thrown when the step of a single injection never occurred, so that its case tests nothing. */
class StepNotReached extends Error {
  override readonly name = 'StepNotReached'
}

/** Thrown when a call that no fault affects is not run exactly once and answered. */
class CallNotServed extends Error {
  override readonly name = 'CallNotServed'
}

/** Calls that begin at two instances almost at once; the interval between the two grows from call to call. */
const staggeredCalls = ['near0', 'near1', 'near2', 'near3', 'near4', 'near5'] as const
/** Increment in ms of the interval between the two attempts of a staggered call. */
const staggerInterval = 4

type CallName = 'plain' | 'local' | 'twice' | typeof staggeredCalls[number] | 'left' | 'leftLate' | 'slow' | 'again' | 'fresh'

/** Creates a key for each call whose partition is held by the instance required for that call. */
const createKeys = (hash: Hash): Record<CallName, string> => {
  const placement = createPlacement(hash)
  placement.update(['n1', 'n2', 'n3', 'n4'].map(id => ({ id, incarnation: '1', state: 'live' })))
  let serial = 0
  const keyHeldBy = (holder: string, at: number): string => {
    for (;;) {
      const key = createIdempotencyKey(start + at, serial++)
      if (placement.holders(partitionOf(hash, { workspace: 'w', key }))[0] === holder) return key
    }
  }
  return {
    plain: keyHeldBy('n3', 1_000),
    local: keyHeldBy('n1', 1_100),
    twice: keyHeldBy('n4', 1_200),
    near0: keyHeldBy('n1', 1_250),
    near1: keyHeldBy('n1', 1_250),
    near2: keyHeldBy('n2', 1_250),
    near3: keyHeldBy('n2', 1_250),
    near4: keyHeldBy('n4', 1_250),
    near5: keyHeldBy('n4', 1_250),
    left: keyHeldBy('n4', 1_300),
    leftLate: keyHeldBy('n1', 1_400),
    again: keyHeldBy('n4', 1_500),
    slow: keyHeldBy('n3', 4_000),
    fresh: keyHeldBy('n3', freshCallAt)
  }
}

const schedule = (cluster: Cluster, keys: Record<CallName, string>, seed: number): void => {
  const seedOffset = seed - 1
  const call = (delay: number, name: CallName, at: string, more: { readonly disconnectsAfter?: number, readonly fingerprint?: string } = {}): void =>
    cluster.at(delay, () => cluster.call({ key: keys[name], fingerprint: 'f', at, ...more }))
  call(1_000, 'plain', 'n1')
  call(1_100, 'local', 'n1')
  call(1_200, 'twice', 'n2')
  call(1_200, 'twice', 'n3')
  staggeredCalls.forEach((name, index) => {
    call(1_250 + seedOffset % 30, name, 'n2')
    call(1_250 + staggerInterval * index, name, 'n3')
  })
  call(1_300, 'left', 'n2', { disconnectsAfter: 8 + seedOffset % 61 })
  call(1_400, 'leftLate', 'n4', { disconnectsAfter: 60 + seedOffset % 97 })
  call(1_500, 'again', 'n2')
  call(1_900 + seedOffset % 50, 'again', 'n1')
  call(2_500, 'plain', 'n2')
  call(2_600, 'local', 'n3')
  call(2_700, 'plain', 'n3', { fingerprint: 'g' })
  call(3_500, 'plain', 'n1')
  call(4_000, 'slow', 'n4')
  cluster.at(keysExpiredAt, () => cluster.step('expiry', 'n1'))
  call(keysExpiredAt, 'plain', 'n4')
  call(keysExpiredAt + 100, 'plain', 'n1')
  call(keysExpiredAt + 1_000, 'twice', 'n1')
  call(freshCallAt, 'fresh', 'n2')
}

const runBodiesOf = (cluster: Cluster, key: string): readonly string[] =>
  cluster.runs.filter(run => run.key === key).map(run => run.body)

const checkAtMostOnce = (cluster: Cluster): Violation[] =>
  [...new Set(cluster.runs.map(run => run.key))]
    .filter(key => runBodiesOf(cluster, key).length > 1)
    .map(key => ({ promise: 'atMostOnce', detail: `${key} ran ${runBodiesOf(cluster, key).length} times: ${cluster.runs.filter(run => run.key === key).map(run => `${run.attempt} at ${run.at - start}`).join(', ')}` }))

const checkNotRun = (cluster: Cluster): Violation[] => cluster.callerReplies.flatMap((reply): Violation[] => {
  const { answer, attempt, key, at } = reply
  if (answer.kind === 'answered' || answer.kind === 'outcomeUnknown') return []
  const ownRun = cluster.runs.find(run => run.attempt === attempt)
  if (ownRun !== undefined) return [{ promise: 'notRunTrue', detail: `${attempt} was refused as ${answer.kind} at ${at - start} and ran at ${ownRun.at - start}` }]
  const earlierRun = answer.kind === 'notRun' && answer.scope === 'call' && cluster.runs.find(run => run.key === key && run.at <= at)
  return earlierRun ? [{ promise: 'notRunTrue', detail: `${key} ran at ${earlierRun.at - start} and was reported as not run at ${at - start}` }] : []
})

const bodyOf = ({ answer }: CallerReply): string | undefined => {
  if (answer.kind === 'answered') return answer.body
  return answer.kind === 'ran' && answer.answer !== undefined ? new TextDecoder().decode(answer.answer.body) : undefined
}

const checkAnswers = (cluster: Cluster): Violation[] => cluster.callerReplies.flatMap((reply): Violation[] => {
  const first = cluster.runs.find(run => run.key === reply.key)
  const body = bodyOf(reply)
  if (body !== undefined && body !== first?.body) return [{ promise: 'ownAnswer', detail: `${reply.key} was answered ${body} instead of ${first?.body}` }]
  if (reply.answer.kind !== 'ran') return []
  if (first === undefined || first.at > reply.at) return [{ promise: 'ownAnswer', detail: `${reply.key} was reported as run at ${reply.at - start} and had not run` }]
  return []
})

const repliesTo = (cluster: Cluster, key: string): string[] => cluster.callerReplies.filter(reply => reply.key === key).map(reply => bodyOf(reply) ?? reply.answer.kind)

const requireServed = (cluster: Cluster, key: string): void => {
  const runs = runBodiesOf(cluster, key)
  if (runs.length !== 1 || !repliesTo(cluster, key).includes(runs[0])) throw new CallNotServed(`${key}: ${runs.length} runs, replies: ${repliesTo(cluster, key).join(', ')}`)
}

/** Requires that, without a fault, each call runs once, duplicates get the first answer, and expired keys are refused. */
const requireAllServed = (cluster: Cluster, keys: Record<CallName, string>): void => {
  for (const key of [keys.plain, keys.local, keys.twice, keys.left, ...staggeredCalls.map(name => keys[name]), keys.slow, keys.again]) requireServed(cluster, key)
  const [body] = runBodiesOf(cluster, keys.plain)
  const expected = [body, body, 'fingerprintMismatch', body, 'unknown', 'unknown']
  const replies = repliesTo(cluster, keys.plain)
  if (JSON.stringify(replies) !== JSON.stringify(expected)) throw new CallNotServed(`unexpected replies to retries: ${replies.join(', ')}`)
}

const run = (hash: Hash, keys: Record<CallName, string>, plan: Plan): readonly Violation[] => {
  const cluster = createCluster(plan, hash)
  schedule(cluster, keys, plan.seed)
  cluster.run(runDuration)
  const violations = [...checkAtMostOnce(cluster), ...checkNotRun(cluster), ...checkAnswers(cluster)]
  if (violations.length > 0 || plan.variant !== 'sound') return violations
  if (plan.injections.length === 1 && plan.seed === 1 && cluster.unreachedSteps().length > 0) throw new StepNotReached(cluster.unreachedSteps().join(', '))
  if (plan.injections.length === 0) requireAllServed(cluster, keys)
  if (cluster.lastFaultAt() < freshCallFaultCutoff) requireServed(cluster, keys.fresh)
  return []
}

/**
 * Creates the claims scenario of the fault matrix.
 *
 * @param hash - hash functions, loaded
 * @returns the scenario
 */
export const createClaimsScenario = (hash: Hash): Scenario => {
  const keys = createKeys(hash)
  return {
    name: 'claims',
    steps: claimsSteps,
    promises: ['atMostOnce', 'notRunTrue', 'ownAnswer'],
    variants: claimsVariants,
    applicability: claimsApplicability,
    run: plan => run(hash, keys, plan)
  }
}
