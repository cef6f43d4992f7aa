/** A worker that carries out orders; it keeps its own record of them. */
import type { LoadedModel } from '../../src/endpoints/endpointsTypes.js'
import type { EndpointOrder } from '../../src/ports/endpointPort.js'
import type { VirtualTime } from './virtualTime.js'

/** One order that arrived. */
export interface OrderArrival {
  readonly at: number
  readonly from: string
  readonly fence: number
  readonly order: EndpointOrder
  readonly acted: boolean
}

/** The worker. */
export interface FakeOrderWorker {
  readonly id: string
  readonly incarnation: () => string
  readonly fenced: boolean
  readonly models: () => readonly LoadedModel[]
  readonly arrivals: readonly OrderArrival[]
  readonly order: (arrival: Omit<OrderArrival, 'at' | 'acted'>, done: (result: 'done' | 'staleFence' | 'failed') => void) => void
  /** Restarts with no model and a new incarnation. */
  readonly restart: () => void
}

/** The weight store that all engines load from. */
export interface FakeWeightStore {
  /** Loads running now. */
  running: number
  /** The most that ever ran at once. */
  peak: number
}

/** What an engine needs. */
export interface FakeOrderWorkerOptions {
  readonly id: string
  readonly fenced: boolean
  readonly models: readonly LoadedModel[]
  readonly time: VirtualTime
  readonly store: FakeWeightStore
  /** Called whenever the held models change. */
  readonly changed: () => void
}

/** Time to load weights, in ms. */
const loadTime = 500

const sameModel = (left: LoadedModel, right: LoadedModel): boolean =>
  left.model === right.model && left.adapter === right.adapter && left.weightVersion === right.weightVersion

/**
 * Creates an engine.
 *
 * @param options - what it holds at first, and its surroundings
 */
export const createFakeOrderWorker = (options: FakeOrderWorkerOptions): FakeOrderWorker => {
  const { id, fenced, time, store, changed } = options
  const arrivals: OrderArrival[] = []
  let models = [...options.models]
  let life = 1
  let highest = -1
  /** Who waits for each load that runs; a repeated order joins the load. */
  const loading = new Map<string, Array<(result: 'done' | 'failed') => void>>()

  const load = (model: LoadedModel, done: (result: 'done' | 'failed') => void): void => {
    if (models.some(held => sameModel(held, model))) return done('done')
    const key = JSON.stringify(model)
    const joined = loading.get(key)
    if (joined !== undefined) {
      joined.push(done)
      return
    }
    const startedIn = life
    const waiting = [done]
    loading.set(key, waiting)
    store.running++
    store.peak = Math.max(store.peak, store.running)
    time.after(loadTime, () => {
      if (life !== startedIn) return
      loading.delete(key)
      store.running--
      models.push(model)
      changed()
      waiting.forEach(tell => tell('done'))
    })
  }

  return {
    id,
    incarnation: () => `${id}-${life}`,
    fenced,
    models: () => models,
    arrivals,
    order: (arrival, done) => {
      const acted = !fenced || arrival.fence >= highest
      arrivals.push({ ...arrival, at: time.now(), acted })
      if (!acted) return done('staleFence')
      highest = Math.max(highest, arrival.fence)
      const { order } = arrival
      if (order.kind === 'load') return load(order.model, done)
      if (order.kind === 'unload') {
        models = models.filter(held => !sameModel(held, order.model))
        changed()
      }
      done('done')
    },
    restart: () => {
      life++
      models = []
      highest = -1
      store.running -= loading.size
      const cut = [...loading.values()].flat()
      loading.clear()
      changed()
      cut.forEach(tell => tell('failed'))
    }
  }
}
