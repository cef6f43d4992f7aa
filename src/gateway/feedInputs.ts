/**
 * Applies the contents of the platform's store and of the part stores to the
 * features of an instance. An instance that reads the store for others tells them
 * at once of a new configuration or version of weights, since they do not poll for it.
 */
import { assertNever } from '../errors.js'
import type { Fleet } from '../fleet/fleetMachine.js'
import { storeContactTimeout } from '../fleet/peerLiveness.js'
import type { Moment, ReadLease } from '../lease/readLease.js'
import { parseCacheScope } from '../placement/cacheScope.js'
import type { FeedInput } from '../ports/feedPort.js'
import type { StreamOrigins } from '../streamOrigins/streamOrigins.js'
import type { ConfigurationInForce } from './configurationInForce.js'
import type { GatewayEffect, GatewayLogEvent } from './gatewayTypes.js'
import type { PartStores } from '../placement/partStores.js'
import { createStoreProof } from './storeProof.js'
import type { StoreReader } from './storeReader.js'
import type { WorkerRegistry } from './workerRegistry.js'

/** The features to which the contents are applied. */
export interface FeedTargets {
  readonly configuration: ConfigurationInForce
  /** Read lease on the configuration. */
  readonly lease: ReadLease
  /** Read lease renewed only by proofs from the store itself. */
  readonly storeLease: ReadLease
  readonly registry: WorkerRegistry
  readonly partStores: PartStores
  readonly fleet: Fleet
  readonly storeReader: StoreReader
  /** Records an announced version of weights; returns whether it is newer than the newest known. */
  readonly noteAnnouncedWeights: (model: string, version: number) => boolean
  readonly streamOrigins: Pick<StreamOrigins, 'storeRestored'>
  readonly emit: (effect: GatewayEffect) => void
  readonly log: (event: GatewayLogEvent) => void
}

/**
 * Creates the handler of inputs from the stores.
 *
 * @param targets - the features to which the contents are applied
 * @returns the handler
 */
export const createFeedHandler = (targets: FeedTargets): (input: FeedInput, now: Moment) => void => {
  const { configuration, lease, storeLease, registry, partStores, fleet, storeReader, emit, log } = targets
  const storeProof = createStoreProof()

  const announceNews = (now: Moment): void => { if (storeReader.mode() === 'forAll') fleet.announce(now) }

  /** Records a response of the store that proves the state at `asOf`. The others rely on an instance that reads for all only once they have heard that it reaches the store. */
  const applyProof = (asOf: Moment, now: Moment): void => {
    const isRegained = storeLease.age(now) >= storeContactTimeout
    storeLease.renew(asOf)
    if (isRegained) announceNews(now)
    if (storeProof.isValid(configuration.version(), now.steady)) lease.renew(asOf)
  }

  const isOutdatedScope = (scope: string): boolean => {
    const scoped = parseCacheScope(scope)
    return scoped !== undefined && scoped.version < (registry.weights.newest(scoped.model)?.version ?? -Infinity)
  }

  return (input, now) => {
    switch (input.kind) {
      case 'feed.catalog':
        storeProof.noteCatalog(input.catalog.version)
        if (configuration.apply(input.catalog, 'store', lease.age(now))) announceNews(now)
        return
      case 'feed.proof': return applyProof(input.asOf, now)
      case 'feed.weights':
        if (targets.noteAnnouncedWeights(input.model, input.version)) announceNews(now)
        return
      case 'feed.workers': return registry.apply(input.records, input.complete, now.steady)
      case 'feed.members': return emit({ kind: 'gateway.peers', members: fleet.setMembers(input.members, input.withdrawn) })
      case 'feed.parts':
        if (input.restarted) log({ kind: 'partStoreRestarted' })
        return partStores.apply(input.store, input.restarted, input.changes, isOutdatedScope)
      case 'feed.restored':
        storeProof.noteRestored(now.steady)
        registry.workers.noteOutage(now.steady)
        targets.streamOrigins.storeRestored(now.steady)
        return log({ kind: 'storeRestored', era: input.era })
      case 'feed.lost':
        if (input.store !== undefined) partStores.markUnreachable(input.store)
        return log({ kind: 'dependencyLost', dependency: input.dependency, reason: input.reason })
      case 'feed.regained': return log({ kind: 'dependencyRegained', dependency: input.dependency })
      default: assertNever(input)
    }
  }
}
