/**
 * Keeps requests away from workers that would crash of them: poison requests, by a
 * part of their prompt or as a whole (`features.ts`).
 *
 * Each instance reports the crashes that it notices to the two instances that coordinate
 * the scope, chosen by rendezvous hashing. A coordinator that has enough crashes under a
 * feature asks all instances when answers on it last went well, and blocks it unless
 * one began since. All instances then refuse requests with the feature. The first
 * coordinator lets one request at a time try it, less and less often; an answer that goes
 * well unblocks the feature.
 *
 * What is known outlives its owner: the blocked features are known to all, and an
 * instance that starts asks for them; a new coordinator gets the reports again.
 */
import { createBlockedFeatures, trialDelayAfter, type BlockedFeature } from './blockedFeatures.js'
import { blockedAnswer, blockedMessages } from './blockedMessages.js'
import { createCrashInvestigations } from './crashInvestigations.js'
import { createCrashReports, noticedCrashes, type NoticedCrash } from './crashReports.js'
import type { Verdict } from './crashCorrelator.js'
import { featuresOf, isWholeRequest, ownPartOf, requestFeature, scopeOf, sharedPartsOf, type FeaturedRequest, type ScopedFeature } from './features.js'
import { createFeatureProofs, type FeatureProof } from './featureProofs.js'
import { blockedEvent, triedEvent, unblockedEvent, type PoisonLogEvent } from './poisonLog.js'
import type { CrashReport, PoisonAttempt, PoisonMessage } from './poisonRequestsTypes.js'
import type { RequestFingerprints } from './requestFingerprint.js'
import { createStartQuestion } from './startQuestion.js'
import { createWorkerCrashes, type WorkerCrash, type WorkerCrashes, type WorkerCrashesOptions } from './workerCrashes.js'

/** Why a request may not be sent to a worker. */
export type Block = 'blockedPart' | 'blockedRequest'

/** What the poison requests depend on; times in ms. */
export interface PoisonRequestsOptions extends WorkerCrashesOptions {
  readonly self: string
  readonly fingerprintOf: RequestFingerprints
  /** Returns the live instances that coordinate a scope, the first one first. */
  readonly coordinatorsOf: (scope: string, count: number) => readonly string[]
  /** Number of live instances, this one included. */
  readonly instances: () => number
  /** Returns some of the other instances that are known, live or not. */
  readonly somePeers: (count: number) => readonly string[]
  readonly send: (to: string, message: PoisonMessage) => void
  readonly broadcast: (message: PoisonMessage) => void
  /** Called when features have been blocked. */
  readonly onBlocked: () => void
  readonly log: (event: PoisonLogEvent) => void
}

/** The poison requests at one instance; times in ms. */
export interface PoisonRequests {
  /** Returns why the request may not be sent to a worker now; undefined if it may. */
  readonly blockOf: (request: FeaturedRequest, now: number) => Block | undefined
  /** Records that a request is sent to a worker; if it has a blocked feature, this is its trial. */
  readonly noteSent: (request: FeaturedRequest, now: number) => void
  /** Records that the first event of an attempt has arrived. */
  readonly noteBegun: (attempt: PoisonAttempt, request: FeaturedRequest, now: number) => void
  /** Records that an attempt, which ran the request from its beginning, has brought a whole answer. */
  readonly noteCompleted: (attempt: PoisonAttempt, request: FeaturedRequest, now: number) => void
  /** Records that a lifetime of a worker has sent data. */
  readonly noteHeard: (worker: string, startedAt: number, now: number) => void
  /** Records that an attempt was cancelled. */
  readonly noteCancelled: (worker: string, attempt: number) => void
  /** Records that the connection of an attempt was cut; returns whether the request may have crashed the worker. */
  readonly noteCut: (attempt: PoisonAttempt, request: FeaturedRequest, now: number) => boolean
  readonly noteProbed: WorkerCrashes['probed']
  readonly receive: (from: string, message: PoisonMessage, now: number) => void
  /** Another instance has become reachable, has started anew, or is gone. */
  readonly peerChanged: (peer: string, change: 'alive' | 'restarted' | 'silent' | 'leaving', now: number) => void
  readonly tick: (now: number) => void
  /** Number of blocked parts and of blocked whole requests. */
  readonly sizes: () => { readonly parts: number, readonly requests: number }
  readonly dump: (now: number) => unknown
}

/** Number of instances that coordinate a scope; one of them may be lost. */
const coordinatorCount = 2
/** Number of instances that tell one that has become reachable; it may be a coordinator itself. */
const tellerCount = 3
/** Shortest and longest time between two repetitions of the blocked features, in ms; between them it grows by `repetitionTime` for each instance. */
const minRepetitionInterval = 2_000
const maxRepetitionInterval = 8_000
const repetitionTime = 40
/** Time from the last crash, in ms, within which a proof says that the feature did not cause these crashes; later it may have healed. */
const soundnessTime = 10_000

/**
 * Creates the poison requests of one instance.
 *
 * @param options - the other instances, the workers and the log
 */
export const createPoisonRequests = (options: PoisonRequestsOptions): PoisonRequests => {
  const { self, log, fingerprintOf } = options
  const proofs = createFeatureProofs()
  const crashes = createWorkerCrashes(options)
  const table = createBlockedFeatures()
  let nextRepetition = -Infinity
  const startQuestion = createStartQuestion(options)

  const isFirstCoordinator = (scope: string): boolean => options.coordinatorsOf(scope, 1)[0] === self

  const blockedIn = (request: FeaturedRequest): readonly BlockedFeature[] => {
    if (table.size() === 0) return []
    const scope = scopeOf(request)
    const features = table.hasWholeRequests() ? featuresOf(request, fingerprintOf) : sharedPartsOf(request.call.prompt)
    return features.map(feature => table.get({ scope, feature })).filter(blocked => blocked !== undefined)
  }

  const mayTry = ({ scope, trialAt }: BlockedFeature, now: number): boolean => now >= trialAt && isFirstCoordinator(scope)

  const blockOf = (request: FeaturedRequest, now: number): Block | undefined => {
    const blocked = blockedIn(request)
    if (blocked.length === 0 || (blocked.length === 1 && mayTry(blocked[0], now))) return undefined
    return blocked.some(({ feature }) => isWholeRequest(feature)) ? 'blockedRequest' : 'blockedPart'
  }

  const noteSent = (request: FeaturedRequest, now: number): void => {
    const [blocked] = blockedIn(request)
    if (blocked === undefined) return
    // The trial counts as failed until an answer goes well.
    const failures = blocked.failures + 1
    const tried: BlockedFeature = { ...blocked, failures, trialAt: now + trialDelayAfter(blocked.feature, failures) }
    table.block(tried, now)
    log(triedEvent(request.call.id, blocked, failures))
    blockedMessages(blocked.scope, [tried], now).forEach(options.broadcast)
  }

  const unblock = (feature: ScopedFeature, reason: 'proven' | 'explained', now: number): boolean => {
    const known = table.get(feature)
    if (known === undefined || !table.unblock(feature, now)) return false
    investigations.release(feature.scope, feature.feature, reason === 'proven' && now - known.lastCrashAt < soundnessTime)
    log(unblockedEvent(feature, reason))
    return true
  }

  const broadcastUnblocked = ({ scope, feature }: ScopedFeature, explained: boolean): void =>
    options.broadcast({ kind: 'fleet.partUnblocked', model: scope, part: feature, age: 0, explained })

  const applyProof = ({ scope, feature, begunAt }: FeatureProof, now: number): void => {
    investigations.clear(scope, feature, begunAt)
    const blocked = table.get({ scope, feature })
    if (blocked === undefined || begunAt <= blocked.lastCrashAt) return
    if (unblock(blocked, 'proven', now)) broadcastUnblocked(blocked, false)
  }

  const applyProofsOfBlocked = (proven: readonly FeatureProof[], now: number): void => {
    if (table.size() === 0) return
    for (const proof of proven) if (table.get(proof) !== undefined) applyProof(proof, now)
  }

  const noteCut = ({ id, worker, workerStartedAt, answered, begunAt }: PoisonAttempt, request: FeaturedRequest, now: number): boolean => {
    proofs.drop(worker, id)
    const features = featuresOf(request, fingerprintOf)
    const own = ownPartOf(request.call) ?? fingerprintOf(request)
    return crashes.cut(worker, workerStartedAt, { scope: scopeOf(request), features, request: own, answered, begunAt, cutAt: now })
  }

  const applyCrash = ({ model: scope, worker, startedAt, age, suspects }: CrashReport, now: number): void => {
    const judged = suspects.map(({ part, provenAge, ...suspect }) =>
      ({ ...suspect, feature: part, ...(provenAge === undefined ? {} : { provenAt: now - provenAge }) }))
    const at = now - age
    investigations.add(scope, { worker, startedAt, at, suspects: judged }, now)
    for (const { feature } of judged) {
      const blocked = table.get({ scope, feature })
      if (blocked !== undefined) table.block({ ...blocked, lastCrashAt: at }, now)
    }
  }

  const sendReport = (to: string, { report, at }: NoticedCrash, now: number): void => {
    const message: CrashReport = { ...report, age: Math.max(0, now - at) }
    if (to === self) applyCrash(message, now)
    else options.send(to, message)
  }

  const reports = createCrashReports({ coordinatorsOf: scope => options.coordinatorsOf(scope, coordinatorCount), report: sendReport })

  const report = (crash: WorkerCrash, now: number): void => {
    const { worker, startedAt, attempts } = crash
    log({ kind: 'workerCrashed', worker, startedAt, cut: attempts.length, parts: new Set(attempts.flatMap(({ features }) => features)).size })
    for (const noticed of noticedCrashes(crash, proofs.lastOf, now)) reports.add(noticed, now)
  }

  const block = (scope: string, { feature, lastCrashAt, crashes: count, wasSound }: Verdict, now: number): void => {
    const failures = wasSound ? -1 : 0
    const blocked: BlockedFeature = { scope, feature, blockedAt: now, lastCrashAt, failures, trialAt: now + trialDelayAfter(feature, failures) }
    if (!table.block(blocked, now)) return
    log(blockedEvent(blocked, wasSound, count))
    blockedMessages(scope, [blocked], now).forEach(options.broadcast)
  }

  /** Lets a feature go that was blocked before the one that explains its crashes was found. */
  const letGo = (scope: string, feature: string, now: number): void => {
    if (unblock({ scope, feature }, 'explained', now)) broadcastUnblocked({ scope, feature }, true)
  }

  const ask = (scope: string, features: readonly string[]): void => {
    for (const feature of features) {
      const provenAt = proofs.lastOf({ scope, feature })
      if (provenAt !== undefined) investigations.clear(scope, feature, provenAt)
    }
    options.broadcast({ kind: 'fleet.partQuestion', model: scope, parts: [...features] })
  }

  const investigations = createCrashInvestigations({ isFirstCoordinator, ask, onVerdict: block, onExplained: letGo, onConcluded: options.onBlocked })

  const answerQuestion = (from: string, { model: scope, parts }: PoisonMessage & { kind: 'fleet.partQuestion' }, now: number): void => {
    const known = parts.flatMap(part => {
      const provenAt = proofs.lastOf({ scope, feature: part })
      return provenAt === undefined ? [] : [{ part, age: Math.max(0, now - provenAt) }]
    })
    if (known.length > 0) options.send(from, { kind: 'fleet.partProofs', model: scope, proofs: known })
  }

  const applyBlocked = (scope: string, blocked: (PoisonMessage & { kind: 'fleet.blockedParts' })['blocked'], now: number): boolean => {
    let isNew = false
    for (const { part: feature, age, crashAge, failures, trialIn } of blocked) {
      if (!table.block({ scope, feature, blockedAt: now - age, lastCrashAt: now - crashAge, failures, trialAt: now + trialIn }, now)) continue
      isNew = true
      investigations.explain(scope, feature)
      log(blockedEvent({ scope, feature }, failures < 0))
    }
    return isNew
  }

  const applyAnswer = (blocked: (PoisonMessage & { kind: 'fleet.blockedAnswer' })['blocked'], now: number): void => {
    startQuestion.answered()
    const areNew = blocked.map(({ model: scope, ...entry }) => applyBlocked(scope, [entry], now))
    if (areNew.includes(true)) options.onBlocked()
  }

  const receive = (from: string, message: PoisonMessage, now: number): void => {
    switch (message.kind) {
      case 'fleet.workerCrash': return applyCrash(message, now)
      case 'fleet.partQuestion': return answerQuestion(from, message, now)
      case 'fleet.partProofs':
        for (const { part, age } of message.proofs) applyProof({ scope: message.model, feature: part, begunAt: now - age }, now)
        return
      case 'fleet.blockedParts':
        if (applyBlocked(message.model, message.blocked, now)) options.onBlocked()
        return
      case 'fleet.blockedQuestion': return options.send(from, blockedAnswer(table.all(), now))
      case 'fleet.blockedAnswer': return applyAnswer(message.blocked, now)
      case 'fleet.partUnblocked': unblock({ scope: message.model, feature: message.part }, message.explained ? 'explained' : 'proven', now - message.age)
    }
  }

  const blockedByScope = (): ReadonlyMap<string, readonly BlockedFeature[]> => {
    const byScope = new Map<string, BlockedFeature[]>()
    for (const blocked of table.all()) byScope.set(blocked.scope, [...byScope.get(blocked.scope) ?? [], blocked])
    return byScope
  }

  const repeat = (now: number): void => {
    if (now < nextRepetition) return
    nextRepetition = now + Math.min(maxRepetitionInterval, Math.max(minRepetitionInterval, options.instances() * repetitionTime))
    for (const [scope, blocked] of blockedByScope()) if (isFirstCoordinator(scope)) blockedMessages(scope, blocked, now).forEach(options.broadcast)
    for (const ended of table.expire(isFirstCoordinator, now)) log(unblockedEvent(ended, 'forgotten'))
  }

  const tell = (instance: string, now: number): void => {
    for (const [scope, blocked] of blockedByScope()) {
      if (options.coordinatorsOf(scope, tellerCount).includes(self)) for (const message of blockedMessages(scope, blocked, now)) options.send(instance, message)
    }
  }

  const peerChanged: PoisonRequests['peerChanged'] = (peer, change, now) => {
    const isNew = change === 'alive' || change === 'restarted'
    if (isNew) tell(peer, now)
    reports.instancesChanged(isNew ? peer : undefined)
  }

  const tick = (now: number): void => {
    startQuestion.tick(now)
    proofs.tick(now)
    for (const crash of crashes.tick(now)) report(crash, now)
    reports.tick(now)
    investigations.tick(now)
    repeat(now)
  }

  return {
    blockOf,
    noteSent,
    noteBegun: (attempt, request, now) => proofs.begin(attempt, scopeOf(request), featuresOf(request, fingerprintOf), now),
    noteCompleted: (attempt, request, now) => {
      const feature = requestFeature(fingerprintOf(request))
      applyProofsOfBlocked([proofs.complete(attempt, { scope: scopeOf(request), feature })], now)
    },
    noteHeard: (worker, startedAt, now) => applyProofsOfBlocked(proofs.hear(worker, startedAt, now), now),
    noteCancelled: proofs.drop,
    noteCut,
    noteProbed: crashes.probed,
    receive,
    peerChanged,
    tick,
    sizes: () => {
      const requests = table.all().filter(({ feature }) => isWholeRequest(feature)).length
      return { parts: table.size() - requests, requests }
    },
    dump: now => table.all().map(({ scope, feature, blockedAt, lastCrashAt, failures, trialAt }) =>
      ({ model: scope, part: feature, blockedFor: Math.round(now - blockedAt), lastCrash: Math.round(now - lastCrashAt), failures, trialIn: Math.round(trialAt - now) }))
  }
}
