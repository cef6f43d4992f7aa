/** Port for the platform's store, which provides the configuration, the weight versions, the workers and the instances, and for the part stores, shared caches of prompt parts. */
import type { Address, Catalog } from '../catalog/catalogTypes.js'
import type { Moment } from '../lease/readLease.js'
import type { WorkerRecord } from '../workers/workersTypes.js'

/** An instance as it registers itself in the store. */
export interface FleetMember {
  readonly id: string
  /** Identifies this start of the process. */
  readonly incarnation: string
  readonly dataCentre: string
  /** Address for callers (the front), as `IP:PORT`. */
  readonly front: string
  /** Address for other instances. */
  readonly peer: Address
  /** Processing capacity of the instance, in multiples of one processor; may be a fraction. */
  readonly capacity: number
}

/**
 * How an instance obtains the contents of the platform's store: it reads them for
 * itself only, reads them and passes them on to all others, receives them from the
 * instances that read for all, or reads them itself because those instances have
 * fallen silent.
 */
export type StoreReadMode = 'forItself' | 'forAll' | 'throughPeers' | 'inReserve'

/** A change in the contents of the part store. */
export type PartChange =
  | { readonly kind: 'kept', readonly scope: string, readonly part: string, readonly tokens: number }
  | { readonly kind: 'dropped', readonly scope: string, readonly part: string }

/** An external source that an instance depends on. */
export type Dependency = 'configuration' | 'workers' | 'members' | 'partStore'

/** Inputs from the store and from the part store. */
export type FeedInput =
  | { readonly kind: 'feed.catalog', readonly catalog: Catalog }
  /** The configuration and weight versions received last were the newest at `asOf`. */
  | { readonly kind: 'feed.proof', readonly asOf: Moment }
  | { readonly kind: 'feed.weights', readonly model: string, readonly version: number }
  /** One read of the workers; `complete` states that it lists all of them. */
  | { readonly kind: 'feed.workers', readonly records: readonly WorkerRecord[], readonly complete: boolean }
  | { readonly kind: 'feed.members', readonly members: readonly FleetMember[], readonly withdrawn: readonly string[] }
  /** Changes in one part store; `restarted` states that everything known about it before is void. */
  | { readonly kind: 'feed.parts', readonly store: Address, readonly restarted: boolean, readonly changes: readonly PartChange[] }
  /** The store was restored from a copy and may lack the newest records; `era` counts its restorations. */
  | { readonly kind: 'feed.restored', readonly era: number }
  /** `store` is given for a part store. */
  | { readonly kind: 'feed.lost', readonly dependency: Dependency, readonly store?: Address, readonly reason: string }
  | { readonly kind: 'feed.regained', readonly dependency: Dependency }

/** Requests of an instance to the store and the part store. */
export type FeedEffect =
  | { readonly kind: 'member.announce', readonly member: FleetMember }
  | { readonly kind: 'member.withdraw', readonly id: string }
  /** Changes how the instance reads the store. */
  | { readonly kind: 'store.read', readonly reading: StoreReadMode }
  /** Reads the configuration and the announced weights once, although other instances read for this one. */
  | { readonly kind: 'configuration.read' }
  /** Reads all workers once, although other instances read for this one. */
  | { readonly kind: 'workers.read' }
  /** Follows the events of the part stores at these addresses, and of no others. */
  | { readonly kind: 'parts.follow', readonly addresses: readonly Address[] }

/** Requests to the topic of the store in which the instances record where streams began; see `src/streamOrigins/streamRecords.ts`. */
export type StreamStoreEffect =
  /** Appends a record; it is answered by `streams.appended` or `streams.notAppended`. */
  | { readonly kind: 'streams.append', readonly record: unknown }
  /** Reads the `count` newest records; answered by `streams.records` or `streams.unread`. */
  | { readonly kind: 'streams.read', readonly count: number }

/** Results of these requests. */
export type StreamStoreInput =
  | { readonly kind: 'streams.appended' }
  /** No response was received, or the store rejected the call; the record may have been appended, or may be later. */
  | { readonly kind: 'streams.notAppended' }
  /** The newest records in their order, decoded but not validated; undefined stands for one that could not be decoded. */
  | { readonly kind: 'streams.records', readonly records: readonly unknown[] }
  | { readonly kind: 'streams.unread' }
