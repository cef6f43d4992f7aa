/**
 * Decides whether a read of the store proves that this instance's configuration
 * is the newest. After a restoration from a copy the store may hold an older
 * configuration until the operator's writes have been repeated. Until then a read
 * proves nothing, and instances that know a newer configuration may not have been
 * heard yet.
 */

/** Validity of the store's proofs at one instance; times in ms. */
export interface StoreProof {
  /** Records the version of a configuration that the store returned. */
  readonly noteCatalog: (version: number) => void
  /** Records that the store was restored. */
  readonly noteRestored: (now: number) => void
  /** Whether a read proves that configuration `version` is the newest. */
  readonly isValid: (version: number, now: number) => boolean
}

/** Time after a restoration within which the operator's writes are repeated and other instances are heard, in ms. */
const settlingTime = 1_000

/** Creates the state of an instance that has not read the store. */
export const createStoreProof = (): StoreProof => {
  let storeVersion = 0
  let restoredAt = -Infinity

  return {
    noteCatalog: version => { storeVersion = version },
    noteRestored: now => { restoredAt = now },
    isValid: (version, now) => storeVersion >= version && now - restoredAt >= settlingTime
  }
}
