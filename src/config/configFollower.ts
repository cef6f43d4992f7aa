/**
 * Follows the log. Every instance polls; the interval grows with the fleet, so
 * that the whole fleet's polls stay at a constant rate and someone sees a new
 * record within a fraction of a second.
 */
import { foldPage } from './configFold.js'
import { putInForce } from './configDb.js'
import { configStream } from './configTypes.js'
import type { ConfigDb } from './configDb.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'

/** Ms between polls for each instance of the fleet. */
const pollIntervalPerInstance = 12.5
/** Ms between polls at least. */
const minPollInterval = 500
/** Ms between polls at most. */
const maxPollInterval = 4000
/** Ms between reads at least, unless a page leads on to the next. */
const minReadGap = 100
/** Ms after which a read without an answer is repeated. */
const readTimeout = 2000
/** Records of a page. */
const pageSize = 256
/** Reads whose late answers are still told apart. */
const maxOpenReads = 4

/** Reads the log. */
export interface ConfigFollower {
  /** Reads as soon as possible. */
  readonly urge: (now: number) => void
  readonly tick: (now: number) => readonly LogEffect[]
  /** Takes an answer; tells whether a higher version came into force. */
  readonly take: (input: Extract<LogInput, { kind: 'log.records' }>, now: number) => boolean
  readonly fail: (input: Extract<LogInput, { kind: 'log.failed' }>) => void
}

/**
 * Creates a follower.
 *
 * @param db - the feature's state
 * @returns the follower
 */
export const createConfigFollower = (db: ConfigDb): ConfigFollower => {
  const { random } = db.options
  /** Open reads: token to the time of sending. */
  const open = new Map<number, number>()
  let nextPoll = -Infinity
  let lastSent = -Infinity

  const interval = (): number => {
    const even = Math.min(maxPollInterval, Math.max(minPollInterval, db.peers.length * pollIntervalPerInstance))
    return even * (0.8 + 0.4 * random.unit())
  }

  const waiting = (now: number): boolean => open.size > 0 && now - lastSent < readTimeout

  const tick = (now: number): readonly LogEffect[] => {
    if (now < nextPoll || waiting(now)) return []
    const token = db.nextToken++
    open.set(token, now)
    if (open.size > maxOpenReads) open.delete(open.keys().next().value ?? token)
    lastSent = now
    nextPoll = now + interval()
    return [{ kind: 'log.read', owner: 'config', token, stream: configStream, from: db.fold.cursor, limit: pageSize }]
  }

  /** Closes a read and those before it; answers with its time of sending. */
  const close = (token: number): number | undefined => {
    const sent = open.get(token)
    if (sent === undefined) return undefined
    for (const [other, time] of open) if (time <= sent) open.delete(other)
    return sent
  }

  const take = (input: Extract<LogInput, { kind: 'log.records' }>, now: number): boolean => {
    const sent = close(input.token)
    const cursor = db.fold.cursor
    const { fold, steps } = foldPage(db.fold, input)
    const changed = putInForce(db, fold, steps)
    const reachedEnd = db.fold.cursor >= input.end
    if (reachedEnd && db.fold.anchored && sent !== undefined) db.caughtUpAt = Math.max(db.caughtUpAt, sent)
    if (!reachedEnd && db.fold.cursor !== cursor) nextPoll = now
    return changed
  }

  const fail = (input: Extract<LogInput, { kind: 'log.failed' }>): void => {
    close(input.token)
  }

  return { urge: now => { nextPoll = Math.min(nextPoll, Math.max(now, lastSent + minReadGap)) }, tick, take, fail }
}
