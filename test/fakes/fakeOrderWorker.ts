/** A worker that carries out orders, such as loading a model, and records every order that arrives. */
import type { LoadedModel } from '../../src/endpoints/endpointsTypes.js'
import type { EndpointOrder } from '../../src/ports/endpointPort.js'
import type { VirtualTime } from './virtualTime.js'

/** One order that arrived at the worker. */
export interface OrderArrival {
  /** Virtual time of arrival, in ms. */
  readonly at: number
  /** Id of the instance that sent it. */
  readonly from: string
  /** Fencing token of the order. */
  readonly fence: number
  readonly order: EndpointOrder
  /** False if the order was rejected for a stale fencing token. */
  readonly acted: boolean
}

/** The worker and its record. */
export interface FakeOrderWorker {
  readonly id: string
  readonly incarnation: () => string
  /** Whether the worker checks fencing tokens. */
  readonly fenced: boolean
  readonly models: () => readonly LoadedModel[]
  readonly arrivals: readonly OrderArrival[]
  /** Carries out an order and reports its result, at once or when the load ends. */
  readonly order: (arrival: Omit<OrderArrival, 'at' | 'acted'>, done: (result: 'done' | 'staleFence' | 'failed') => void) => void
  /** Restarts with no loaded model and a new incarnation; loads in progress fail. */
  readonly restart: () => void
}

/** The weight store from which all workers load. */
export interface FakeWeightStore {
  /** Number of loads in progress. */
  running: number
  /** Highest number of concurrent loads so far. */
  peak: number
}

/** Initial state and dependencies of a fake worker. */
export interface FakeOrderWorkerOptions {
  readonly id: string
  readonly fenced: boolean
  readonly models: readonly LoadedModel[]
  readonly time: VirtualTime
  readonly store: FakeWeightStore
  /** Called whenever the loaded models change. */
  readonly changed: () => void
}

/** Duration of a load, in ms. */
const loadTime = 500

const sameModel = (left: LoadedModel, right: LoadedModel): boolean =>
  left.model === right.model && left.adapter === right.adapter && left.weightVersion === right.weightVersion

/**
 * Creates a worker.
 *
 * @param options - models loaded at first, clock, weight store and observer
 */
export const createFakeOrderWorker = (options: FakeOrderWorkerOptions): FakeOrderWorker => {
  const { id, fenced, time, store, changed } = options
  const arrivals: OrderArrival[] = []
  let models = [...options.models]
  let incarnationNumber = 1
  let highestFence = -1
  /** Callbacks of each load in progress, by model; a repeated order joins the load. */
  const loading = new Map<string, Array<(result: 'done' | 'failed') => void>>()

  const load = (model: LoadedModel, done: (result: 'done' | 'failed') => void): void => {
    if (models.some(loaded => sameModel(loaded, model))) return done('done')
    const key = JSON.stringify(model)
    const inProgress = loading.get(key)
    if (inProgress !== undefined) {
      inProgress.push(done)
      return
    }
    const startedIncarnation = incarnationNumber
    const waiting = [done]
    loading.set(key, waiting)
    store.running++
    store.peak = Math.max(store.peak, store.running)
    time.after(loadTime, () => {
      if (incarnationNumber !== startedIncarnation) return
      loading.delete(key)
      store.running--
      models.push(model)
      changed()
      waiting.forEach(report => report('done'))
    })
  }

  return {
    id,
    incarnation: () => `${id}-${incarnationNumber}`,
    fenced,
    models: () => models,
    arrivals,
    order: (arrival, done) => {
      const acted = !fenced || arrival.fence >= highestFence
      arrivals.push({ ...arrival, at: time.now(), acted })
      if (!acted) return done('staleFence')
      highestFence = Math.max(highestFence, arrival.fence)
      const { order } = arrival
      if (order.kind === 'load') return load(order.model, done)
      if (order.kind === 'unload') {
        models = models.filter(loaded => !sameModel(loaded, order.model))
        changed()
      }
      done('done')
    },
    restart: () => {
      incarnationNumber++
      models = []
      highestFence = -1
      store.running -= loading.size
      const interrupted = [...loading.values()].flat()
      loading.clear()
      changed()
      interrupted.forEach(report => report('failed'))
    }
  }
}
