/**
 * What one instance believes the part store to keep. One that follows the store
 * knows by its events. One that others read for knows only what it had stored
 * itself; it asks the store in any case, since a miss costs a ms there.
 */
import type { Address } from '../catalog/catalogTypes.js'
import { assertNever } from '../errors.js'
import { createKeptParts, type KeptParts } from '../placement/keptParts.js'
import type { PartChange } from '../ports/feedPort.js'

/** The belief of one instance. */
export interface PartStoreIndex {
  /** Undefined while the store is out of reach, or there is none. */
  readonly parts: () => KeptParts | undefined
  /** Takes in where the store is and how much it holds. */
  readonly setStore: (address: Address | undefined, memoryTokens: number) => void
  /** Takes in events of the store; `isOld` tells scopes of weights that were replaced. */
  readonly apply: (restarted: boolean, changes: readonly PartChange[], isOld: (scope: string) => boolean) => void
  readonly markUnreachable: () => void
  /** Takes in from one that follows the store whether it is in reach. */
  readonly setReachable: (inReach: boolean) => void
  /** Whether it is in reach as far as this instance knows; undefined without a store. */
  readonly isReachable: () => boolean | undefined
}

/** Creates the belief that there is no store. */
export const createPartStoreIndex = (): PartStoreIndex => {
  let address: Address | undefined
  let memory = 0
  let stored: KeptParts | undefined

  const take = (parts: KeptParts, change: PartChange): void => {
    switch (change.kind) {
      case 'kept': return parts.add(change.scope, [{ id: change.part, tokens: change.tokens }])
      case 'dropped': return parts.drop(change.scope, change.part)
      default: assertNever(change)
    }
  }

  return {
    parts: () => stored,
    setStore: (where, memoryTokens) => {
      address = where
      memory = memoryTokens
      stored = undefined
    },
    apply: (restarted, changes, isOld) => {
      if (restarted || stored === undefined) stored = createKeptParts(memory)
      for (const change of changes) {
        // Parts that a run makes while its worker changes weights may bear the old scope, so none of an old scope is taken in late.
        if (change.kind === 'dropped' || !isOld(change.scope)) take(stored, change)
      }
    },
    markUnreachable: () => { stored = undefined },
    setReachable: inReach => {
      if (!inReach || address === undefined) stored = undefined
      else stored ??= createKeptParts(memory)
    },
    isReachable: () => address === undefined ? undefined : stored !== undefined
  }
}
