/**
 * Core of a gateway: an instance that forwards requests unchanged to the workers
 * that service discovery announces. It connects the features: it dispatches each
 * input to the feature that handles it, and collects the effects that the
 * features request.
 */
import { createRetryBudget, type RetryBudget } from '../admission/retryBudget.js'
import type { Address } from '../catalog/catalogTypes.js'
import { assertNever } from '../errors.js'
import { createLagDetector } from '../fleet/lagDetector.js'
import { createFleet } from '../fleet/fleetMachine.js'
import { fleetMessageSchema } from '../fleet/fleetMessages.js'
import { createForwarding } from '../forwarding/forwardingMachine.js'
import { createRequestOrder } from '../forwarding/requestOrder.js'
import { createRouteDurations } from '../forwarding/routeDurations.js'
import { createUsableWeights } from '../forwarding/usableWeights.js'
import { splitHostPort } from '../hostPort.js'
import { createReadLease, type Moment } from '../lease/readLease.js'
import { createStoreBudget } from '../placement/storeBudget.js'
import type { PeerMessage } from '../ports/peerPort.js'
import { createGatewayCoordination } from './gatewayCoordination.js'
import { createGatewayRollout } from './gatewayRollout.js'
import { createPoisonRequests } from '../poisonRequests/poisonRequests.js'
import { createRequestFingerprints } from '../poisonRequests/requestFingerprint.js'
import { createWorkspaceQuotas } from '../quotas/workspaceQuotas.js'
import { createStreamOrigins } from '../streamOrigins/streamOrigins.js'
import { createWorkerReach } from '../workerReach/workerReach.js'
import { createWorkerLimits } from '../workerLimits/workerLimits.js'
import { createConfigurationInForce } from './configurationInForce.js'
import { createFeedHandler } from './feedInputs.js'
import { readGauges } from './gatewayGauges.js'
import type { Gateway, GatewayOptions } from './gatewayInterface.js'
import type { GatewayEffect, GatewayInput, GatewayLogEvent } from './gatewayTypes.js'
import { createInstanceDirectory } from './instanceDirectory.js'
import { createShutdown } from './shutdown.js'
import { createPartStores } from '../placement/partStores.js'
import { createStoreReader } from './storeReader.js'
import { createWorkerRegistry } from './workerRegistry.js'

/** Number of instances that tell another one which workers are leaving; that one may be among them, and a second one may have just started, too. */
const leavingTellers = 4
/** Time between ticks, in ms. */
export const tickInterval = 20
/** Longest time, in ms, for which a worker gets no requests because another instance says that it loads weights. */
const maxLoadTime = 60_000
/** Fleet size up to which instances inform each other of every long prompt. In a larger fleet, where the number of messages would grow quadratically, they do so only for shared parts that a worker prefills for the first time. */
const maxFleetForAllPrompts = 12

/**
 * Creates the core of a gateway.
 *
 * @param options - this instance, its bounds, and the sources of hashes and random numbers
 */
export const createGateway = (options: GatewayOptions): Gateway => {
  const { self, bounds, hash, random } = options
  const effects: GatewayEffect[] = []
  const emit = (effect: GatewayEffect): void => { effects.push(effect) }
  const log = (entry: GatewayLogEvent): void => emit({ kind: 'gateway.note', note: entry })
  const reportError = (place: string, error: unknown): void => emit({ kind: 'gateway.error', place, error })
  /** Runs a step whose failure must not keep the following ones from running. */
  const guard = (place: string, step: () => void): void => {
    try {
      step()
    } catch (error) {
      reportError(place, error)
    }
  }

  const lease = createReadLease()
  /** Read lease renewed only by proofs from the store itself, not by those of other instances. */
  const storeLease = createReadLease()
  const partStores = createPartStores(hash)
  const configuration = createConfigurationInForce({ hash, partStores, emit, log })
  const registry = createWorkerRegistry({
    catalog: configuration.index,
    log,
    publish: records => { if (storeReader.mode() === 'forAll') fleet.broadcast({ kind: 'fleet.workers', records: [...records] }) }
  })
  const { workers, weights, loadOf, cachedPartsOf } = registry
  const storeBudget = createStoreBudget()
  const lagDetector = createLagDetector(tickInterval)
  const retryBudgets = new Map<string, RetryBudget>()
  let currentTime: Moment = { steady: 0, wall: 0 }
  let memberAnnounced = false

  const retries = (service: string): RetryBudget => {
    const known = retryBudgets.get(service) ?? createRetryBudget(bounds().retries)
    retryBudgets.set(service, known)
    return known
  }

  const isReady = (now: Moment): boolean =>
    !shutdown.isShuttingDown() && configuration.index() !== undefined && lease.age(now) < bounds().forwarding.keys

  /** Returns whether the version is newer than the newest known. */
  const noteAnnouncedWeights = (model: string, version: number): boolean => {
    const isNew = weights.name(model, version, currentTime.steady)
    if (isNew) log({ kind: 'weightsNamed', model, version })
    return isNew
  }

  /** Tells an instance that may have just started which workers have said that they are leaving; a few instances do so for all. */
  const tellLeavingWorkers = (peer: string): void => {
    if (!fleet.ownersOf(peer, leavingTellers, currentTime).includes(self.id)) return
    for (const { id, startedAt } of workers.leavingUnlisted()) fleet.send(peer, { kind: 'fleet.workerLeaving', worker: id, startedAt })
  }

  const fleet = createFleet({
    self,
    hash,
    own: now => ({
      ready: isReady(now),
      leaving: shutdown.isShuttingDown(),
      strained: lagDetector.isLagging(),
      cutOff: workerReach.cutOffCount() > 0,
      configuration: configuration.version(),
      proofAge: lease.age(now),
      storeAge: storeLease.age(now),
      holding: rolloutLease.holds(),
      readFor: storeReader.mode() === 'forAll' ? { workers: workers.digest(hash), partStore: partStores.isFirstReachable(), partStores: [...partStores.reachable()] } : undefined,
      weights: weights.models().flatMap(model => {
        const newest = weights.newest(model)
        return newest === undefined ? [] : [{ model, version: newest.version }]
      })
    }),
    ownCatalog: () => configuration.index()?.catalog,
    emit,
    events: {
      configurationProven: (version, asOf) => { if (version === configuration.version()) lease.renew(asOf) },
      configurationBehind: () => { if (storeReader.mode() === 'throughPeers') emit({ kind: 'configuration.read' }) },
      catalog: catalog => { configuration.apply(catalog, 'peer', lease.age(currentTime)) },
      weightsNamed: (model, version) => { noteAnnouncedWeights(model, version) },
      workerLoading: (worker, time) => weights.noteLoading(worker, currentTime.steady + Math.min(time, maxLoadTime)),
      workerLoaded: registry.noteLoaded,
      peerSentToWorker: sent => {
        registry.noteSentByPeer(sent, currentTime.steady)
        // An instance that follows the part store hears of it from the store itself.
        if (sent.stores && storeReader.mode() === 'throughPeers') partStores.storeOf(sent.parts)?.index.add(sent.scope, sent.parts)
      },
      workerLeaving: (worker, startedAt) => { workers.noteLeaving(worker, startedAt) },
      workerDoubted: worker => forwarding.suspectWorker(worker, currentTime.steady),
      workerRecordsReceived: records => { if (storeReader.mode() === 'throughPeers') registry.applyFromPeer(records) },
      readerStateReceived: state => storeReader.handleReaderState(state, currentTime.steady),
      coordinationMessage: (from, message) => coordination.receive(from, message, currentTime.steady),
      streamMessage: (from, message) => streamOrigins.receive(from, message, currentTime.steady),
      reachMessage: (from, message) => workerReach.receive(from, message, currentTime.steady),
      poisonMessage: (from, message) => poisonRequests.receive(from, message, currentTime.steady),
      quotaMessage: (from, message) => quotas.receive(from, message, currentTime.steady),
      limitMessage: (from, message) => limits.receive(from, message, currentTime.steady),
      peerChanged: (peer, change) => {
        quotas.noteMembershipChange(currentTime.steady)
        if (change === 'alive' || change === 'restarted') {
          limits.tell(peer, currentTime.steady)
          tellLeavingWorkers(peer)
        }
        poisonRequests.peerChanged(peer, change, currentTime.steady)
        if (change === 'leaving') workerReach.dropRelay(peer)
        log({ kind: 'peerChanged', peer, change })
      }
    }
  })

  const limits = createWorkerLimits({
    self: self.id,
    stated: registry.limits,
    granterOf: worker => fleet.ownersOf(worker, 1, currentTime)[0],
    instances: () => fleet.size(currentTime),
    liveShare: () => fleet.liveShare(currentTime),
    send: fleet.send,
    broadcast: fleet.broadcast,
    onDecision: () => forwarding.placeWaiting(currentTime)
  })

  const quotas = createWorkspaceQuotas({
    self: self.id,
    granterOf: workspace => fleet.ownersOf(`quotas/${workspace}`, 1, currentTime)[0],
    instances: () => fleet.size(currentTime),
    liveShare: () => fleet.liveShare(currentTime),
    somePeers: (count, turn) => fleet.someLivePeers(count, turn, currentTime),
    version: configuration.version,
    workspace: name => configuration.index()?.workspace(name),
    send: fleet.send,
    onDecision: () => forwarding.placeWaiting(currentTime),
    log
  })

  const coordination = createGatewayCoordination({
    self,
    hash,
    random,
    fleet,
    registry,
    catalog: configuration.index,
    partStoreOf: partStores.storeOf,
    now: () => currentTime,
    onAnswer: request => forwarding.placeOne(request, currentTime),
    log
  })

  const streamOrigins = createStreamOrigins({
    self: self.id,
    keepersOf: (stream, count) => fleet.ownersOf(stream, count, currentTime),
    hasPeers: fleet.hasPeers,
    liveShare: () => fleet.liveShare(currentTime),
    send: fleet.send,
    recorder: () => fleet.firstStoreReader(currentTime),
    emit,
    log,
    onAnswer: () => forwarding.placeWaiting(currentTime)
  })

  const workerReach = createWorkerReach({
    serviceOf: worker => workers.get(worker)?.service,
    liveWorkers: service => workers.live(service),
    probe: worker => forwarding.checkWorker(worker),
    instances: () => fleet.size(currentTime),
    random,
    somePeers: (count, turn) => fleet.someLivePeers(count, turn, currentTime),
    acceptsRelays: () => isReady(currentTime) && !lagDetector.isLagging(),
    send: fleet.send,
    onChange: (service, reach) => {
      fleet.announce(currentTime)
      if (workerReach.cutOffCount() > 0 && rolloutLease.holds()) rollout.release(currentTime)
      if (reach === 'cutOff') forwarding.passOn(service, currentTime)
      else forwarding.placeWaiting(currentTime)
    },
    log
  })

  const stateOfWorker = (id: string, startedAt: number): 'inService' | 'leaving' | 'over' => {
    const worker = workers.get(id)
    if (worker?.startedAt !== startedAt) return 'over'
    return workers.live(worker.service).includes(worker) ? 'inService' : 'leaving'
  }

  const frontOf = (peer: string): Address | undefined => {
    const front = fleet.frontOf(peer)
    return front === undefined ? undefined : splitHostPort(front)
  }

  const fingerprintOf = createRequestFingerprints(hash)

  const poisonRequests = createPoisonRequests({
    self: self.id,
    fingerprintOf,
    coordinatorsOf: (scope, count) => fleet.ownersOf(`poisonParts/${scope}`, count, currentTime),
    somePeers: fleet.somePeers,
    instances: () => fleet.size(currentTime),
    stateOf: stateOfWorker,
    reachOf: worker => workerReach.reachOf(workers.get(worker)?.service ?? ''),
    probe: (worker, now) => forwarding.probeWorker(worker, now),
    send: fleet.send,
    broadcast: fleet.broadcast,
    onBlocked: () => forwarding.endBlocked(currentTime),
    log
  })

  const storeReader = createStoreReader({
    readModeInput: now => {
      const higherRankedReaders = fleet.higherRankedReaders(now)
      return { size: fleet.size(now), higherRankedReaders, turn: fleet.rank(now) - higherRankedReaders, proofAge: lease.age(now), holding: rolloutLease.holds() }
    },
    digest: () => workers.digest(hash),
    emit,
    onModeChange: mode => log({ kind: 'readingChanged', reading: mode }),
    onPartStoresReachable: partStores.setReachable,
    onWorkersRead: workers.noteRead
  })

  const { rollout, rolloutLease } = createGatewayRollout({ self, fleet, registry, bounds, now: () => currentTime, emit, log })

  const requestOrder = createRequestOrder({ workers, loadOf, hasQuota: ({ quota }) => quota !== undefined, fingerprintOf, log })

  const forwarding = createForwarding({
    requestOrder,
    dataCentre: self.dataCentre,
    catalog: configuration.index,
    lease,
    bounds: () => bounds().forwarding,
    shutdownProgress: now => shutdown.progress(now),
    durations: createRouteDurations(),
    usableWeights: createUsableWeights({ workers, weights, loadOf, maxOutdatedTime: () => bounds().forwarding.weights }),
    workers,
    weights,
    limits,
    quotas,
    coordination,
    poisonRequests,
    fingerprintOf,
    workerReach,
    frontOf,
    streamOrigins,
    loadOf,
    cachedPartsOf,
    partStoreOf: partStores.storeOf,
    followsStoreEvents: () => storeReader.mode() !== 'throughPeers',
    retries,
    instances: () => fleet.size(currentTime),
    hash,
    random,
    emit,
    log,
    reportError,
    takeStoreBudget: (tokens, now) => storeBudget.take(tokens, configuration.partStoreTokens(), fleet.size(currentTime), now),
    announceSend: ({ first, parts, ...sent }) => {
      if (first || sent.stores || fleet.size(currentTime) <= maxFleetForAllPrompts) fleet.broadcast({ kind: 'fleet.sent', ...sent, parts: [...parts] })
    },
    announceLeaving: (worker, startedAt) => fleet.broadcast({ kind: 'fleet.workerLeaving', worker, startedAt }),
    announceSuspect: worker => {
      // An instance that may be cut off knows nothing of the workers.
      if (workerReach.reachOf(workers.get(worker)?.service ?? '') === 'reached') fleet.broadcast({ kind: 'fleet.doubt', worker })
    }
  })

  const handleFeed = createFeedHandler({ configuration, lease, storeLease, registry, partStores, fleet, storeReader, noteAnnouncedWeights, streamOrigins, emit, log })

  const handlePeerMessage = (from: string, message: PeerMessage): void => {
    const parsed = fleetMessageSchema.safeParse(message)
    if (parsed.success) fleet.receive(from, parsed.data, currentTime)
    else log({ kind: 'garbledPeerMessage', from })
  }

  const shutdown = createShutdown({
    id: self.id,
    bounds,
    requests: () => forwarding.size(),
    endWaiting: () => forwarding.endWaiting(currentTime),
    endRequests: () => forwarding.endAll(currentTime),
    announce: () => {
      fleet.announce(currentTime)
      rollout.release(currentTime)
    },
    emit,
    log
  })

  const updateLag = (): void => {
    const before = lagDetector.isLagging()
    lagDetector.recordTick(currentTime.steady)
    if (lagDetector.isLagging() !== before) log({ kind: 'strainChanged', strained: !before })
  }

  const tick = (): void => {
    guard('tick.lag', updateLag)
    if (!memberAnnounced) {
      memberAnnounced = true
      emit({ kind: 'member.announce', member: self })
    }
    guard('tick.registry', () => registry.expire(currentTime.steady))
    guard('tick.streamOrigins', () => streamOrigins.observe(workers.all(), currentTime))
    guard('tick.fleet', () => fleet.tick(currentTime))
    guard('tick.storeReader', () => storeReader.tick(currentTime))
    guard('tick.workerReach', () => workerReach.tick(currentTime.steady))
    // Orders of an instance that reaches no worker would wait for their time limit.
    if (!shutdown.isShuttingDown() && workerReach.cutOffCount() === 0) guard('tick.rollout', () => rollout.tick(currentTime))
    guard('tick.poisonRequests', () => poisonRequests.tick(currentTime.steady))
    guard('tick.quotas', () => quotas.tick(currentTime.steady))
    guard('tick.coordination', () => coordination.tick(currentTime.steady))
    guard('tick.forwarding', () => forwarding.tick(currentTime))
    guard('tick.shutdown', () => shutdown.tick(currentTime.steady))
  }

  const dispatch = (input: GatewayInput): void => {
    switch (input.kind) {
      case 'call.arrived':
      case 'call.unreadable':
      case 'attempt.head':
      case 'attempt.data':
      case 'attempt.ended':
      case 'attempt.failed':
      case 'worker.probed': return forwarding.handle(input, currentTime)
      case 'call.left':
        if (input.stage === 'open') return forwarding.handle(input, currentTime)
        return log({ kind: 'cutOff', id: input.id, stage: input.stage, reason: input.reason })
      case 'feed.catalog':
      case 'feed.proof':
      case 'feed.weights':
      case 'feed.workers':
      case 'feed.members':
      case 'feed.parts':
      case 'feed.restored':
      case 'feed.lost':
      case 'feed.regained': return handleFeed(input, currentTime)
      case 'streams.appended':
      case 'streams.notAppended':
      case 'streams.records':
      case 'streams.unread': return streamOrigins.handleStore(input, currentTime)
      case 'claim.records':
      case 'claim.accepted':
      case 'claim.refused':
      case 'claim.failed': return rolloutLease.answer(input, currentTime)
      case 'order.answered':
      case 'worker.told': return rollout.answer(input, currentTime)
      case 'peer.message': return handlePeerMessage(input.from, input.message)
      case 'peer.lost': return
      case 'tick': return tick()
      case 'gateway.leave': return shutdown.begin(currentTime.steady, input.signalledAt)
      default: assertNever(input)
    }
  }

  const handle = (input: GatewayInput, now: Moment): readonly GatewayEffect[] => {
    currentTime = now
    guard(input.kind, () => dispatch(input))
    return effects.splice(0)
  }

  const directory = createInstanceDirectory({
    self,
    hash,
    isReady,
    acceptsCallers: now => shutdown.progress(now.steady)?.accepting ?? true,
    isImpaired: () => lagDetector.isLagging() || workerReach.cutOffCount() > 0,
    others: fleet.serving,
    addressLife: () => bounds().addressLife
  })

  return {
    handle,
    directory,
    isReady,
    workspaceOfKey: key => configuration.index()?.findWorkspace(key)?.name,
    gauges: now => readGauges({ forwarding, lease, configuration, fleet, registry, poisonRequests, workerReach, quotas, requestOrder, streamOrigins, coordination, rolloutLease }, now),
    dump: now => ({
      self,
      configuration: configuration.version(),
      proofAge: lease.age(now),
      forwarding: forwarding.dump(),
      fleet: fleet.dump(now),
      blockedParts: poisonRequests.dump(now.steady),
      rollout: rollout.dump(),
      reading: storeReader.mode(),
      workers: registry.dump()
    })
  }
}
