/**
 * Re-appends the version in force before its records expire. Instances rank
 * themselves by hash; each next rank waits a little longer, so that one append
 * is the rule and a second one only costs its bytes.
 */
import { configStream } from './configTypes.js'
import { versionInForce } from './configDb.js'
import type { ConfigDb } from './configDb.js'
import type { ConfigRecord } from './configTypes.js'
import type { LogEffect } from '../ports/logPort.js'

/** The part of the retention after which the first rank appends. */
const dueShare = 1 / 4
/** The part of the retention that each of the first ranks waits longer than the one before. */
const rankShare = 1 / 32
/** Ranks that wait for one another in turn; those after them spread over `lateShare`, from `lateStart` on. */
const firstRanks = 8
const lateStart = 1 / 2
const lateShare = 1 / 4
/** Ms between looks at whether a snapshot is due. */
const lookInterval = 10_000
/** Ms within which the log's end must have been read. */
const maxStaleness = 15_000

/** Appends snapshots when they are due. */
export interface ConfigSnapshots {
  readonly tick: (now: number) => readonly LogEffect[]
}

const rankOf = (db: ConfigDb): number => {
  const { hash, self } = db.options
  const seed = versionInForce(db)
  const own = hash.h32(self, seed)
  return db.peers.reduce((rank, peer) => rank + (hash.h32(peer, seed) < own ? 1 : 0), 0)
}

/**
 * Creates the snapshot keeper.
 *
 * @param db - the feature's state
 * @returns the keeper
 */
export const createConfigSnapshots = (db: ConfigDb): ConfigSnapshots => {
  const { retention } = db.options
  let nextLook = -Infinity
  /** The time of the first look; it stands for the newest snapshot's while none is known. */
  let firstLook: number | undefined

  const isDue = (now: number): boolean => {
    if (!db.fold.anchored || versionInForce(db) === 0 || now - db.caughtUpAt > maxStaleness) return false
    const age = now - (db.snapshotAt > 0 ? db.snapshotAt : firstLook ?? now)
    if (age < retention * dueShare) return false
    const rank = rankOf(db)
    const share = rank < firstRanks ? dueShare + rankShare * rank : lateStart + lateShare * rank / (db.peers.length + 1)
    return age >= retention * share
  }

  const tick = (now: number): readonly LogEffect[] => {
    if (now < nextLook) return []
    firstLook ??= now
    nextLook = now + Math.min(lookInterval, retention * rankShare)
    if (!isDue(now)) return []
    const { lines, history } = db.fold.revision
    const payload: ConfigRecord = { kind: 'snapshot', lines: [...lines], history: [...history], through: db.fold.cursor - 1 }
    return [{ kind: 'log.append', owner: 'config', token: db.nextToken++, stream: configStream, payload }]
  }

  return { tick }
}
