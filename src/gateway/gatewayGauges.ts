/** Reads the gauges of a gateway from its features. */
import type { PlacementCoordination } from '../coordination/placementCoordination.js'
import type { Fleet } from '../fleet/fleetMachine.js'
import type { Forwarding } from '../forwarding/forwardingMachine.js'
import type { RequestOrder } from '../forwarding/requestOrder.js'
import type { Moment, ReadLease } from '../lease/readLease.js'
import type { PoisonRequests } from '../poisonRequests/poisonRequests.js'
import type { WorkspaceQuotas } from '../quotas/workspaceQuotas.js'
import type { RolloutLease } from '../rollout/rolloutLeaseTypes.js'
import type { StreamOrigins } from '../streamOrigins/streamOrigins.js'
import type { WorkerReach } from '../workerReach/workerReachTypes.js'
import type { ConfigurationInForce } from './configurationInForce.js'
import type { GatewayGauges } from './gatewayTypes.js'
import type { WorkerRegistry } from './workerRegistry.js'

/** The features that have gauges. */
export interface GaugedFeatures {
  readonly forwarding: Pick<Forwarding, 'size' | 'waiting'>
  readonly lease: Pick<ReadLease, 'age'>
  readonly configuration: Pick<ConfigurationInForce, 'version'>
  readonly fleet: Pick<Fleet, 'size'>
  readonly registry: Pick<WorkerRegistry, 'workers' | 'limits'>
  readonly poisonRequests: Pick<PoisonRequests, 'sizes'>
  readonly workerReach: Pick<WorkerReach, 'cutOffCount'>
  readonly quotas: Pick<WorkspaceQuotas, 'sizes'>
  readonly requestOrder: Pick<RequestOrder, 'shortage'>
  readonly streamOrigins: Pick<StreamOrigins, 'unrecorded'>
  readonly coordination: Pick<PlacementCoordination, 'gauges'>
  readonly rolloutLease: Pick<RolloutLease, 'fence'>
}

/**
 * Reads the gauges.
 *
 * @param features - the features of one instance
 * @param now - present time
 */
export const readGauges = ({ forwarding, lease, configuration, fleet, registry, poisonRequests, workerReach, quotas, requestOrder, streamOrigins, coordination, rolloutLease }: GaugedFeatures, now: Moment): GatewayGauges => ({
  requests: forwarding.size(),
  waiting: forwarding.waiting(),
  proofAge: lease.age(now),
  configuration: configuration.version(),
  instances: fleet.size(now),
  workers: [...registry.workers.all()].length,
  limitedWorkers: registry.limits.all().length,
  blockedParts: poisonRequests.sizes().parts,
  blockedRequests: poisonRequests.sizes().requests,
  cutOffServices: workerReach.cutOffCount(),
  deniedWorkspaces: quotas.sizes().denied,
  grantedWorkspaces: quotas.sizes().granting,
  shortage: requestOrder.shortage(now.steady),
  unrecordedStreams: streamOrigins.unrecorded(),
  rolloutFence: rolloutLease.fence(now) ?? 0,
  ...coordination.gauges()
})
