/**
 * Decides over time how one instance reads the platform's store, and checks that
 * the records received from other instances match the state of the readers.
 * Messages between instances may be lost. The digests then differ, and this
 * instance repairs its state by reading all workers once.
 */
import { chooseReadMode, readerCount, type ReadModeInput } from '../fleet/readMode.js'
import type { ReaderState } from '../fleet/fleetMessages.js'
import type { Moment } from '../lease/readLease.js'
import type { FeedEffect, StoreReadMode } from '../ports/feedPort.js'

/** What the store reader depends on. */
export interface StoreReaderOptions {
  /** Returns the state of the fleet and of this instance on which the read mode depends. */
  readonly readModeInput: (now: Moment) => Omit<ReadModeInput, 'current' | 'readersMissingFor'>
  /** Digest of the workers known to this instance. */
  readonly digest: () => number
  readonly emit: (effect: FeedEffect) => void
  /** Called when the read mode has changed. */
  readonly onModeChange: (mode: StoreReadMode) => void
  /** Called with the part stores that an instance which follows them reaches, as `host:port`; `all` from one that does not name them. */
  readonly onPartStoresReachable: (stores: readonly string[] | 'all') => void
  /** Called when an instance that reads the discovery source for the others has the same workers as this one; `now` in ms. */
  readonly onWorkersRead: (now: number) => void
}

/** The store reader of one instance. */
export interface StoreReader {
  readonly mode: () => StoreReadMode
  readonly tick: (now: Moment) => void
  /** Compares the state of an instance that reads for all with that of this one; `now` in ms. */
  readonly handleReaderState: (state: ReaderState, now: number) => void
}

/** Time, in ms, for which the digest may differ from that of every reader; updates are in transit for less than that. */
const maxMismatchTime = 1_000
/** Time between two decisions on the read mode, in ms. */
const modeInterval = 100
/** Minimum time between two reads of all workers, in ms. */
const repairInterval = 1_500

/**
 * Creates a store reader in mode `forItself`.
 *
 * @param options - what it depends on
 */
export const createStoreReader = (options: StoreReaderOptions): StoreReader => {
  let mode: StoreReadMode = 'forItself'
  let lastMatchAt = -Infinity
  let lastRepair = -Infinity
  let nextModeCheck = -Infinity
  /** Since when there have been too few readers before this instance, in ms; undefined if there are enough. */
  let readersMissingSince: number | undefined

  const changeMode = (next: StoreReadMode, now: number): void => {
    mode = next
    lastMatchAt = now
    options.onModeChange(next)
    options.emit({ kind: 'store.read', reading: next })
  }

  const repair = (now: number): void => {
    if (now - lastMatchAt < maxMismatchTime || now - lastRepair < repairInterval) return
    lastRepair = now
    options.emit({ kind: 'workers.read' })
  }

  return {
    mode: () => mode,
    tick: now => {
      if (now.steady < nextModeCheck) return
      nextModeCheck = now.steady + modeInterval
      const input = options.readModeInput(now)
      readersMissingSince = input.higherRankedReaders >= readerCount ? undefined : readersMissingSince ?? now.steady
      const next = chooseReadMode({ ...input, current: mode, readersMissingFor: now.steady - (readersMissingSince ?? now.steady) })
      if (next !== mode) changeMode(next, now.steady)
    },
    handleReaderState: ({ workers, partStore, partStores }, now) => {
      if (mode !== 'throughPeers') return
      options.onPartStoresReachable(partStores ?? (partStore === true ? 'all' : []))
      if (workers === options.digest()) {
        lastMatchAt = now
        options.onWorkersRead(now)
      } else repair(now)
    }
  }
}
