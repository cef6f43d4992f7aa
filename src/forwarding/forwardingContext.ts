/** The dependencies of request forwarding on the rest of the instance. */
import type { Address } from '../catalog/catalogTypes.js'
import type { CatalogIndex } from '../catalog/catalogIndex.js'
import type { Hash } from '../hash.js'
import type { Moment, ReadLease } from '../lease/readLease.js'
import type { PartStores } from '../placement/partStores.js'
import type { CachedPartsEstimate } from '../placement/cachedPartsEstimate.js'
import type { WorkerLoad } from '../placement/workerLoad.js'
import type { RetryBudget } from '../admission/retryBudget.js'
import type { ForwardEffect, PromptPart } from '../ports/forwardPort.js'
import type { Random } from '../random.js'
import type { WeightsTracker } from '../workers/weightsTracker.js'
import type { PlacementCoordination } from '../coordination/placementCoordination.js'
import type { PoisonRequests } from '../poisonRequests/poisonRequests.js'
import type { RequestFingerprints } from '../poisonRequests/requestFingerprint.js'
import type { WorkspaceQuotas } from '../quotas/workspaceQuotas.js'
import type { StreamOrigins } from '../streamOrigins/streamOrigins.js'
import type { WorkerLimits } from '../workerLimits/workerLimits.js'
import type { WorkerReach } from '../workerReach/workerReachTypes.js'
import type { WorkersDb } from '../workers/workersDb.js'
import type { ForwardLogEvent } from './forwardingTypes.js'
import type { RequestOrder } from './requestOrder.js'
import type { RouteDurations } from './routeDurations.js'
import type { ShutdownProgress } from './shutdownAdmission.js'

/** State of one instance that forwarding reads and updates, and its outputs. */
export interface ForwardingContext {
  readonly dataCentre: string
  /** The configuration; undefined until there is one. */
  readonly catalog: () => CatalogIndex | undefined
  /** Read lease on the configuration. */
  readonly lease: ReadLease
  readonly bounds: () => ForwardingBounds
  /** How far the shutdown of the instance is; undefined while it does not shut down. */
  readonly shutdownProgress: (now: number) => ShutdownProgress | undefined
  /** How long requests last. */
  readonly durations: RouteDurations
  readonly workers: WorkersDb
  /** Which version of the weights each worker is known to hold. */
  readonly weights: WeightsTracker
  /** The limits that workers have stated, and the permits to send to these. */
  readonly limits: Pick<WorkerLimits, 'permitFor' | 'take' | 'applyResponse' | 'perSecond'>
  /** The quotas of workspaces, and the credit for requests. */
  readonly quotas: Pick<WorkspaceQuotas, 'stateFor' | 'take' | 'giveBack' | 'noteArrival' | 'noteRefused' | 'noteRelayed' | 'tellCounted' | 'isCounted'>
  /** Requests that crash workers. */
  readonly poisonRequests: Pick<PoisonRequests, 'blockOf' | 'noteSent' | 'noteBegun' | 'noteCompleted' | 'noteHeard' | 'noteCancelled' | 'noteCut' | 'noteProbed'>
  /** Placement by coordinators, for services whose workers call for it. */
  readonly coordination: Pick<PlacementCoordination, 'place'>
  /** Recognizes requests that come again under another id. */
  readonly fingerprintOf: RequestFingerprints
  /** Whether this instance reaches the workers of a service, and which others do. */
  readonly workerReach: Pick<WorkerReach, 'reachOf' | 'mayBeCutOff' | 'relaysFor' | 'dropRelay' | 'noteConnected' | 'noteHeard' | 'noteUnreachable'>
  /** Where callers of another instance connect; undefined if it is not known. */
  readonly frontOf: (peer: string) => Address | undefined
  /** Where streams began. */
  readonly streamOrigins: Pick<StreamOrigins, 'begin' | 'end' | 'lookUp' | 'fits' | 'tell'>
  readonly loadOf: (worker: string) => WorkerLoad
  /** Estimate of the prompt parts in a worker's cache. */
  readonly cachedPartsOf: (worker: string) => CachedPartsEstimate
  /** Returns the part store of a prompt with these shared parts and what it is known to hold; undefined if it is unreachable or there is none. */
  readonly partStoreOf: PartStores['storeOf']
  /** Takes a prompt of so many tokens from this instance's part of what the fleet may send to the part store; returns false if it may not be stored. */
  readonly takeStoreBudget: (tokens: number, now: number) => boolean
  /** Whether that estimate is updated from the part store's events, so that evicted parts are removed from it. */
  readonly followsStoreEvents: () => boolean
  /** Who is served when room is short. */
  readonly requestOrder: RequestOrder
  /** The retry budget of a service. */
  readonly retries: (service: string) => RetryBudget
  /** Number of instances that share the retry budget. */
  readonly instances: () => number
  readonly hash: Hash
  readonly random: Random
  /** Requests an effect from the adapters. */
  readonly emit: (effect: ForwardEffect) => void
  /** Writes a log event. */
  readonly log: (event: ForwardLogEvent) => void
  /** Counts an unexpected error of a place, one of a fixed set of names, and logs it with a bound. */
  readonly reportError: (place: string, error: unknown) => void
  /** Informs the other instances of a long prompt that was sent to a worker. */
  readonly announceSend: (sent: SentPrompt) => void
  /** Informs the other instances that a worker has stated that this lifetime of it is leaving. */
  readonly announceLeaving: (worker: string, startedAt: number) => void
  /** Informs the other instances that a worker may be unreachable. */
  readonly announceSuspect: (worker: string) => void
}

/** A long prompt that was sent to a worker. */
export interface SentPrompt {
  readonly worker: string
  /** Tokens that the worker has to prefill. */
  readonly unreadTokens: number
  readonly scope: string
  /** Its shared parts. */
  readonly parts: readonly PromptPart[]
  /** Whether many shared tokens are unread, so that probably no worker has these parts cached yet. */
  readonly first: boolean
  /** Whether the worker was asked to send the prompt to the part store. */
  readonly stores: boolean
}

/** Time limits of forwarding, in ms; the first two are ages of the newest proof that the configuration is current. */
export interface ForwardingBounds {
  /** Age from which requests on routes that need a key are refused. */
  readonly keys: number
  /** Age from which an unknown key or path may belong to a newer configuration, so that it is not reported as unknown. */
  readonly absence: number
  /** Time from the announcement of new weights after which every request has to start on them. */
  readonly weights: number
}

/** Present time of one decision. */
export interface DecisionTime {
  /** The steady clock, in ms. */
  readonly now: number
  /** Both clocks, for the age of a proof. */
  readonly moment: Moment
}
