/**
 * Calls that may not be repeated, under every fault at every step. The checkers
 * read the service's own record of runs and what callers were told; they know
 * nothing of how claims work.
 */
import { createPlacement, partitionOf } from '../../src/claims/claimsPlacement.js'
import type { Hash } from '../../src/hash.js'
import { createIdempotencyKey } from '../fakes/idempotencyKey.js'
import { createCluster, start } from './claimsCluster.js'
import type { Cluster } from './claimsCluster.js'
import { claimsApplicability, claimsSteps } from './claimsFaults.js'
import type { Told } from './claimsRecords.js'
import { claimsVariants } from './claimsVariants.js'
import type { Plan, Scenario, Violation } from './matrixTypes.js'

const runFor = 28_000
const expiryAt = 14_000
const freshAt = 22_000
/** A fault after this time may reach the fresh call. */
const quietFrom = 16_000

/** Thrown when a single injection had no occasion: its case would prove nothing. */
class StepNotReached extends Error {
  override readonly name = 'StepNotReached'
}

/** Thrown when a call that nothing hinders gets no answer. */
class CallNotServed extends Error {
  override readonly name = 'CallNotServed'
}

/** Calls begun at two instances, each pair a little further apart. */
const nearCalls = ['near0', 'near1', 'near2', 'near3', 'near4', 'near5'] as const
const nearStep = 4

type CallName = 'plain' | 'local' | 'twice' | typeof nearCalls[number] | 'left' | 'leftLate' | 'slow' | 'again' | 'fresh'

/** Keys whose partitions are held by the instance that each call needs. */
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
    fresh: keyHeldBy('n3', freshAt)
  }
}

const schedule = (cluster: Cluster, keys: Record<CallName, string>, seed: number): void => {
  const shift = seed - 1
  const call = (delay: number, name: CallName, at: string, more: { readonly leavesAfter?: number, readonly fingerprint?: string } = {}): void =>
    cluster.at(delay, () => cluster.call({ key: keys[name], fingerprint: 'f', at, ...more }))
  call(1_000, 'plain', 'n1')
  call(1_100, 'local', 'n1')
  call(1_200, 'twice', 'n2')
  call(1_200, 'twice', 'n3')
  nearCalls.forEach((name, index) => {
    call(1_250 + shift % 30, name, 'n2')
    call(1_250 + nearStep * index, name, 'n3')
  })
  call(1_300, 'left', 'n2', { leavesAfter: 8 + shift % 61 })
  call(1_400, 'leftLate', 'n4', { leavesAfter: 60 + shift % 97 })
  call(1_500, 'again', 'n2')
  call(1_900 + shift % 50, 'again', 'n1')
  call(2_500, 'plain', 'n2')
  call(2_600, 'local', 'n3')
  call(2_700, 'plain', 'n3', { fingerprint: 'g' })
  call(3_500, 'plain', 'n1')
  call(4_000, 'slow', 'n4')
  cluster.at(expiryAt, () => cluster.step('expiry', 'n1'))
  call(expiryAt, 'plain', 'n4')
  call(expiryAt + 100, 'plain', 'n1')
  call(expiryAt + 1_000, 'twice', 'n1')
  call(freshAt, 'fresh', 'n2')
}

const runsOf = (cluster: Cluster, key: string): readonly string[] =>
  cluster.runs.filter(run => run.key === key).map(run => run.body)

const checkOnce = (cluster: Cluster): Violation[] =>
  [...new Set(cluster.runs.map(run => run.key))]
    .filter(key => runsOf(cluster, key).length > 1)
    .map(key => ({ promise: 'atMostOnce', detail: `${key} ran ${runsOf(cluster, key).length} times: ${cluster.runs.filter(run => run.key === key).map(run => `${run.attempt} at ${run.at - start}`).join(', ')}` }))

const checkNotRun = (cluster: Cluster): Violation[] => cluster.told.flatMap((told): Violation[] => {
  const { answer, attempt, key, at } = told
  if (answer.kind === 'answered' || answer.kind === 'outcomeUnknown') return []
  const own = cluster.runs.find(run => run.attempt === attempt)
  if (own !== undefined) return [{ promise: 'notRunTrue', detail: `${attempt} was refused as ${answer.kind} at ${at - start} and ran at ${own.at - start}` }]
  const earlier = answer.kind === 'notRun' && answer.scope === 'call' && cluster.runs.find(run => run.key === key && run.at <= at)
  return earlier ? [{ promise: 'notRunTrue', detail: `${key} had run at ${earlier.at - start} when told otherwise at ${at - start}` }] : []
})

const bodyOf = ({ answer }: Told): string | undefined => {
  if (answer.kind === 'answered') return answer.body
  return answer.kind === 'ran' && answer.answer !== undefined ? new TextDecoder().decode(answer.answer.body) : undefined
}

const checkAnswers = (cluster: Cluster): Violation[] => cluster.told.flatMap((told): Violation[] => {
  const first = cluster.runs.find(run => run.key === told.key)
  const body = bodyOf(told)
  if (body !== undefined && body !== first?.body) return [{ promise: 'ownAnswer', detail: `${told.key} was answered ${body} instead of ${first?.body}` }]
  if (told.answer.kind !== 'ran') return []
  if (first === undefined || first.at > told.at) return [{ promise: 'ownAnswer', detail: `${told.key} was told that it ran at ${told.at - start}, and it had not` }]
  return []
})

const answersOf = (cluster: Cluster, key: string): string[] => cluster.told.filter(told => told.key === key).map(told => bodyOf(told) ?? told.answer.kind)

const requireServed = (cluster: Cluster, key: string): void => {
  const runs = runsOf(cluster, key)
  if (runs.length !== 1 || !answersOf(cluster, key).includes(runs[0])) throw new CallNotServed(`${key}: ${runs.length} runs, told ${answersOf(cluster, key).join(', ')}`)
}

/** Without a fault all calls run, repeats get the first answer, and expired keys are refused. */
const requireAllServed = (cluster: Cluster, keys: Record<CallName, string>): void => {
  for (const key of [keys.plain, keys.local, keys.twice, keys.left, ...nearCalls.map(name => keys[name]), keys.slow, keys.again]) requireServed(cluster, key)
  const [body] = runsOf(cluster, keys.plain)
  const expected = [body, body, 'fingerprintMismatch', body, 'unknown', 'unknown']
  const found = answersOf(cluster, keys.plain)
  if (JSON.stringify(found) !== JSON.stringify(expected)) throw new CallNotServed(`repeats were told ${found.join(', ')}`)
}

const run = (hash: Hash, keys: Record<CallName, string>, plan: Plan): readonly Violation[] => {
  const cluster = createCluster(plan, hash)
  schedule(cluster, keys, plan.seed)
  cluster.run(runFor)
  const violations = [...checkOnce(cluster), ...checkNotRun(cluster), ...checkAnswers(cluster)]
  if (violations.length > 0 || plan.variant !== 'sound') return violations
  if (plan.injections.length === 1 && plan.seed === 1 && cluster.unreached().length > 0) throw new StepNotReached(cluster.unreached().join(', '))
  if (plan.injections.length === 0) requireAllServed(cluster, keys)
  if (cluster.lastFault() < quietFrom) requireServed(cluster, keys.fresh)
  return []
}

/**
 * The scenario of claims.
 *
 * @param hash - loaded
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
