/** The forwarding machine with in-memory dependencies, and access to the effects that it requested. */
import { createRetryBudget } from '../../src/admission/retryBudget.js'
import { indexCatalog } from '../../src/catalog/catalogIndex.js'
import type { Catalog } from '../../src/catalog/catalogTypes.js'
import { createForwarding } from '../../src/forwarding/forwardingMachine.js'
import { createRequestOrder } from '../../src/forwarding/requestOrder.js'
import { createRouteDurations } from '../../src/forwarding/routeDurations.js'
import { createUsableWeights } from '../../src/forwarding/usableWeights.js'
import type { ForwardLogEvent } from '../../src/forwarding/forwardingTypes.js'
import type { RelayPeer } from '../../src/forwarding/relays.js'
import type { Hash } from '../../src/hash.js'
import { createReadLease, type Moment } from '../../src/lease/readLease.js'
import { createCachedPartsEstimate, type CachedPartsEstimate } from '../../src/placement/cachedPartsEstimate.js'
import { createWorkerLoad, type WorkerLoad } from '../../src/placement/workerLoad.js'
import type { AnswerHead, Call, Dispatch, ForwardEffect, ForwardInput } from '../../src/ports/forwardPort.js'
import { createRandom } from '../../src/random.js'
import { createWeightsTracker } from '../../src/workers/weightsTracker.js'
import { createPoisonRequests } from '../../src/poisonRequests/poisonRequests.js'
import { createRequestFingerprints } from '../../src/poisonRequests/requestFingerprint.js'
import { createWorkspaceQuotas } from '../../src/quotas/workspaceQuotas.js'
import { createStreamOrigins } from '../../src/streamOrigins/streamOrigins.js'
import { createStatedLimits } from '../../src/workerLimits/statedLimits.js'
import { createWorkerLimits } from '../../src/workerLimits/workerLimits.js'
import { createWorkersDb } from '../../src/workers/workersDb.js'
import type { Worker } from '../../src/workers/workersTypes.js'

/** Options of the fake; the seed of the random generator is 1 by default. */
export interface FakeForwardingOptions {
  readonly hash: Hash
  readonly catalog: Catalog | undefined
  readonly workers: readonly Worker[]
  readonly seed?: number
  /** Whether workspaces have a quota; not by default. */
  readonly hasQuota?: boolean
  /** Number of retries that are allowed whatever the number of requests; 50 by default. */
  readonly retrySlack?: number
  /** Other instances that take the requests, as this one is cut off from all workers; none by default. */
  readonly relayPeers?: readonly RelayPeer[]
  /** Performs the effects, besides their being recorded. */
  readonly perform?: (effect: ForwardEffect) => void
}

/** The response that a caller has received so far: not complete (`open`), complete (`whole`) or aborted (`broken`). */
export interface CallerView {
  readonly status: number
  readonly headers: readonly string[]
  readonly text: string
  readonly state: 'open' | 'whole' | 'broken'
}

/** Cache size of every worker, in tokens. */
const memoryTokens = 100_000

const momentAt = (now: number): Moment => ({ steady: now, wall: now })

/**
 * Creates the forwarding machine of a single instance, whose read lease, which proves its configuration current, is renewed at time 0.
 *
 * @param options - configuration and workers
 * @returns functions that pass inputs to the machine at a time in ms, and its recorded effects
 */
export const createFakeForwarding = (options: FakeForwardingOptions) => {
  const { relayPeers = [] } = options
  const effects: ForwardEffect[] = []
  const logEvents: ForwardLogEvent[] = []
  const errors: { readonly place: string, readonly error: unknown }[] = []
  const loads = new Map<string, WorkerLoad>()
  const cachedParts = new Map<string, CachedPartsEstimate>()
  const workers = createWorkersDb()
  const weights = createWeightsTracker()
  const limits = createWorkerLimits({
    self: 'a',
    stated: createStatedLimits(),
    granterOf: () => 'a',
    instances: () => 1,
    liveShare: () => 1,
    send: () => { /* There is no other instance. */ },
    broadcast: () => { /* There is no other instance. */ },
    onDecision: () => { /* There is no other instance. */ }
  })
  const quotas = createWorkspaceQuotas({
    self: 'a',
    granterOf: () => 'a',
    instances: () => 1,
    liveShare: () => 1,
    somePeers: () => [],
    version: () => index?.catalog.version ?? 0,
    workspace: name => index?.workspace(name),
    send: () => { /* There is no other instance. */ },
    onDecision: () => { /* There is no other instance. */ },
    log: () => { /* Not checked. */ }
  })
  const fingerprintOf = createRequestFingerprints(options.hash)
  const poisonRequests = createPoisonRequests({
    self: 'a',
    fingerprintOf,
    somePeers: () => [],
    coordinatorsOf: () => ['a'],
    instances: () => 1,
    stateOf: () => 'inService',
    reachOf: () => 'reached',
    probe: (worker, now) => forwarding.probeWorker(worker, now),
    send: () => { /* There is no other instance. */ },
    broadcast: () => { /* There is no other instance. */ },
    onBlocked: () => { /* No part is blocked. */ },
    log: () => { /* Not checked. */ }
  })
  const streamOrigins = createStreamOrigins({
    self: 'a',
    keepersOf: () => ['a'],
    hasPeers: () => false,
    liveShare: () => 1,
    send: () => { /* There is no other instance. */ },
    recorder: () => undefined,
    emit: effect => { if (effect.kind === 'streams.read') streamOrigins.handleStore({ kind: 'streams.records', records: [] }, momentAt(0)) },
    log: () => { /* Not checked. */ },
    onAnswer: () => { /* There is no other instance. */ }
  })
  const lease = createReadLease()
  const retryBudget = createRetryBudget({ fraction: 0.2, slack: options.retrySlack ?? 50, window: 10_000 })
  let index = options.catalog === undefined ? undefined : indexCatalog(options.catalog, options.hash)
  workers.apply(options.workers.map(worker => ({ kind: 'present', worker })), true, 0)
  lease.renew(momentAt(0))

  const getOrCreate = <Value>(map: Map<string, Value>, key: string, create: () => Value): Value => {
    const value = map.get(key) ?? create()
    map.set(key, value)
    return value
  }

  const loadOf = (worker: string): WorkerLoad => getOrCreate(loads, worker, () => createWorkerLoad(worker))

  const forwarding = createForwarding({
    requestOrder: createRequestOrder({ workers, loadOf, hasQuota: () => options.hasQuota === true, fingerprintOf, log: event => logEvents.push(event) }),
    dataCentre: 'a',
    catalog: () => index,
    lease,
    bounds: () => ({ keys: 4_500, absence: 1_500, weights: 8_000 }),
    shutdownProgress: () => undefined,
    durations: createRouteDurations(),
    usableWeights: createUsableWeights({ workers, weights, loadOf, maxOutdatedTime: () => 8_000 }),
    workers,
    weights,
    limits,
    quotas,
    coordination: { place: (_request, among) => ({ kind: 'byItself', workers: among }) },
    poisonRequests,
    fingerprintOf,
    workerReach: { reachOf: () => 'reached', mayBeCutOff: () => false, relaysFor: () => relayPeers.map(({ id }) => id), dropRelay: () => { /* There is no other instance. */ }, noteConnected: () => { /* Not used. */ }, noteHeard: () => { /* Not used. */ }, noteUnreachable: () => { /* Not used. */ } },
    frontOf: id => relayPeers.find(peer => peer.id === id)?.front,
    streamOrigins,
    loadOf,
    cachedPartsOf: worker => getOrCreate(cachedParts, worker, () => createCachedPartsEstimate(memoryTokens)),
    partStoreOf: () => undefined,
    takeStoreBudget: () => true,
    followsStoreEvents: () => true,
    retries: () => retryBudget,
    instances: () => 1,
    hash: options.hash,
    random: createRandom(options.seed ?? 1),
    emit: effect => {
      effects.push(effect)
      options.perform?.(effect)
    },
    log: event => logEvents.push(event),
    reportError: (place, error) => errors.push({ place, error }),
    announceSend: () => { /* There is no other instance. */ },
    announceLeaving: () => { /* There is no other instance. */ },
    announceSuspect: () => { /* There is no other instance. */ }
  })

  let lastRequest = 0

  const arrive = (call: Call, now: number): number => {
    lastRequest++
    forwarding.handle({ kind: 'call.arrived', request: lastRequest, call }, momentAt(now))
    return lastRequest
  }

  const sends = (): readonly { readonly attempt: number, readonly dispatch: Dispatch }[] =>
    effects.flatMap(effect => effect.kind === 'attempt.send' ? [{ attempt: effect.attempt, dispatch: effect.dispatch }] : [])

  const callerView = (request: number): CallerView | undefined => {
    let view: CallerView | undefined
    for (const effect of effects) {
      if (!('request' in effect) || effect.request !== request) continue
      switch (effect.kind) {
        case 'call.answer': view = { status: effect.status, headers: effect.headers, text: effect.body.toString(), state: 'whole' }; break
        case 'call.open': view = { status: effect.status, headers: effect.headers, text: '', state: 'open' }; break
        case 'call.write': if (view !== undefined) view = { ...view, text: view.text + effect.bytes.toString() }; break
        case 'call.end': if (view !== undefined) view = { ...view, state: 'whole' }; break
        case 'call.abort': view = { status: 0, headers: [], text: '', ...view, state: 'broken' }
      }
    }
    return view
  }

  const withHead = new Set<number>()
  const head = (attempt: number, overrides: Partial<AnswerHead>, now: number): void => {
    withHead.add(attempt)
    forwarding.handle({ kind: 'attempt.head', attempt, head: { status: 200, headers: ['X-A', 'b'], notRun: false, signed: true, ...overrides } }, momentAt(now))
  }

  return {
    arrive,
    handle: (input: ForwardInput, now: number): void => forwarding.handle(input, momentAt(now)),
    sends,
    callerView,
    effects,
    retriesUsed: (now: number): number => retryBudget.used(now),
    logEvents,
    errors,
    setCatalog: (catalog: Catalog): void => { index = indexCatalog(catalog, options.hash) },
    weights,
    workers,
    lease,
    streamOrigins,
    loadOf: (worker: string) => loads.get(worker),
    head,
    hasHead: (attempt: number): boolean => withHead.has(attempt),
    data: (attempt: number, text: string, now: number): void => forwarding.handle({ kind: 'attempt.data', attempt, bytes: Buffer.from(text) }, momentAt(now)),
    end: (attempt: number, now: number): void => forwarding.handle({ kind: 'attempt.ended', attempt }, momentAt(now)),
    fail: (attempt: number, failure: 'unsent' | 'cut' | 'garbled', now: number): void => forwarding.handle({ kind: 'attempt.failed', attempt, failure }, momentAt(now)),
    leave: (request: number, now: number): void => forwarding.handle({ kind: 'call.left', request, id: `r${request}`, stage: 'open', reason: 'callerClosed' }, momentAt(now)),
    tick: (now: number): void => forwarding.tick(momentAt(now)),
    endAll: (now: number): void => forwarding.endAll(momentAt(now)),
    probed: (worker: string, reachable: boolean, now: number): void => forwarding.handle({ kind: 'worker.probed', worker, reachable }, momentAt(now)),
    probes: (): readonly string[] => effects.flatMap(effect => effect.kind === 'worker.probe' ? [effect.worker] : []),
    cancelled: (): readonly number[] => effects.flatMap(effect => effect.kind === 'attempt.cancel' ? [effect.attempt] : [])
  }
}
