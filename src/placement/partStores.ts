/**
 * The part stores of the configuration, and which prompt parts each of them holds
 * as far as one instance knows. Each prompt belongs to one store, chosen by
 * rendezvous hashing of its last shared part, so that together the stores hold as
 * many parts as they have room for, and all instances choose the same one without
 * communicating. The store of a prompt stays the same while it is unreachable; its
 * prompts are prefilled meanwhile, as a store that returns would hold them again.
 *
 * An instance that follows the stores updates the indexes from their events. One
 * that relies on others to read them knows only the parts that it and its peers
 * stored, not what the stores evict; it queries the stores in any case, since a
 * miss costs only 1 ms.
 */
import { rendezvousScore } from '../addresses/rendezvous.js'
import type { Address } from '../catalog/catalogTypes.js'
import { assertNever } from '../errors.js'
import type { Hash } from '../hash.js'
import { createCachedPartsEstimate, type CachedPartsEstimate } from './cachedPartsEstimate.js'
import type { PartChange } from '../ports/feedPort.js'
import type { PromptPart } from '../ports/forwardPort.js'

/** A part store of the configuration. */
export interface ConfiguredStore {
  readonly address: Address
  /** Capacity, in tokens. */
  readonly memoryTokens: number
}

/** A reachable part store and the parts that it is known to hold. */
export interface ReachableStore {
  readonly address: Address
  readonly index: CachedPartsEstimate
}

/** The part stores of one instance. */
export interface PartStores {
  /** Returns the store of a prompt with these shared parts; undefined if it is unreachable, or if there is no store or no part. */
  readonly storeOf: (sharedParts: readonly PromptPart[]) => ReachableStore | undefined
  /** Sets the stores; what is known of those that stay is kept. */
  readonly setStores: (stores: readonly ConfiguredStore[]) => void
  /** Applies events of a store; `isOutdated` recognizes scopes of weights that have been replaced. */
  readonly apply: (store: Address, restarted: boolean, changes: readonly PartChange[], isOutdated: (scope: string) => boolean) => void
  /** Clears the index of a store because this instance lost its connection to it. */
  readonly markUnreachable: (store: Address) => void
  /** Records which stores are reachable, as `host:port`, as reported by an instance that follows them. */
  readonly setReachable: (stores: readonly string[] | 'all') => void
  /** The reachable stores, as `host:port`. */
  readonly reachable: () => readonly string[]
  /** Whether the first store is reachable; undefined if none is configured. */
  readonly isFirstReachable: () => boolean | undefined
}

interface StoreState extends ConfiguredStore {
  readonly name: string
  readonly nameHash: number
  /** Undefined while the store is unreachable. */
  index: CachedPartsEstimate | undefined
}

const nameOf = ({ host, port }: Address): string => `${host}:${port}`

const applyChange = (parts: CachedPartsEstimate, change: PartChange): void => {
  switch (change.kind) {
    case 'kept': return parts.add(change.scope, [{ id: change.part, tokens: change.tokens }])
    case 'dropped': return parts.drop(change.scope, change.part)
    default: assertNever(change)
  }
}

/**
 * Creates the state of an instance without part stores.
 *
 * @param hash - the process's hash functions
 */
export const createPartStores = (hash: Hash): PartStores => {
  let stores: readonly StoreState[] = []

  const find = (address: Address): StoreState | undefined => stores.find(({ name }) => name === nameOf(address))

  const stateOf = ({ address, memoryTokens }: ConfiguredStore): StoreState => {
    const name = nameOf(address)
    return { address, memoryTokens, name, nameHash: hash.h32(name), index: find(address)?.index }
  }

  const preferredFor = (part: string): StoreState | undefined => {
    const key = hash.h32(part)
    let best: StoreState | undefined
    let bestScore = -Infinity
    for (const store of stores) {
      const score = rendezvousScore(key, store.nameHash)
      if (score <= bestScore) continue
      best = store
      bestScore = score
    }
    return best
  }

  return {
    storeOf: parts => {
      const last = parts.at(-1)
      const store = last === undefined ? undefined : preferredFor(last.id)
      return store?.index === undefined ? undefined : { address: store.address, index: store.index }
    },
    setStores: configured => { stores = configured.map(stateOf) },
    apply: (address, restarted, changes, isOutdated) => {
      const store = find(address)
      if (store === undefined) return
      const index = restarted || store.index === undefined ? createCachedPartsEstimate(store.memoryTokens) : store.index
      store.index = index
      for (const change of changes) {
        // A request that runs while its worker changes weights may store parts under the old scope, so late additions to an outdated scope are ignored.
        if (change.kind === 'dropped' || !isOutdated(change.scope)) applyChange(index, change)
      }
    },
    markUnreachable: address => {
      const store = find(address)
      if (store !== undefined) store.index = undefined
    },
    setReachable: reachable => {
      for (const store of stores) {
        if (reachable === 'all' || reachable.includes(store.name)) store.index ??= createCachedPartsEstimate(store.memoryTokens)
        else store.index = undefined
      }
    },
    reachable: () => stores.flatMap(({ name, index }) => index === undefined ? [] : [name]),
    isFirstReachable: () => stores.length === 0 ? undefined : stores[0].index !== undefined
  }
}
