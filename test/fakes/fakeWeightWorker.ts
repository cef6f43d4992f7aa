/** A worker in virtual time that loads weights on order and does not check fencing tokens. */
import type { OrderOutcome, WeightsOrder, WorkerStatus } from '../../src/ports/orderPort.js'

/** An order as it reached a worker; `at` in ms. */
export interface ArrivedOrder {
  readonly worker: string
  readonly holder: string
  readonly fence: number
  readonly version: number
  readonly at: number
}

/** A worker. */
export interface FakeWeightWorker {
  readonly id: string
  readonly receive: (order: WeightsOrder, now: number) => OrderOutcome
  readonly status: (now: number) => WorkerStatus
  /** Version of its weights. */
  readonly version: (now: number) => number
}

/**
 * Creates a worker with version 1 of its model.
 *
 * @param id - its id
 * @param model - name of its model
 * @param loadTime - time for which it loads weights, in ms
 * @param arrived - receives each order that reaches it
 */
export const createFakeWeightWorker = (id: string, model: string, loadTime: number, arrived: (order: ArrivedOrder) => void): FakeWeightWorker => {
  let version = 1
  let orders = 0
  let load: { readonly version: number, readonly until: number } | undefined

  const finishLoad = (now: number): void => {
    if (load === undefined || now < load.until) return
    version = load.version
    load = undefined
  }

  const receive = (order: WeightsOrder, now: number): OrderOutcome => {
    finishLoad(now)
    arrived({ worker: id, holder: order.holder, fence: order.fence, version: order.version, at: now })
    if (load !== undefined || order.expectedOrders !== orders) return 'conflict'
    if (order.version === version) return 'holds'
    orders++
    load = { version: order.version, until: now + loadTime }
    return 'accepted'
  }

  const versionAt = (now: number): number => {
    finishLoad(now)
    return version
  }

  return {
    id,
    receive,
    version: versionAt,
    status: now => ({ models: [{ name: model, version: versionAt(now) }], busy: load !== undefined, orders })
  }
}
