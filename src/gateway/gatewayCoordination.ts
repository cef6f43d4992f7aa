/** Connects placement by coordinators with the workers, the configuration and the fleet of a gateway. */
import type { CoordinatorLogEvent } from '../coordination/coordinatorTrust.js'
import type { PlacementRequest } from '../coordination/coordinationMessages.js'
import type { GroupQuery } from '../coordination/groupPlacement.js'
import { createPlacementCoordination, type PlacementCoordination } from '../coordination/placementCoordination.js'
import type { RoomLimits } from '../coordination/workerRoom.js'
import type { Fleet } from '../fleet/fleetMachine.js'
import { modelQuery, type ModelQueryContext } from '../forwarding/modelQuery.js'
import type { Hash } from '../hash.js'
import type { Moment } from '../lease/readLease.js'
import { sharedParts } from '../placement/modelPlacement.js'
import type { WorkerLoad } from '../placement/workerLoad.js'
import type { FleetMember } from '../ports/feedPort.js'
import type { Random } from '../random.js'
import type { Worker } from '../workers/workersTypes.js'
import type { WorkerRegistry } from './workerRegistry.js'

/** What the connection depends on. */
export interface GatewayCoordinationOptions extends Pick<ModelQueryContext, 'partStoreOf' | 'catalog'> {
  readonly self: FleetMember
  readonly hash: Hash
  readonly random: Random
  readonly fleet: Pick<Fleet, 'size' | 'coordinators' | 'send'>
  readonly registry: Pick<WorkerRegistry, 'workers' | 'weights' | 'loadOf' | 'cachedPartsOf'>
  readonly now: () => Moment
  /** Called when the coordinator has answered for a request. */
  readonly onAnswer: (request: number) => void
  readonly log: (event: CoordinatorLogEvent) => void
}

/**
 * Creates placement by coordinators for a gateway.
 *
 * @param options - state of the gateway
 */
export const createGatewayCoordination = ({ self, hash, random, fleet, registry, catalog, partStoreOf, now: currentTime, onAnswer, log }: GatewayCoordinationOptions): PlacementCoordination => {
  const { workers, weights, loadOf, cachedPartsOf } = registry
  const context: ModelQueryContext = { weights, cachedPartsOf, dataCentre: self.dataCentre, partStoreOf, catalog }

  const limitsOf = ({ service, slots }: Worker): RoomLimits => {
    const purpose = catalog()?.service(service)?.purpose
    return purpose?.kind === 'model' ? { slots: slots || purpose.slots, memoryTokens: purpose.memoryTokens } : { slots, memoryTokens: Infinity }
  }

  const queryOf = ({ service, prompt, workspace }: PlacementRequest, allowed: readonly Worker[], countedLoadOf: (worker: string) => WorkerLoad, now: number): GroupQuery | undefined => {
    const index = catalog()
    const purpose = index?.service(service)?.purpose
    if (index === undefined || purpose === undefined) return undefined
    if (purpose.kind === 'model' && prompt !== undefined) {
      const found = workspace === undefined ? undefined : index.workspace(workspace)
      return { kind: 'model', ...modelQuery(context, prompt, purpose, found, allowed, countedLoadOf, now) }
    }
    return { kind: 'plain', candidates: allowed.map(worker => ({ id: worker.id, load: countedLoadOf(worker.id), slots: limitsOf(worker).slots, sameDataCentre: worker.dataCentre === self.dataCentre })) }
  }

  return createPlacementCoordination({
    self: self.id,
    hash,
    random,
    instances: () => fleet.size(currentTime()),
    coordinators: () => fleet.coordinators(currentTime()),
    liveWorkers: workers.live,
    services: () => (catalog()?.catalog.services ?? []).map(({ name }) => name),
    startedAt: worker => workers.get(worker)?.startedAt,
    loadOf,
    limitsOf,
    queryOf,
    noteParts: (worker, scope, { prompt }) => { if (prompt !== undefined) cachedPartsOf(worker).add(scope, sharedParts(prompt)) },
    send: fleet.send,
    onAnswer,
    log
  })
}
