/**
 * How one instance reads the platform's store over time, and whether what others
 * pass on to it agrees with what they believe. Messages between instances may be
 * lost; then the digests differ, and this instance reads all workers once.
 */
import { chooseReading, type ReadingSituation } from '../fleet/reading.js'
import type { ReaderState } from '../fleet/fleetMessages.js'
import type { Moment } from '../lease/readLease.js'
import type { FeedEffect, StoreReadMode } from '../ports/feedPort.js'

/** What it needs. */
export interface StoreReaderOptions {
  readonly situation: (now: Moment) => ReadingSituation
  /** Digest of the workers that this instance believes in. */
  readonly digest: () => number
  readonly emit: (effect: FeedEffect) => void
  readonly onModeChange: (reading: StoreReadMode) => void
  /** Takes in whether the part store is in reach of one that follows it. */
  readonly onPartStoreReachable: (inReach: boolean) => void
  /** Takes in that the source of workers was read by one that passes its conclusions on. */
  readonly onWorkersRead: (now: number) => void
}

/** The reading of one instance. */
export interface StoreReader {
  readonly mode: () => StoreReadMode
  readonly tick: (now: Moment) => void
  /** Takes in the beliefs of an instance that reads for all; `now` in ms. */
  readonly handleReaderState: (state: ReaderState, now: number) => void
}

/** Time, in ms, for which the beliefs may differ from those of all readers; news is on its way for less than that. */
const disagreementLimit = 1_000
/** Time between looks at the fleet, in ms. */
const choiceInterval = 100
/** Time between reads of all workers, in ms. */
const repairPause = 1_500

/**
 * Creates the reading of an instance that reads for itself.
 *
 * @param options - what it needs
 */
export const createStoreReader = (options: StoreReaderOptions): StoreReader => {
  let mode: StoreReadMode = 'forItself'
  let agreedAt = -Infinity
  let repairedAt = -Infinity
  let nextChoice = -Infinity

  const change = (next: StoreReadMode, now: number): void => {
    mode = next
    agreedAt = now
    options.onModeChange(next)
    options.emit({ kind: 'store.read', reading: next })
  }

  const repair = (now: number): void => {
    if (now - agreedAt < disagreementLimit || now - repairedAt < repairPause) return
    repairedAt = now
    options.emit({ kind: 'workers.read' })
  }

  return {
    mode: () => mode,
    tick: now => {
      if (now.steady < nextChoice) return
      nextChoice = now.steady + choiceInterval
      const next = chooseReading(options.situation(now))
      if (next !== mode) change(next, now.steady)
    },
    handleReaderState: ({ workers, partStore }, now) => {
      if (mode !== 'throughPeers') return
      options.onPartStoreReachable(partStore === true)
      if (workers === options.digest()) {
        agreedAt = now
        options.onWorkersRead(now)
      } else repair(now)
    }
  }
}
