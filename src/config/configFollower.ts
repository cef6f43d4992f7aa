/**
 * Polls the log for new records. Every instance polls; the interval grows with
 * the size of the fleet, so that the fleet polls at a constant total rate and
 * at least one instance reads a new record within a fraction of a second.
 */
import { foldPage } from './configFold.js'
import { activateFold } from './configDb.js'
import { configStream } from './configTypes.js'
import type { ConfigDb } from './configDb.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'

/** Poll interval per peer, in ms; the interval of an instance is this times the number of its peers. */
const pollIntervalPerInstance = 12.5
/** Minimum poll interval, in ms, before jitter. */
const minPollInterval = 500
/** Maximum poll interval, in ms, before jitter. */
const maxPollInterval = 4000
/** Minimum time between a read and one scheduled by `pollSoon`, in ms. The next page of a longer read is requested at once. */
const minReadInterval = 100
/** Time after which an unanswered read is repeated, in ms. */
const readTimeout = 2000
/** Maximum number of records in a page. */
const pageSize = 256
/** Maximum number of unanswered reads that are tracked to recognise late answers. */
const maxOpenReads = 4

/** Reads the configuration stream of the log. */
export interface ConfigFollower {
  /** Schedules a read as soon as `minReadInterval` allows. */
  readonly pollSoon: (now: number) => void
  /** Returns the read that is due, if one is. */
  readonly tick: (now: number) => readonly LogEffect[]
  /** Folds the records of a read; returns whether a higher version became active. */
  readonly handleRecords: (input: Extract<LogInput, { kind: 'log.records' }>, now: number) => boolean
  /** Handles a failed read. */
  readonly handleFailure: (input: Extract<LogInput, { kind: 'log.failed' }>) => void
}

/**
 * Creates a follower of the configuration stream.
 *
 * @param db - the feature's state, which reads update
 * @returns the follower
 */
export const createConfigFollower = (db: ConfigDb): ConfigFollower => {
  const { random } = db.options
  /** Unanswered reads: token to send time in ms. */
  const openReads = new Map<number, number>()
  let nextPoll = -Infinity
  let lastSent = -Infinity

  const nextInterval = (): number => {
    const baseInterval = Math.min(maxPollInterval, Math.max(minPollInterval, db.peers.length * pollIntervalPerInstance))
    return baseInterval * (0.8 + 0.4 * random.unit())
  }

  const isReadPending = (now: number): boolean => openReads.size > 0 && now - lastSent < readTimeout

  const tick = (now: number): readonly LogEffect[] => {
    if (now < nextPoll || isReadPending(now)) return []
    const token = db.nextToken++
    openReads.set(token, now)
    if (openReads.size > maxOpenReads) openReads.delete(openReads.keys().next().value ?? token)
    lastSent = now
    nextPoll = now + nextInterval()
    return [{ kind: 'log.read', owner: 'config', token, stream: configStream, from: db.fold.cursor, limit: pageSize }]
  }

  /** Removes a read and those sent before it; returns its send time in ms, or undefined if it is not tracked. */
  const closeRead = (token: number): number | undefined => {
    const sent = openReads.get(token)
    if (sent === undefined) return undefined
    for (const [other, time] of openReads) if (time <= sent) openReads.delete(other)
    return sent
  }

  const handleRecords = (input: Extract<LogInput, { kind: 'log.records' }>, now: number): boolean => {
    const sent = closeRead(input.token)
    const cursor = db.fold.cursor
    const { fold, steps } = foldPage(db.fold, input)
    const changed = activateFold(db, fold, steps)
    const reachedEnd = db.fold.cursor >= input.end
    if (reachedEnd && db.fold.anchored && sent !== undefined) db.caughtUpAt = Math.max(db.caughtUpAt, sent)
    if (!reachedEnd && db.fold.cursor !== cursor) nextPoll = now
    return changed
  }

  const handleFailure = (input: Extract<LogInput, { kind: 'log.failed' }>): void => {
    closeRead(input.token)
  }

  return { pollSoon: now => { nextPoll = Math.min(nextPoll, Math.max(now, lastSent + minReadInterval)) }, tick, handleRecords, handleFailure }
}
