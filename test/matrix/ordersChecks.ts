/** Checks that run after each case of the orders scenario, on the records of the engines, the log and the weight store. */
import type { OrdersEffect } from '../../src/orders/ordersTypes.js'
import { modelKey } from '../../src/orders/plan.js'
import type { FakeOrderWorker } from '../fakes/fakeOrderWorker.js'
import type { createFakeLog } from '../fakes/fakeLog.js'
import type { Violation } from './matrixTypes.js'
import { desiredAt, endAt, storeLoadLimit } from './ordersFixture.js'

/** The effect by which an instance sends an order. */
export type OrderEffect = Extract<OrdersEffect, { kind: 'endpoint.order' }>

/** An order with the time, in ms, and the instance at which it was sent. */
export interface SentOrder {
  readonly at: number
  readonly from: string
  readonly effect: OrderEffect
}

/** The records of one case. */
export interface OrdersRecord {
  /** The engines at the end, with the orders that reached them. */
  readonly engines: readonly FakeOrderWorker[]
  /** Records of the log stream `orders`. */
  readonly claims: ReturnType<ReturnType<typeof createFakeLog>['records']>
  readonly sentOrders: readonly SentOrder[]
  /** Whether any engine was restarted, which loses its models and its highest fencing token. */
  readonly engineRestarted: boolean
  /** Highest number of concurrent loads that the weight store saw. */
  readonly peakLoads: number
  /** Number of orders that a fault delayed. */
  readonly held: number
}

type Check = (record: OrdersRecord) => readonly Violation[]

/** At the end, every engine holds exactly the models desired of it. */
const checkConvergence: Check = ({ engines }) => engines.flatMap((engine): Violation[] => {
  const held = engine.models().map(modelKey).sort()
  const wanted = desiredAt(endAt).filter(({ workers }) => workers === 'all' || workers.includes(engine.id)).map(modelKey).sort()
  return held.join() === wanted.join() ? [] : [{ promise: 'configForward', detail: `${engine.id} holds ${held.join(' ').replaceAll('\u0000', '/')} at the end` }]
})

const holderOf = (payload: unknown): string => (payload as { holder: string }).holder

/**
 * Every order that arrives carries a fencing token whose claim its sender made,
 * and a fencing engine never acts on a lower token than the highest one so far,
 * unless an engine restarted and so lost its highest token.
 */
const checkFencingTokens: Check = ({ engines, claims, engineRestarted }) => {
  const violations: Violation[] = []
  const holders = new Map(claims.map(({ offset, payload }) => [offset, holderOf(payload)]))
  for (const { id, fenced, arrivals } of engines) {
    let highest = -1
    for (const { at, from, fence, acted } of arrivals) {
      if (holders.get(fence) !== from) violations.push({ promise: 'configForward', detail: `${id} received the fencing token ${fence} from ${from}, which has no claim at this offset` })
      if (!acted || !fenced) continue
      if (fence < highest && !engineRestarted) violations.push({ promise: 'configForward', detail: `${id} acted on the fencing token ${fence} after ${highest} at ${at} ms` })
      highest = Math.max(highest, fence)
    }
  }
  return violations
}

/** Time after a read of the log for which the holder may send orders, in ms. */
const leaseDuration = 10_000

/** No instance sends an order once a newer claim of another instance is older than the lease duration. */
const checkLapsedHolders: Check = ({ claims, sentOrders }) => sentOrders.flatMap(({ at, from, effect }): Violation[] => {
  const newer = claims.find(({ offset, at: claimedAt, payload }) => offset > effect.fence && holderOf(payload) !== from && claimedAt < at - leaseDuration)
  return newer === undefined ? [] : [{ promise: 'configForward', detail: `${from} sent an order at ${at} ms with the fencing token ${effect.fence}, superseded by ${newer.offset}` }]
})

/** The store's limit may be exceeded by at most one load for each order that a fault delayed, since the holder cannot prevent these. */
const checkStoreLoad: Check = ({ peakLoads, held }) =>
  peakLoads > storeLoadLimit + held ? [{ promise: 'noColdStart', detail: `${peakLoads} concurrent loads` }] : []

const checks: readonly Check[] = [checkConvergence, checkFencingTokens, checkLapsedHolders, checkStoreLoad]

/**
 * Runs all checks on one case.
 *
 * @param record - the records of the case
 * @returns the violations found
 */
export const checkOrders = (record: OrdersRecord): readonly Violation[] => checks.flatMap(check => check(record))
