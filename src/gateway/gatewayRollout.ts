/** Connects the rollout of weights and its lease with the workers, the settings and the fleet of a gateway. */
import type { Fleet } from '../fleet/fleetMachine.js'
import type { Moment } from '../lease/readLease.js'
import { peerRequests } from '../placement/workerLoad.js'
import type { ClaimEffect } from '../ports/claimPort.js'
import type { FleetMember } from '../ports/feedPort.js'
import type { OrderEffect } from '../ports/orderPort.js'
import type { LeaseEvent } from '../rollout/leaseEvents.js'
import { createRolloutLease } from '../rollout/rolloutLease.js'
import type { RolloutLease } from '../rollout/rolloutLeaseTypes.js'
import { createRollout, type Rollout, type RolloutEvent } from '../rollout/rolloutMachine.js'
import type { GatewayBounds } from './gatewayInterface.js'
import { createRolloutNotices } from './rolloutNotices.js'
import type { WorkerRegistry } from './workerRegistry.js'

/** What the connection depends on. */
export interface GatewayRolloutOptions {
  readonly self: FleetMember
  readonly fleet: Pick<Fleet, 'hasStoreAccess' | 'rank' | 'broadcast'>
  readonly registry: Pick<WorkerRegistry, 'workers' | 'weights' | 'loadOf'>
  readonly bounds: () => GatewayBounds
  readonly now: () => Moment
  readonly emit: (effect: ClaimEffect | OrderEffect) => void
  readonly log: (event: RolloutEvent | LeaseEvent) => void
}

/** The rollout of a gateway and the lease that it needs. */
export interface GatewayRollout {
  readonly rollout: Rollout
  readonly rolloutLease: RolloutLease
}

/**
 * Creates the rollout of weights for a gateway.
 *
 * @param options - state of the gateway
 */
export const createGatewayRollout = ({ self, fleet, registry, bounds, now: currentTime, emit, log }: GatewayRolloutOptions): GatewayRollout => {
  const { workers, weights, loadOf } = registry

  const rolloutLease = createRolloutLease({
    self,
    peers: {
      canHoldLease: (id, incarnation) => fleet.hasStoreAccess(id, incarnation, currentTime()),
      rank: () => fleet.rank(currentTime())
    },
    reacquireAfter: () => bounds().reacquireAfter,
    emit,
    notify: log
  })

  const rollout = createRollout({
    self: self.id,
    loadShare: bounds().loadShare,
    workers,
    weights,
    lease: rolloutLease,
    requestsAt: (worker, now) => loadOf(worker).flights.size + peerRequests(loadOf(worker), now),
    emit,
    notify: createRolloutNotices({ log, broadcast: fleet.broadcast })
  })

  return { rollout, rolloutLease }
}
