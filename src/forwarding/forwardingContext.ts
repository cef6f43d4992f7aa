/** What forwarding needs from the rest of the instance. */
import type { CatalogIndex } from '../catalog/catalogIndex.js'
import type { Hash } from '../hash.js'
import type { Moment, ReadLease } from '../lease/readLease.js'
import type { KeptParts } from '../placement/keptParts.js'
import type { WorkerLoad } from '../placement/workerLoad.js'
import type { RetryBudget } from '../admission/retryBudget.js'
import type { ForwardEffect, PromptPart } from '../ports/forwardPort.js'
import type { Random } from '../random.js'
import type { WeightsBelief } from '../workers/weightsBelief.js'
import type { WorkersDb } from '../workers/workersDb.js'
import type { ForwardNote } from './forwardingTypes.js'

/** Knowledge and outlets of one instance. */
export interface ForwardingContext {
  readonly dataCentre: string
  readonly catalog: () => CatalogIndex | undefined
  readonly lease: ReadLease
  readonly bounds: () => ForwardingBounds
  readonly workers: WorkersDb
  readonly weights: WeightsBelief
  readonly loadOf: (worker: string) => WorkerLoad
  readonly keptBy: (worker: string) => KeptParts
  /** What the part store is believed to keep; undefined while it is out of reach. */
  readonly stored: () => KeptParts | undefined
  /** Whether that belief follows the part store's events, so that it hears of what is dropped. */
  readonly followsStore: () => boolean
  readonly retries: (service: string) => RetryBudget
  /** Instances that share the retry budget. */
  readonly instances: () => number
  readonly hash: Hash
  readonly random: Random
  readonly emit: (effect: ForwardEffect) => void
  readonly note: (note: ForwardNote) => void
  /** Tells the other instances what a worker was given to read; `first` says that no keeper of these parts was known. */
  readonly tellSent: (worker: string, unreadTokens: number, scope: string, parts: readonly PromptPart[], first: boolean) => void
  /** Tells the other instances that a worker may be out of reach. */
  readonly tellDoubt: (worker: string) => void
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
