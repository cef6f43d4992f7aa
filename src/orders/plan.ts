/**
 * Which orders bring the workers nearer to the desired state. Orders are
 * declarative: the plan is made anew from what the workers report, so that
 * lost, late and repeated orders are all repaired by the next plan.
 */
import type { Endpoint, LoadedModel } from '../endpoints/endpointsTypes.js'
import type { EndpointOrder } from '../ports/endpointPort.js'
import type { DesiredModel } from './ordersTypes.js'

/** An order that would help. */
export interface PlannedOrder {
  readonly endpoint: Endpoint
  readonly order: Extract<EndpointOrder, { kind: 'load' | 'unload' }>
}

/** The part of a model's workers that hold the new version before the old one is unloaded anywhere. */
const enoughShare = 0.5

/** Identifies a model with its adapter and version. */
export const modelKey = ({ model, adapter, weightVersion }: LoadedModel): string => `${model}\u0000${adapter ?? ''}\u0000${weightVersion}`

const groupKey = ({ model, adapter }: LoadedModel): string => `${model}\u0000${adapter ?? ''}`

const holds = (endpoint: Endpoint, key: string): boolean => endpoint.models.some(model => modelKey(model) === key)

const isTarget = ({ workers }: DesiredModel, { id }: Endpoint): boolean => workers === 'all' || workers.includes(id)

const loadedModel = ({ model, adapter, weightVersion }: DesiredModel): LoadedModel =>
  adapter === undefined ? { model, weightVersion } : { model, adapter, weightVersion }

interface Coverage {
  readonly desired: DesiredModel
  readonly key: string
  readonly missing: readonly Endpoint[]
  readonly holders: number
  /** Whether enough workers hold it that others may give up an older version. */
  readonly enough: boolean
}

const coverageOf = (desired: DesiredModel, workers: readonly Endpoint[]): Coverage => {
  const key = modelKey(desired)
  const targets = workers.filter(worker => isTarget(desired, worker))
  const holders = targets.filter(worker => worker.state === 'live' && holds(worker, key)).length
  const needed = Math.max(1, Math.ceil(targets.length * enoughShare))
  const missing = targets.filter(worker => worker.state === 'live' && !holds(worker, key))
  return { desired, key, missing, holders, enough: holders >= needed }
}

const workersOf = (endpoints: readonly Endpoint[]): readonly Endpoint[] =>
  endpoints.filter(({ kind, state }) => kind === 'worker' && (state === 'live' || state === 'suspect'))

/** Versions with the fewest holders come first. */
const loads = (coverages: readonly Coverage[]): readonly PlannedOrder[] =>
  [...coverages]
    .sort((left, right) => left.holders - right.holders)
    .flatMap(({ desired, missing }) => missing.map(endpoint => ({ endpoint, order: { kind: 'load', model: loadedModel(desired) } as const })))

const mayUnload = (worker: Endpoint, held: LoadedModel, coverages: readonly Coverage[]): boolean => {
  const successors = coverages.filter(({ desired }) => groupKey(desired) === groupKey(held))
  return successors.every(({ desired, key, enough }) => enough && (!isTarget(desired, worker) || holds(worker, key)))
}

const unloads = (workers: readonly Endpoint[], coverages: readonly Coverage[]): readonly PlannedOrder[] => {
  const managed = new Set(coverages.map(({ desired }) => desired.model))
  const wanted = (worker: Endpoint, held: LoadedModel): boolean =>
    coverages.some(({ desired, key }) => key === modelKey(held) && isTarget(desired, worker))
  return workers
    .filter(({ state }) => state === 'live')
    .flatMap(endpoint => endpoint.models
      .filter(held => managed.has(held.model) && !wanted(endpoint, held) && mayUnload(endpoint, held, coverages))
      .map(model => ({ endpoint, order: { kind: 'unload', model } as const })))
}

/** The orders that would help, most urgent first. */
export interface Plan {
  readonly loads: readonly PlannedOrder[]
  readonly unloads: readonly PlannedOrder[]
}

/**
 * Compares the desired state with what the workers report. Models that the
 * desired state does not name at all are left alone.
 *
 * @param desired - from the rules
 * @param endpoints - the registry's list
 * @returns the orders that would help
 */
export const planOrders = (desired: readonly DesiredModel[], endpoints: readonly Endpoint[]): Plan => {
  const workers = workersOf(endpoints)
  const coverages = desired.map(model => coverageOf(model, workers))
  return { loads: loads(coverages), unloads: unloads(workers, coverages) }
}
