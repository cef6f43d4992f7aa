/**
 * Index of the prompt parts that the part store holds, as far as one instance
 * knows. An instance that follows the store updates the index from the store's
 * events. An instance that relies on others to read the store knows only the
 * parts that it and its peers stored, not what the store evicts; it queries the
 * store in any case, since a miss costs only 1 ms.
 */
import type { Address } from '../catalog/catalogTypes.js'
import { assertNever } from '../errors.js'
import { createCachedPartsEstimate, type CachedPartsEstimate } from '../placement/cachedPartsEstimate.js'
import type { PartChange } from '../ports/feedPort.js'

/** The index of one instance. */
export interface PartStoreIndex {
  /** The known parts; undefined while the store is unreachable or none is configured. */
  readonly parts: () => CachedPartsEstimate | undefined
  /** Sets the address and the capacity of the store, and clears the index. */
  readonly setStore: (address: Address | undefined, memoryTokens: number) => void
  /** Applies events of the store; `isOutdated` recognizes scopes of weights that have been replaced. */
  readonly apply: (restarted: boolean, changes: readonly PartChange[], isOutdated: (scope: string) => boolean) => void
  /** Clears the index because this instance lost its connection to the store. */
  readonly markUnreachable: () => void
  /** Records whether the store is reachable, as reported by an instance that follows it. */
  readonly setReachable: (reachable: boolean) => void
  /** Whether the store is reachable as far as this instance knows; undefined if none is configured. */
  readonly isReachable: () => boolean | undefined
}

/** Creates an index without a store. */
export const createPartStoreIndex = (): PartStoreIndex => {
  let address: Address | undefined
  let capacity = 0
  let index: CachedPartsEstimate | undefined

  const applyChange = (parts: CachedPartsEstimate, change: PartChange): void => {
    switch (change.kind) {
      case 'kept': return parts.add(change.scope, [{ id: change.part, tokens: change.tokens }])
      case 'dropped': return parts.drop(change.scope, change.part)
      default: assertNever(change)
    }
  }

  return {
    parts: () => index,
    setStore: (storeAddress, memoryTokens) => {
      address = storeAddress
      capacity = memoryTokens
      index = undefined
    },
    apply: (restarted, changes, isOutdated) => {
      if (restarted || index === undefined) index = createCachedPartsEstimate(capacity)
      for (const change of changes) {
        // A request that runs while its worker changes weights may store parts under the old scope, so late additions to an outdated scope are ignored.
        if (change.kind === 'dropped' || !isOutdated(change.scope)) applyChange(index, change)
      }
    },
    markUnreachable: () => { index = undefined },
    setReachable: reachable => {
      if (!reachable || address === undefined) index = undefined
      else index ??= createCachedPartsEstimate(capacity)
    },
    isReachable: () => address === undefined ? undefined : index !== undefined
  }
}
