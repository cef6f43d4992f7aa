/**
 * Plans the orders that move the workers towards the desired state. Orders are
 * declarative: each plan is computed from the state that workers report, so that
 * lost, late and duplicate orders are corrected by the next plan.
 */
import type { Endpoint, LoadedModel } from '../endpoints/endpointsTypes.js'
import type { EndpointOrder } from '../ports/endpointPort.js'
import type { DesiredModel } from './ordersTypes.js'

/** An order that brings a worker closer to the desired state. */
export interface PlannedOrder {
  readonly endpoint: Endpoint
  readonly order: Extract<EndpointOrder, { kind: 'load' | 'unload' }>
}

/** Fraction of a model's target workers that must hold the new version before the old one is unloaded on any worker. */
const minHolderShare = 0.5

/** Returns a key that identifies a model with its adapter and weight version. */
export const modelKey = ({ model, adapter, weightVersion }: LoadedModel): string => `${model}\u0000${adapter ?? ''}\u0000${weightVersion}`

const modelAdapterKey = ({ model, adapter }: LoadedModel): string => `${model}\u0000${adapter ?? ''}`

const hasLoaded = (endpoint: Endpoint, key: string): boolean => endpoint.models.some(model => modelKey(model) === key)

const isTarget = ({ workers }: DesiredModel, { id }: Endpoint): boolean => workers === 'all' || workers.includes(id)

const toLoadedModel = ({ model, adapter, weightVersion }: DesiredModel): LoadedModel =>
  adapter === undefined ? { model, weightVersion } : { model, adapter, weightVersion }

/** How far a desired model version is loaded on its target workers. */
interface Coverage {
  readonly desired: DesiredModel
  readonly key: string
  /** Live targets that have not loaded it. */
  readonly missing: readonly Endpoint[]
  /** Number of live targets that have loaded it. */
  readonly holders: number
  /** Whether enough workers hold it for an older version to be unloaded. */
  readonly hasEnoughHolders: boolean
}

const computeCoverage = (desired: DesiredModel, workers: readonly Endpoint[]): Coverage => {
  const key = modelKey(desired)
  const targets = workers.filter(worker => isTarget(desired, worker))
  const holders = targets.filter(worker => worker.state === 'live' && hasLoaded(worker, key)).length
  const needed = Math.max(1, Math.ceil(targets.length * minHolderShare))
  const missing = targets.filter(worker => worker.state === 'live' && !hasLoaded(worker, key))
  return { desired, key, missing, holders, hasEnoughHolders: holders >= needed }
}

const workersOf = (endpoints: readonly Endpoint[]): readonly Endpoint[] =>
  endpoints.filter(({ kind, state }) => kind === 'worker' && (state === 'live' || state === 'suspect'))

/** Loads of the versions with the fewest holders come first. */
const planLoads = (coverages: readonly Coverage[]): readonly PlannedOrder[] =>
  [...coverages]
    .sort((left, right) => left.holders - right.holders)
    .flatMap(({ desired, missing }) => missing.map(endpoint => ({ endpoint, order: { kind: 'load', model: toLoadedModel(desired) } as const })))

const mayUnload = (worker: Endpoint, loaded: LoadedModel, coverages: readonly Coverage[]): boolean => {
  const successors = coverages.filter(({ desired }) => modelAdapterKey(desired) === modelAdapterKey(loaded))
  return successors.every(({ desired, key, hasEnoughHolders }) => hasEnoughHolders && (!isTarget(desired, worker) || hasLoaded(worker, key)))
}

const planUnloads = (workers: readonly Endpoint[], coverages: readonly Coverage[]): readonly PlannedOrder[] => {
  const managed = new Set(coverages.map(({ desired }) => desired.model))
  const isDesired = (worker: Endpoint, loaded: LoadedModel): boolean =>
    coverages.some(({ desired, key }) => key === modelKey(loaded) && isTarget(desired, worker))
  return workers
    .filter(({ state }) => state === 'live')
    .flatMap(endpoint => endpoint.models
      .filter(loaded => managed.has(loaded.model) && !isDesired(endpoint, loaded) && mayUnload(endpoint, loaded, coverages))
      .map(model => ({ endpoint, order: { kind: 'unload', model } as const })))
}

/** The planned orders, most urgent first. */
export interface Plan {
  readonly loads: readonly PlannedOrder[]
  readonly unloads: readonly PlannedOrder[]
}

/**
 * Compares the desired state with the state that workers report. Models that
 * the desired state does not mention are left as they are.
 *
 * @param desired - model versions that the rules require
 * @param endpoints - all endpoints of the registry
 * @returns the loads and unloads that bring the workers closer to the desired state
 */
export const planOrders = (desired: readonly DesiredModel[], endpoints: readonly Endpoint[]): Plan => {
  const workers = workersOf(endpoints)
  const coverages = desired.map(model => computeCoverage(model, workers))
  return { loads: planLoads(coverages), unloads: planUnloads(workers, coverages) }
}
