/**
 * The core of a gateway: an instance that forwards requests as they are to
 * workers which discovery announces. It ties the features together; each input
 * goes to the feature that takes it, and what they ask for is gathered.
 */
import { createRetryBudget, type RetryBudgetOptions, type RetryBudget } from '../admission/retryBudget.js'
import { indexCatalog, type CatalogIndex } from '../catalog/catalogIndex.js'
import type { Address, Catalog } from '../catalog/catalogTypes.js'
import { assertNever } from '../errors.js'
import { chooseFronts } from '../fleet/directory.js'
import { createStrain } from '../fleet/strain.js'
import { createFleet } from '../fleet/fleetMachine.js'
import { fleetMessageSchema } from '../fleet/fleetMessages.js'
import type { ForwardingBounds } from '../forwarding/forwardingContext.js'
import { createForwarding } from '../forwarding/forwardingMachine.js'
import type { Hash } from '../hash.js'
import { createReadLease, type Moment } from '../lease/readLease.js'
import { weightsOf } from '../placement/cacheScope.js'
import { foreignRequests } from '../placement/workerLoad.js'
import type { FeedInput, FleetMember } from '../ports/feedPort.js'
import type { PeerMessage } from '../ports/peerPort.js'
import type { Random } from '../random.js'
import { createRolloutLease } from '../rollout/rolloutLease.js'
import { createRollout, type RolloutNotice } from '../rollout/rolloutMachine.js'
import type { GatewayEffect, GatewayInput, GatewayLogEvent } from './gatewayTypes.js'
import { createShutdown, type ShutdownBounds } from './shutdown.js'
import { createStoreReader } from './storeReader.js'
import { createPartStoreIndex } from './partStoreIndex.js'
import { createWorkerRegistry, defaultMemoryTokens } from './workerRegistry.js'

/** Bounds that a gateway keeps; times in ms. */
export interface GatewayBounds extends ShutdownBounds {
  readonly forwarding: ForwardingBounds
  readonly retries: RetryBudgetOptions
  /** Part of a service's workers that may load weights at once. */
  readonly loadShare: number
}

/** What a gateway is made of. */
export interface GatewayOptions {
  readonly self: FleetMember
  readonly bounds: () => GatewayBounds
  readonly hash: Hash
  readonly random: Random
}

/** Where callers may connect, and for how long they may keep that. */
export interface DirectoryAnswer {
  readonly addresses: readonly string[]
  /** In ms. */
  readonly ttl: number
}

/** The core of a gateway. */
export interface Gateway {
  readonly handle: (input: GatewayInput, now: Moment) => readonly GatewayEffect[]
  readonly directory: (now: Moment) => DirectoryAnswer
  readonly isReady: (now: Moment) => boolean
  readonly gauges: (now: Moment) => { readonly requests: number, readonly waiting: number, readonly proofAge: number, readonly configuration: number, readonly instances: number, readonly workers: number }
  readonly dump: (now: Moment) => unknown
}

/** Time between ticks, in ms. */
export const tickInterval = 20
/** Size of a fleet up to which instances tell each other of every long prompt; in a larger one, where messages would grow with its square, only of shared parts that a worker reads for the first time. */
const tellingFleet = 12

const sameAddress = (left: Address | undefined, right: Address | undefined): boolean =>
  left?.host === right?.host && left?.port === right?.port

/**
 * Creates the core of a gateway.
 *
 * @param options - this instance and its bounds
 */
export const createGateway = (options: GatewayOptions): Gateway => {
  const { self, bounds, hash, random } = options
  const effects: GatewayEffect[] = []
  const emit = (effect: GatewayEffect): void => { effects.push(effect) }
  const note = (entry: GatewayLogEvent): void => emit({ kind: 'gateway.note', note: entry })

  const lease = createReadLease()
  /** Proofs from the store alone, without those of other instances. */
  const storeLease = createReadLease()
  const registry = createWorkerRegistry({
    catalog: () => index,
    note,
    publish: records => { if (reading.mode() === 'forAll') fleet.broadcast({ kind: 'fleet.workers', records: [...records] }) }
  })
  const { workers, weights, loadOf, keptBy } = registry
  const stored = createPartStoreIndex()
  const strain = createStrain(tickInterval)
  const windows = new Map<string, RetryBudget>()
  let index: CatalogIndex | undefined
  let followed: Address | undefined
  let present: Moment = { steady: 0, wall: 0 }
  let announced = false

  const retries = (service: string): RetryBudget => {
    const known = windows.get(service) ?? createRetryBudget(bounds().retries)
    windows.set(service, known)
    return known
  }

  const isReady = (now: Moment): boolean =>
    !leaving.isShuttingDown() && index !== undefined && lease.age(now) < bounds().forwarding.keys

  const takeCatalog = (catalog: Catalog, source: 'store' | 'peer'): void => {
    if (index !== undefined && catalog.version <= index.catalog.version) return
    index = indexCatalog(catalog)
    note({ kind: 'configurationInForce', version: catalog.version, source, proofAge: Math.round(Math.min(lease.age(present), Number.MAX_SAFE_INTEGER)) })
    const { bodyBytes, idleTimeout, headerTimeout } = catalog.limits
    emit({ kind: 'gateway.limits', bodyBytes, idleTimeout, headerTimeout })
    const address = index.partStore?.address
    if (sameAddress(address, followed)) return
    followed = address
    stored.setStore(address, index.partStore?.memoryTokens ?? defaultMemoryTokens)
    emit({ kind: 'parts.follow', address })
  }

  const nameWeights = (model: string, version: number): void => {
    if (weights.name(model, version, present.steady)) note({ kind: 'weightsNamed', model, version })
  }

  const fleet = createFleet({
    self,
    hash,
    own: now => ({
      ready: isReady(now),
      leaving: leaving.isShuttingDown(),
      strained: strain.isStrained(),
      configuration: index?.catalog.version ?? 0,
      proofAge: lease.age(now),
      storeAge: storeLease.age(now),
      holding: rolloutLease.holds(),
      readFor: reading.mode() === 'forAll' ? { workers: workers.digest(hash), partStore: stored.isReachable() } : undefined,
      weights: weights.models().flatMap(model => {
        const newest = weights.newest(model)
        return newest === undefined ? [] : [{ model, version: newest.version }]
      })
    }),
    ownCatalog: () => index?.catalog,
    emit,
    events: {
      proven: (version, asOf) => { if (version === index?.catalog.version) lease.renew(asOf) },
      catalog: catalog => takeCatalog(catalog, 'peer'),
      weightsNamed: nameWeights,
      workerLoading: (worker, time) => weights.noteLoading(worker, present.steady + time),
      workerLoaded: registry.noteLoaded,
      workerSent: sent => registry.noteSentByPeer(sent, present.steady),
      workerDoubted: worker => forwarding.doubt(worker, present.steady),
      workersConcluded: records => { if (reading.mode() === 'throughPeers') registry.applyFromPeer(records) },
      readerBelieves: state => reading.handleReaderState(state, present.steady),
      peerChanged: (peer, change) => note({ kind: 'peerChanged', peer, change })
    }
  })

  const reading = createStoreReader({
    situation: now => ({ size: fleet.size(now), readersBefore: fleet.readersBefore(now), proofAge: lease.age(now), holding: rolloutLease.holds() }),
    digest: () => workers.digest(hash),
    emit,
    onModeChange: mode => note({ kind: 'readingChanged', reading: mode }),
    onPartStoreReachable: stored.setReachable,
    onWorkersRead: workers.noteRead
  })

  const rolloutLease = createRolloutLease(self, {
    isAble: (id, incarnation) => fleet.isAble(id, incarnation, present),
    rank: () => fleet.rank(present)
  }, emit)

  const tellRollout = (notice: RolloutNotice): void => {
    note(notice)
    switch (notice.kind) {
      case 'loading': return fleet.broadcast({ ...notice, kind: 'fleet.loading' })
      case 'loaded': return fleet.broadcast({ ...notice, kind: 'fleet.loaded' })
      case 'orderAnswered': return
      default: assertNever(notice)
    }
  }

  const rollout = createRollout({
    self: self.id,
    loadShare: bounds().loadShare,
    workers,
    weights,
    lease: rolloutLease,
    workAt: (worker, now) => loadOf(worker).flights.size + foreignRequests(loadOf(worker), now),
    emit,
    tell: tellRollout
  })

  const forwarding = createForwarding({
    dataCentre: self.dataCentre,
    catalog: () => index,
    lease,
    bounds: () => bounds().forwarding,
    workers,
    weights,
    loadOf,
    keptBy,
    stored: stored.parts,
    followsStore: () => reading.mode() !== 'throughPeers',
    retries,
    instances: () => fleet.size(present),
    hash,
    random,
    emit,
    note,
    tellSent: (worker, unreadTokens, scope, parts, first) => {
      if (first || fleet.size(present) <= tellingFleet) fleet.broadcast({ kind: 'fleet.sent', worker, unreadTokens, scope, parts: [...parts] })
    },
    tellDoubt: worker => fleet.broadcast({ kind: 'fleet.doubt', worker })
  })

  const isOldScope = (scope: string): boolean => {
    const scoped = weightsOf(scope)
    return scoped !== undefined && scoped.version < (weights.newest(scoped.model)?.version ?? -Infinity)
  }

  const takeFeed = (input: FeedInput): void => {
    switch (input.kind) {
      case 'feed.catalog': return takeCatalog(input.catalog, 'store')
      case 'feed.proof':
        storeLease.renew(input.asOf)
        return lease.renew(input.asOf)
      case 'feed.weights': return nameWeights(input.model, input.version)
      case 'feed.workers': return registry.apply(input.records, input.complete, present.steady)
      case 'feed.members': return emit({ kind: 'gateway.peers', members: fleet.setMembers(input.members, input.withdrawn) })
      case 'feed.parts':
        if (input.restarted) note({ kind: 'partStoreRestarted' })
        return stored.apply(input.restarted, input.changes, isOldScope)
      case 'feed.lost':
        if (input.dependency === 'partStore') stored.markUnreachable()
        return note({ kind: 'dependencyLost', dependency: input.dependency, reason: input.reason })
      case 'feed.regained': return note({ kind: 'dependencyRegained', dependency: input.dependency })
      default: assertNever(input)
    }
  }

  const takePeerMessage = (from: string, message: PeerMessage): void => {
    const parsed = fleetMessageSchema.safeParse(message)
    if (parsed.success) fleet.receive(from, parsed.data, present)
    else note({ kind: 'garbledPeerMessage', from })
  }

  const leaving = createShutdown({
    id: self.id,
    bounds,
    requests: () => forwarding.size(),
    announce: () => {
      fleet.announce(present)
      rolloutLease.release(present)
    },
    emit,
    note
  })

  const noteStrain = (): void => {
    const before = strain.isStrained()
    strain.noteTick(present.steady)
    if (strain.isStrained() !== before) note({ kind: 'strainChanged', strained: !before })
  }

  const tick = (): void => {
    noteStrain()
    if (!announced) {
      announced = true
      emit({ kind: 'member.announce', member: self })
    }
    registry.expire(present.steady)
    fleet.tick(present)
    reading.tick(present)
    if (!leaving.isShuttingDown()) rollout.tick(present)
    forwarding.tick(present)
    leaving.tick(present.steady)
  }

  const dispatch = (input: GatewayInput): void => {
    switch (input.kind) {
      case 'call.arrived':
      case 'call.unreadable':
      case 'call.left':
      case 'attempt.head':
      case 'attempt.data':
      case 'attempt.ended':
      case 'attempt.failed':
      case 'worker.probed': return forwarding.handle(input, present)
      case 'feed.catalog':
      case 'feed.proof':
      case 'feed.weights':
      case 'feed.workers':
      case 'feed.members':
      case 'feed.parts':
      case 'feed.lost':
      case 'feed.regained': return takeFeed(input)
      case 'claim.records':
      case 'claim.accepted':
      case 'claim.refused':
      case 'claim.failed': return rolloutLease.answer(input, present)
      case 'order.answered':
      case 'worker.told': return rollout.answer(input, present)
      case 'peer.message': return takePeerMessage(input.from, input.message)
      case 'peer.lost': return
      case 'tick': return tick()
      case 'gateway.leave': return leaving.begin(present.steady)
      default: assertNever(input)
    }
  }

  const handle = (input: GatewayInput, now: Moment): readonly GatewayEffect[] => {
    present = now
    dispatch(input)
    return effects.splice(0)
  }

  const directory = (now: Moment): DirectoryAnswer => {
    const others = fleet.serving(now)
    const own = { member: self, strained: strain.isStrained() }
    const serving = isReady(now) || others.length === 0 ? [own, ...others] : others
    return { addresses: chooseFronts(self.id, serving, hash), ttl: bounds().addressLife }
  }

  return {
    handle,
    directory,
    isReady,
    gauges: now => ({
      requests: forwarding.size(),
      waiting: forwarding.waiting(),
      proofAge: lease.age(now),
      configuration: index?.catalog.version ?? 0,
      instances: fleet.size(now),
      workers: [...workers.all()].length
    }),
    dump: now => ({
      self,
      configuration: index?.catalog.version,
      proofAge: lease.age(now),
      forwarding: forwarding.dump(),
      fleet: fleet.dump(now),
      rollout: rollout.dump(),
      reading: reading.mode(),
      workers: registry.dump()
    })
  }
}
