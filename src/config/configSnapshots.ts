/**
 * Appends a snapshot of the active version before its records expire. Instances
 * rank themselves by hash, and each rank waits longer than the one before, so
 * usually only one instance appends. A second snapshot only costs its bytes.
 */
import { configStream } from './configTypes.js'
import { activeVersion } from './configDb.js'
import type { ConfigDb } from './configDb.js'
import type { ConfigRecord } from './configTypes.js'
import type { LogEffect } from '../ports/logPort.js'

/** Age of the newest snapshot at which the first rank appends, as a fraction of the retention. */
const firstRankFraction = 1 / 4
/** Additional wait of each sequential rank, as a fraction of the retention. */
const rankDelayFraction = 1 / 32
/** Number of ranks that append one after another; the ranks after them are spread over `lateRanksSpread`, from `lateRanksStart` on. */
const sequentialRanks = 8
/** Age of the newest snapshot from which the later ranks append, as a fraction of the retention. */
const lateRanksStart = 1 / 2
/** Fraction of the retention over which the later ranks are spread. */
const lateRanksSpread = 1 / 4
/** Maximum interval between checks whether a snapshot is due, in ms. */
const checkInterval = 10_000
/** Maximum time since the end of the log was last read for an append to be allowed, in ms. */
const maxStaleness = 15_000

/** Appends snapshots of the active version when they are due. */
export interface ConfigSnapshots {
  /** Returns the append of a snapshot if one is due. */
  readonly tick: (now: number) => readonly LogEffect[]
}

/** Rank of this instance among the live ones for the active version, from 0. */
const rankOf = (db: ConfigDb): number => {
  const { hash, self } = db.options
  const seed = activeVersion(db)
  const own = hash.h32(self, seed)
  return db.peers.reduce((rank, peer) => rank + (hash.h32(peer, seed) < own ? 1 : 0), 0)
}

/**
 * Creates the snapshot scheduler.
 *
 * @param db - the feature's state
 * @returns the scheduler
 */
export const createConfigSnapshots = (db: ConfigDb): ConfigSnapshots => {
  const { retention } = db.options
  let nextCheck = -Infinity
  /** Time of the first check, in ms; used as the time of the newest snapshot while none is known. */
  let firstCheckAt: number | undefined

  const isDue = (now: number): boolean => {
    if (!db.fold.anchored || activeVersion(db) === 0 || now - db.caughtUpAt > maxStaleness) return false
    const age = now - (db.snapshotAt > 0 ? db.snapshotAt : firstCheckAt ?? now)
    if (age < retention * firstRankFraction) return false
    const rank = rankOf(db)
    const fraction = rank < sequentialRanks ? firstRankFraction + rankDelayFraction * rank : lateRanksStart + lateRanksSpread * rank / (db.peers.length + 1)
    return age >= retention * fraction
  }

  const tick = (now: number): readonly LogEffect[] => {
    if (now < nextCheck) return []
    firstCheckAt ??= now
    nextCheck = now + Math.min(checkInterval, retention * rankDelayFraction)
    if (!isDue(now)) return []
    const { lines, history } = db.fold.revision
    const payload: ConfigRecord = { kind: 'snapshot', lines: [...lines], history: [...history], through: db.fold.cursor - 1 }
    return [{ kind: 'log.append', owner: 'config', token: db.nextToken++, stream: configStream, payload }]
  }

  return { tick }
}
