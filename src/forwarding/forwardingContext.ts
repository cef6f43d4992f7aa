/** What forwarding needs from the rest of the instance. */
import type { CatalogIndex } from '../catalog/catalogIndex.js'
import type { Hash } from '../hash.js'
import type { Moment, ReadLease } from '../lease/readLease.js'
import type { CachedPartsEstimate } from '../placement/cachedPartsEstimate.js'
import type { WorkerLoad } from '../placement/workerLoad.js'
import type { RetryBudget } from '../admission/retryBudget.js'
import type { ForwardEffect, PromptPart } from '../ports/forwardPort.js'
import type { Random } from '../random.js'
import type { WeightsTracker } from '../workers/weightsTracker.js'
import type { WorkersDb } from '../workers/workersDb.js'
import type { ForwardLogEvent } from './forwardingTypes.js'

/** Knowledge and outlets of one instance. */
export interface ForwardingContext {
  readonly dataCentre: string
  readonly catalog: () => CatalogIndex | undefined
  readonly lease: ReadLease
  readonly bounds: () => ForwardingBounds
  readonly workers: WorkersDb
  readonly weights: WeightsTracker
  readonly loadOf: (worker: string) => WorkerLoad
  readonly cachedPartsOf: (worker: string) => CachedPartsEstimate
  /** What the part store is believed to keep; undefined while it is out of reach. */
  readonly stored: () => CachedPartsEstimate | undefined
  /** Whether that belief follows the part store's events, so that it hears of what is dropped. */
  readonly followsStoreEvents: () => boolean
  readonly retries: (service: string) => RetryBudget
  /** Instances that share the retry budget. */
  readonly instances: () => number
  readonly hash: Hash
  readonly random: Random
  readonly emit: (effect: ForwardEffect) => void
  readonly log: (note: ForwardLogEvent) => void
  /** Tells the other instances what a worker was given to read; `first` says that no keeper of these parts was known. */
  readonly announceSend: (worker: string, unreadTokens: number, scope: string, parts: readonly PromptPart[], first: boolean) => void
  /** Tells the other instances that a worker may be out of reach. */
  readonly announceSuspect: (worker: string) => void
}

/** Times that forwarding keeps, in ms; the first two are ages of the newest proof. */
export interface ForwardingBounds {
  /** From here on requests with a key are turned away. */
  readonly keys: number
  /** From here on an unknown key or path may be one of a newer configuration. */
  readonly absence: number
  /** Time from the naming of weights within which every request has to begin on them. */
  readonly weights: number
}

/** Times of one decision. */
export interface DecisionTime {
  /** Present time, steady, in ms. */
  readonly now: number
  readonly moment: Moment
}
