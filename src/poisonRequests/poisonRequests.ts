/**
 * Keeps requests away from workers that hold a poison part: a part of a prompt that
 * crashes each worker that begins to write an answer on it.
 *
 * Each instance reports the crashes that it notices to the two instances that coordinate
 * the model, chosen by rendezvous hashing. A coordinator that has enough crashes under a
 * part asks all instances when answers on it last went well, and blocks it unless
 * one began since. All instances then refuse requests with the part. The first
 * coordinator lets one request at a time try it, less and less often; an answer that goes
 * well unblocks the part.
 */
import type { Call, Prompt } from '../ports/forwardPort.js'
import { createBlockedFeatures, trialDelayAfter, type BlockedFeature } from './blockedFeatures.js'
import { createCrashInvestigations } from './crashInvestigations.js'
import type { Verdict } from './crashCorrelator.js'
import { createFeatureProofs, type FeatureProof } from './featureProofs.js'
import { candidatePartsOf, ownPartOf, type CrashReport, type ScopedFeature, type PoisonAttempt, type PoisonMessage, type Suspect } from './poisonRequestsTypes.js'
import { createWorkerCrashes, type CutAttempt, type WorkerCrash, type WorkerCrashes, type WorkerCrashesOptions } from './workerCrashes.js'

/** A log event of the poison parts; each is one log line. */
export type PoisonLogEvent =
  /** A lifetime of a worker has crashed; `parts` is the number of parts that may have caused it. */
  | { readonly kind: 'workerCrashed', readonly worker: string, readonly startedAt: number, readonly cut: number, readonly parts: number }
  /** No request with the part is sent to a worker any more. `crashes` is known only to the coordinator that found it. */
  | { readonly kind: 'partBlocked', readonly model: string, readonly part: string, readonly crashes?: number, /** Whether answers on it went well before. */ readonly sound: boolean }
  | { readonly kind: 'partUnblocked', readonly model: string, readonly part: string, readonly reason: 'proven' | 'explained' | 'forgotten' }
  /** A request tries a blocked part. */
  | { readonly kind: 'partTried', readonly id: string, readonly model: string, readonly part: string, readonly failures: number }

/** What the poison parts depend on; times in ms. */
export interface PoisonRequestsOptions extends WorkerCrashesOptions {
  readonly self: string
  /** Returns the live instances that coordinate a model, the first one first. */
  readonly coordinatorsOf: (model: string, count: number) => readonly string[]
  /** Number of live instances, this one included. */
  readonly instances: () => number
  readonly send: (to: string, message: PoisonMessage) => void
  readonly broadcast: (message: PoisonMessage) => void
  /** Called when parts have been blocked. */
  readonly onBlocked: () => void
  readonly log: (event: PoisonLogEvent) => void
}

/** The poison parts at one instance; times in ms. */
export interface PoisonRequests {
  /** Whether the prompt holds a blocked part that it may not try now. */
  readonly isBlocked: (prompt: Prompt | undefined, now: number) => boolean
  /** Records that a request is sent to a worker; if it holds a blocked part, this is its trial. */
  readonly noteSent: (call: Call, now: number) => void
  /** Records that the first event of an attempt has arrived. */
  readonly noteBegun: (attempt: PoisonAttempt, prompt: Prompt | undefined, now: number) => void
  /** Records that a lifetime of a worker has sent data. */
  readonly noteHeard: (worker: string, startedAt: number, now: number) => void
  /** Records that an attempt was cancelled. */
  readonly noteCancelled: (worker: string, attempt: number) => void
  /** Records that the connection of an attempt was cut; returns whether the request may have crashed the worker. */
  readonly noteCut: (attempt: PoisonAttempt, call: Call, now: number) => boolean
  readonly noteProbed: WorkerCrashes['probed']
  readonly receive: (from: string, message: PoisonMessage, now: number) => void
  /** Tells an instance that has become reachable of the blocked parts. */
  readonly tell: (instance: string, now: number) => void
  readonly tick: (now: number) => void
  /** Number of blocked parts. */
  readonly size: () => number
  readonly dump: (now: number) => unknown
}

/** Number of instances that coordinate a model; one of them may be lost. */
const coordinatorCount = 2
/** Number of instances that tell one that has become reachable; it may be a coordinator itself. */
const tellerCount = 3
/** Shortest and longest time between two repetitions of the blocked parts, in ms; between them it grows by `repetitionTime` for each instance. */
const minRepetitionInterval = 2_000
const maxRepetitionInterval = 8_000
const repetitionTime = 40
/** Number of suspects that one crash report names. */
const maxSuspects = 48
/** Time from the last crash, in ms, within which a proof says that the part did not cause these crashes; later it may have healed. */
const soundnessTime = 10_000

/**
 * Creates the poison parts of one instance.
 *
 * @param options - the other instances, the workers and the log
 */
export const createPoisonRequests = (options: PoisonRequestsOptions): PoisonRequests => {
  const { self, log } = options
  const proofs = createFeatureProofs()
  const crashes = createWorkerCrashes(options)
  const table = createBlockedFeatures()
  let nextRepetition = -Infinity

  const isFirstCoordinator = (model: string): boolean => options.coordinatorsOf(model, 1)[0] === self

  const blockedIn = (prompt: Prompt | undefined): readonly BlockedFeature[] => {
    if (prompt === undefined || table.all().length === 0) return []
    return candidatePartsOf(prompt).map(part => table.get(prompt.model, part)).filter(blocked => blocked !== undefined)
  }

  const mayTry = ({ model, trialAt }: BlockedFeature, now: number): boolean => now >= trialAt && isFirstCoordinator(model)

  const isBlocked = (prompt: Prompt | undefined, now: number): boolean => {
    const blocked = blockedIn(prompt)
    return blocked.length > 0 && !(blocked.length === 1 && mayTry(blocked[0], now))
  }

  const messageOf = (model: string, blocked: readonly BlockedFeature[], now: number): PoisonMessage => ({
    kind: 'fleet.blockedParts',
    model,
    blocked: blocked.map(({ part, blockedAt, lastCrashAt, failures, trialAt }) =>
      ({ part, age: Math.max(0, now - blockedAt), crashAge: Math.max(0, now - lastCrashAt), failures, trialIn: Math.max(0, trialAt - now) }))
  })

  const noteSent = ({ id, prompt }: Call, now: number): void => {
    const [blocked] = blockedIn(prompt)
    if (blocked === undefined) return
    // The trial counts as failed until an answer goes well.
    const failures = blocked.failures + 1
    const tried: BlockedFeature = { ...blocked, failures, trialAt: now + trialDelayAfter(failures) }
    table.block(tried, now)
    log({ kind: 'partTried', id, model: blocked.model, part: blocked.part, failures })
    options.broadcast(messageOf(blocked.model, [tried], now))
  }

  const unblock = (part: ScopedFeature, reason: 'proven' | 'explained', now: number): boolean => {
    const known = table.get(part.model, part.part)
    if (known === undefined || !table.unblock(part, now)) return false
    investigations.release(part.model, part.part, reason === 'proven' && now - known.lastCrashAt < soundnessTime)
    log({ kind: 'partUnblocked', model: part.model, part: part.part, reason })
    return true
  }

  const applyProof = ({ model, part, begunAt }: FeatureProof, now: number): void => {
    investigations.clear(model, part, begunAt)
    const blocked = table.get(model, part)
    if (blocked === undefined || begunAt <= blocked.lastCrashAt) return
    if (unblock(blocked, 'proven', now)) options.broadcast({ kind: 'fleet.partUnblocked', model, part, age: 0, explained: false })
  }

  const noteHeard = (worker: string, startedAt: number, now: number): void => {
    const proven = proofs.hear(worker, startedAt, now)
    if (table.all().length === 0) return
    for (const proof of proven) if (table.get(proof.model, proof.part) !== undefined) applyProof(proof, now)
  }

  const noteCut = ({ id, worker, workerStartedAt, answered, begunAt }: PoisonAttempt, call: Call, now: number): boolean => {
    proofs.drop(worker, id)
    const parts = candidatePartsOf(call.prompt)
    if (call.prompt === undefined || parts.length === 0) return false
    return crashes.cut(worker, workerStartedAt, { model: call.prompt.model, parts, ownPart: ownPartOf(call), answered, begunAt, cutAt: now })
  }

  const suspectsOf = (model: string, attempts: readonly CutAttempt[], now: number): readonly Suspect[] => attempts
    .filter(attempt => attempt.model === model)
    // Those that had begun first, as they are the likelier ones.
    .sort((left, right) => Number(right.answered) - Number(left.answered))
    .flatMap(({ parts, ownPart, answered }) => parts.map((part, depth): Suspect => {
      const provenAt = proofs.lastOf(model, part)
      return { part, depth, request: ownPart, begun: answered, ...(provenAt === undefined ? {} : { provenAge: Math.max(0, now - provenAt) }) }
    }))
    .slice(0, maxSuspects)

  const applyCrash = ({ model, worker, startedAt, age, suspects }: CrashReport, now: number): void => {
    const judged = suspects.map(({ provenAge, ...suspect }) => provenAge === undefined ? suspect : { ...suspect, provenAt: now - provenAge })
    const at = now - age
    investigations.add(model, { worker, startedAt, at, suspects: judged }, now)
    for (const { part } of suspects) {
      const blocked = table.get(model, part)
      if (blocked !== undefined) table.block({ ...blocked, lastCrashAt: at }, now)
    }
  }

  const report = ({ worker, startedAt, at, attempts }: WorkerCrash, now: number): void => {
    log({ kind: 'workerCrashed', worker, startedAt, cut: attempts.length, parts: new Set(attempts.flatMap(({ parts }) => parts)).size })
    for (const model of new Set(attempts.map(attempt => attempt.model))) {
      const message: CrashReport = { kind: 'fleet.workerCrash', model, worker, startedAt, age: now - at, suspects: [...suspectsOf(model, attempts, now)] }
      for (const coordinator of options.coordinatorsOf(model, coordinatorCount)) {
        if (coordinator === self) applyCrash(message, now)
        else options.send(coordinator, message)
      }
    }
  }

  const block = (model: string, { part, lastCrashAt, crashes: count, wasSound }: Verdict, now: number): void => {
    const failures = wasSound ? -1 : 0
    const blocked: BlockedFeature = { model, part, blockedAt: now, lastCrashAt, failures, trialAt: now + trialDelayAfter(failures) }
    if (!table.block(blocked, now)) return
    log({ kind: 'partBlocked', model, part, crashes: count, sound: wasSound })
    options.broadcast(messageOf(model, [blocked], now))
  }

  /** Lets a part go that was blocked before the one that explains its crashes was found. */
  const letGo = (model: string, part: string, now: number): void => {
    if (unblock({ model, part }, 'explained', now)) options.broadcast({ kind: 'fleet.partUnblocked', model, part, age: 0, explained: true })
  }

  const ask = (model: string, parts: readonly string[]): void => {
    for (const part of parts) {
      const provenAt = proofs.lastOf(model, part)
      if (provenAt !== undefined) investigations.clear(model, part, provenAt)
    }
    options.broadcast({ kind: 'fleet.partQuestion', model, parts: [...parts] })
  }

  const investigations = createCrashInvestigations({ isFirstCoordinator, ask, onVerdict: block, onExplained: letGo, onConcluded: options.onBlocked })

  const answerQuestion = (from: string, { model, parts }: PoisonMessage & { kind: 'fleet.partQuestion' }, now: number): void => {
    const known = parts.flatMap(part => {
      const provenAt = proofs.lastOf(model, part)
      return provenAt === undefined ? [] : [{ part, age: Math.max(0, now - provenAt) }]
    })
    if (known.length > 0) options.send(from, { kind: 'fleet.partProofs', model, proofs: known })
  }

  const applyBlocked = ({ model, blocked }: PoisonMessage & { kind: 'fleet.blockedParts' }, now: number): void => {
    let isNew = false
    for (const { part, age, crashAge, failures, trialIn } of blocked) {
      if (!table.block({ model, part, blockedAt: now - age, lastCrashAt: now - crashAge, failures, trialAt: now + trialIn }, now)) continue
      isNew = true
      investigations.explain(model, part)
      log({ kind: 'partBlocked', model, part, sound: failures < 0 })
    }
    if (isNew) options.onBlocked()
  }

  const receive = (from: string, message: PoisonMessage, now: number): void => {
    switch (message.kind) {
      case 'fleet.workerCrash': return applyCrash(message, now)
      case 'fleet.partQuestion': return answerQuestion(from, message, now)
      case 'fleet.partProofs':
        for (const { part, age } of message.proofs) applyProof({ model: message.model, part, begunAt: now - age }, now)
        return
      case 'fleet.blockedParts': return applyBlocked(message, now)
      case 'fleet.partUnblocked': unblock(message, message.explained ? 'explained' : 'proven', now - message.age)
    }
  }

  const blockedByModel = (): ReadonlyMap<string, readonly BlockedFeature[]> => {
    const byModel = new Map<string, BlockedFeature[]>()
    for (const blocked of table.all()) byModel.set(blocked.model, [...byModel.get(blocked.model) ?? [], blocked])
    return byModel
  }

  const repeat = (now: number): void => {
    if (now < nextRepetition) return
    nextRepetition = now + Math.min(maxRepetitionInterval, Math.max(minRepetitionInterval, options.instances() * repetitionTime))
    for (const [model, blocked] of blockedByModel()) if (isFirstCoordinator(model)) options.broadcast(messageOf(model, blocked, now))
    for (const { model, part } of table.expire(isFirstCoordinator, now)) log({ kind: 'partUnblocked', model, part, reason: 'forgotten' })
  }

  const tell = (instance: string, now: number): void => {
    for (const [model, blocked] of blockedByModel()) {
      if (options.coordinatorsOf(model, tellerCount).includes(self)) options.send(instance, messageOf(model, blocked, now))
    }
  }

  const tick = (now: number): void => {
    proofs.tick(now)
    for (const crash of crashes.tick(now)) report(crash, now)
    investigations.tick(now)
    repeat(now)
  }

  return {
    isBlocked,
    noteSent,
    noteBegun: (attempt, prompt, now) => { if (prompt !== undefined) proofs.begin(attempt, prompt.model, candidatePartsOf(prompt), now) },
    noteHeard,
    noteCancelled: proofs.drop,
    noteCut,
    noteProbed: crashes.probed,
    receive,
    tell,
    tick,
    size: () => table.all().length,
    dump: now => table.all().map(({ model, part, blockedAt, lastCrashAt, failures, trialAt }) =>
      ({ model, part, blockedFor: Math.round(now - blockedAt), lastCrash: Math.round(now - lastCrashAt), failures, trialIn: Math.round(trialAt - now) }))
  }
}
