/** Describes a prompt and the workers that may get it, for the choice of a worker by this instance or by a coordinator. */
import type { ModelPurpose, Workspace } from '../catalog/catalogTypes.js'
import { cacheScope, noIsolation } from '../placement/cacheScope.js'
import { sharedParts, type ModelCandidate, type ModelPlacementInput } from '../placement/modelPlacement.js'
import type { WorkerLoad } from '../placement/workerLoad.js'
import type { Prompt } from '../ports/forwardPort.js'
import type { Worker } from '../workers/workersTypes.js'
import type { ForwardingContext } from './forwardingContext.js'

/** What the description depends on. */
export type ModelQueryContext = Pick<ForwardingContext, 'weights' | 'cachedPartsOf' | 'dataCentre' | 'partStoreOf' | 'catalog'>

/** The prompt and the workers that may get it. */
export interface ModelQuery {
  readonly input: ModelPlacementInput
  readonly candidates: readonly ModelCandidate[]
}

/** Mean prefill time per token of the workers for which it has been measured, in ms; 0 if there are none. */
const meanTokenCost = (workers: readonly Worker[], loadOf: (worker: string) => WorkerLoad): number => {
  const known = workers.map(({ id }) => loadOf(id).tokenCost).filter(cost => cost > 0)
  return known.length === 0 ? 0 : known.reduce((sum, cost) => sum + cost, 0) / known.length
}

/**
 * Describes a prompt and its workers.
 *
 * @param context - state of the instance
 * @param prompt - the prompt
 * @param purpose - purpose of the service
 * @param workspace - workspace of the request as the request found it at its arrival
 * @param workers - workers that may get it; those that load weights are left out
 * @param loadOf - loads of the workers
 * @param now - present time, in ms
 */
export const modelQuery = (context: ModelQueryContext, prompt: Prompt, purpose: ModelPurpose, workspace: Workspace | undefined, workers: readonly Worker[], loadOf: (worker: string) => WorkerLoad, now: number): ModelQuery => ({
  input: { prompt, purpose, stored: context.partStoreOf(sharedParts(prompt))?.index, meanTokenCost: meanTokenCost(workers, loadOf) },
  candidates: workers
    .filter(worker => !context.weights.isLoading(worker.id, now))
    .map((worker): ModelCandidate => ({
      id: worker.id,
      load: loadOf(worker.id),
      kept: context.cachedPartsOf(worker.id),
      slots: worker.slots || purpose.slots,
      outdatedFor: context.weights.outdatedFor(worker, prompt.model, now),
      scope: cacheScope(prompt.model, context.weights.held(worker, prompt.model), workspace, context.catalog()?.cacheIsolation ?? noIsolation),
      sameDataCentre: worker.dataCentre === context.dataCentre
    }))
})
