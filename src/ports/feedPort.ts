/** What the platform's store tells an instance: configuration, weights, workers, instances and the parts that a part store keeps. */
import type { Address, Catalog } from '../catalog/catalogTypes.js'
import type { Moment } from '../lease/readLease.js'
import type { WorkerRecord } from '../workers/workersTypes.js'

/** One instance as it announces itself. */
export interface FleetMember {
  readonly id: string
  /** Name of this start of the process. */
  readonly incarnation: string
  readonly dataCentre: string
  /** Where callers connect, as IP:PORT. */
  readonly front: string
  /** Where other instances connect. */
  readonly peer: Address
  /** Processors that the instance may use, as a share of one. */
  readonly capacity: number
}

/**
 * How an instance learns what the platform's store holds: by reading for itself,
 * by reading for all, from others that read, or by reading because these are silent.
 */
export type StoreReadMode = 'forItself' | 'forAll' | 'throughPeers' | 'inReserve'

/** A change in what the part store keeps. */
export type PartChange =
  | { readonly kind: 'kept', readonly scope: string, readonly part: string, readonly tokens: number }
  | { readonly kind: 'dropped', readonly scope: string, readonly part: string }

/** What an instance depends on. */
export type Dependency = 'configuration' | 'workers' | 'members' | 'partStore'

/** What the store tells. */
export type FeedInput =
  | { readonly kind: 'feed.catalog', readonly catalog: Catalog }
  /** The newest configuration and weights that were told are the newest as of that moment. */
  | { readonly kind: 'feed.proof', readonly asOf: Moment }
  | { readonly kind: 'feed.weights', readonly model: string, readonly version: number }
  | { readonly kind: 'feed.workers', readonly records: readonly WorkerRecord[], readonly complete: boolean }
  | { readonly kind: 'feed.members', readonly members: readonly FleetMember[], readonly withdrawn: readonly string[] }
  /** `restarted` says that all that was known of the part store is void. */
  | { readonly kind: 'feed.parts', readonly restarted: boolean, readonly changes: readonly PartChange[] }
  | { readonly kind: 'feed.lost', readonly dependency: Dependency, readonly reason: string }
  | { readonly kind: 'feed.regained', readonly dependency: Dependency }

/** What an instance tells the store. */
export type FeedEffect =
  | { readonly kind: 'member.announce', readonly member: FleetMember }
  | { readonly kind: 'member.withdraw', readonly id: string }
  /** Read on in this way. */
  | { readonly kind: 'store.read', readonly reading: StoreReadMode }
  /** Read all workers once, though others read for this instance. */
  | { readonly kind: 'workers.read' }
  /** Follow a part store, or none. */
  | { readonly kind: 'parts.follow', readonly address: Address | undefined }
