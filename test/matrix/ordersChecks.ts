/** What is checked after a case of the scenario of orders, on the records of engines, log and store. */
import type { OrdersEffect } from '../../src/orders/ordersTypes.js'
import { modelKey } from '../../src/orders/plan.js'
import type { FakeEngine } from '../fakes/fakeEngine.js'
import type { createFakeLog } from '../fakes/fakeLog.js'
import type { Violation } from './matrixTypes.js'
import { desiredAt, endAt, storeLoadLimit } from './ordersFixture.js'

/** An order as an instance gave it. */
export type OrderEffect = Extract<OrdersEffect, { kind: 'endpoint.order' }>

/** An order and when it left which instance. */
export interface SentOrder {
  readonly at: number
  readonly from: string
  readonly effect: OrderEffect
}

/** The records of a case. */
export interface OrdersRecord {
  readonly engines: readonly FakeEngine[]
  readonly claims: ReturnType<ReturnType<typeof createFakeLog>['records']>
  readonly sentOrders: readonly SentOrder[]
  readonly engineRestarted: boolean
  /** Most loads that the store of weights saw at once. */
  readonly peakLoads: number
  /** Orders that the network held back. */
  readonly held: number
}

type Check = (record: OrdersRecord) => readonly Violation[]

const checkConvergence: Check = ({ engines }) => engines.flatMap((engine): Violation[] => {
  const held = engine.models().map(modelKey).sort()
  const wanted = desiredAt(endAt).filter(({ workers }) => workers === 'all' || workers.includes(engine.id)).map(modelKey).sort()
  return held.join() === wanted.join() ? [] : [{ promise: 'configForward', detail: `${engine.id} holds ${held.join(' ').replaceAll('\u0000', '/')} at the end` }]
})

const holderOf = (payload: unknown): string => (payload as { holder: string }).holder

/** Every order that was acted on carries a number that the log gave to its sender, never an older one than before. */
const checkFences: Check = ({ engines, claims, engineRestarted }) => {
  const violations: Violation[] = []
  const holders = new Map(claims.map(({ offset, payload }) => [offset, holderOf(payload)]))
  for (const { id, fenced, arrivals } of engines) {
    let highest = -1
    for (const { at, from, fence, acted } of arrivals) {
      if (holders.get(fence) !== from) violations.push({ promise: 'configForward', detail: `${id} got the number ${fence} from ${from}, which did not claim it` })
      if (!acted || !fenced) continue
      if (fence < highest && !engineRestarted) violations.push({ promise: 'configForward', detail: `${id} acted on ${fence} after ${highest} at ${at}` })
      highest = Math.max(highest, fence)
    }
  }
  return violations
}

/** Time for which a read lets the holder act, in ms. */
const actTime = 10_000

/** No order leaves an instance once another's claim is older than that. */
const checkLapsed: Check = ({ claims, sentOrders: emissions }) => emissions.flatMap(({ at, from, effect }): Violation[] => {
  const newer = claims.find(({ offset, at: claimedAt, payload }) => offset > effect.fence && holderOf(payload) !== from && claimedAt < at - actTime)
  return newer === undefined ? [] : [{ promise: 'configForward', detail: `${from} gave an order at ${at} with ${effect.fence}, lapsed by ${newer.offset}` }]
})

/** Orders that the network held back are not the holder's doing. */
const checkStore: Check = ({ peakLoads: loadsAtOnce, held }) =>
  loadsAtOnce > storeLoadLimit + held ? [{ promise: 'noColdStart', detail: `${loadsAtOnce} loads at once` }] : []

const checks: readonly Check[] = [checkConvergence, checkFences, checkLapsed, checkStore]

/**
 * Checks a case.
 *
 * @param record - what was recorded
 */
export const checkOrders = (record: OrdersRecord): readonly Violation[] => checks.flatMap(check => check(record))
