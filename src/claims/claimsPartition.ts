/**
 * One partition at an instance that holds it: gathers claims and ends, appends
 * them in batches, reads the stream back and says what it decided. A failed
 * append is resolved by reading. Two holders at once are harmless, since both
 * read the same order.
 */
import { createFold } from './claimsFold.js'
import type { Fold } from './claimsFold.js'
import { createQueue, createWaiting } from './claimsQueue.js'
import type { Waiting } from './claimsQueue.js'
import type { Claim, Close, Verdict } from './claimsMessages.js'
import { createSeek } from './claimsSeek.js'
import type { Seek } from './claimsSeek.js'
import { appendGap, appendTries, foldSweepInterval, logPatience, logPause, longestPage, longestQueue, mostCalls, partitionIdle } from './claimsTimes.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'

/** What a partition has to say to instances. */
export type PartitionReply =
  | { readonly kind: 'verdict', readonly to: string, readonly claim: Claim, readonly verdict: Verdict }
  /** The claim still waits for the log. */
  | { readonly kind: 'queued', readonly to: string, readonly claim: Claim }
  | { readonly kind: 'closed', readonly to: string, readonly close: Close }

/** What a partition asks of the node. */
export interface PartitionStep {
  readonly effects: readonly LogEffect[]
  readonly replies: readonly PartitionReply[]
}

/** A partition that this instance holds. */
export interface Partition {
  readonly claim: (claim: Claim, from: string, now: number) => PartitionStep
  readonly close: (close: Close, from: string, now: number) => PartitionStep
  readonly log: (input: LogInput, now: number) => PartitionStep
  readonly tick: (now: number) => PartitionStep
  /** Whether nothing waits for the log. */
  readonly isQuiet: () => boolean
  /** Whether nothing waits and nobody has asked for `partitionIdle`. */
  readonly isIdle: (now: number) => boolean
  readonly dump: () => PartitionDump
}

/** A partition's state, for the state dump. */
export interface PartitionDump {
  readonly stream: string
  readonly next: number | undefined
  readonly calls: number
  readonly waitingClaims: number
  readonly waitingCloses: number
  readonly skipped: number
  readonly pausedUntil: number
}

/** A step that asks for nothing. */
export const emptyStep: PartitionStep = { effects: [], replies: [] }

/** Settings of a partition. */
export interface PartitionOptions {
  readonly stream: string
  readonly window: number
  readonly skew: number
  readonly retention: number
  /** Gives each operation of the log a token of its own. */
  readonly nextToken: () => number
}

interface Operation {
  readonly token: number
  readonly at: number
}

/**
 * Creates a partition that has read nothing yet.
 *
 * @param options - stream and bounds
 */
export const createPartition = (options: PartitionOptions): Partition => {
  const { stream, nextToken } = options
  const { claims, closes, ...queue } = createQueue()
  let seek: Seek | undefined
  let fold: Fold | undefined
  let next: number | undefined
  let caughtUp = false
  let stale = true
  let reading: Operation | undefined
  let appending: Operation | undefined
  let appendedAt = -Infinity
  let pausedUntil = -Infinity
  let usedAt = -Infinity
  let sweptAt = -Infinity

  const read = (now: number): LogEffect[] => {
    if (reading !== undefined || !stale || now < pausedUntil) return []
    stale = false
    reading = { token: nextToken(), at: now }
    const range = next === undefined ? { from: nextProbe(now), limit: 1 } : { from: next, limit: longestPage }
    return [{ kind: 'log.read', owner: 'claims', token: reading.token, stream, ...range }]
  }

  /** Oldest key that may be claimed now, earlier by all that clocks may differ. */
  const nextProbe = (now: number): number => {
    seek ??= createSeek(now - options.window - 3 * options.skew, options.skew)
    const step = seek.step()
    return step.from
  }

  const append = (now: number): LogEffect[] => {
    if (!caughtUp || appending !== undefined || now < pausedUntil || now - appendedAt < appendGap || !queue.hasUrgent(now)) return []
    appending = { token: nextToken(), at: now }
    appendedAt = now
    const payload = { kind: 'claims.batch', records: queue.takeBatch() }
    return [{ kind: 'log.append', owner: 'claims', token: appending.token, stream, payload }]
  }

  const work = (now: number): LogEffect[] =>
    claims.size + closes.size === 0 ? [] : [...read(now), ...append(now)]

  const decided = (): PartitionReply[] => {
    if (!caughtUp || fold === undefined) return []
    const replies: PartitionReply[] = []
    for (const [id, { item, from }] of claims) {
      const verdict = fold.verdictOn(item)
      if (verdict === undefined) continue
      claims.delete(id)
      replies.push({ kind: 'verdict', to: from, claim: item, verdict })
    }
    for (const [id, { item, from }] of closes) {
      if (!fold.isClosed(item)) continue
      closes.delete(id)
      replies.push({ kind: 'closed', to: from, close: item })
    }
    return replies
  }

  /** Whatever was appended and is not in the stream now is appended again or given back. */
  const retryMissing = (): PartitionReply[] => {
    if (stale || appending !== undefined) return []
    const replies: PartitionReply[] = []
    for (const [id, waiting] of claims) {
      if (!waiting.appending) continue
      waiting.appending = false
      if (waiting.tries < appendTries) continue
      claims.delete(id)
      replies.push(unavailable(waiting))
    }
    for (const waiting of closes.values()) waiting.appending = false
    return replies
  }

  const unavailable = ({ item, from, tries }: Waiting<Claim>): PartitionReply =>
    ({ kind: 'verdict', to: from, claim: item, verdict: { kind: 'unavailable', appended: tries > 0 } })

  /** Gives everything back; claimants repeat the ends of calls by themselves. */
  const giveBack = (now: number): PartitionReply[] => {
    pausedUntil = now + logPause
    stale = true
    const replies = [...claims.values()].map(unavailable)
    claims.clear()
    closes.clear()
    return replies
  }

  const startAt = (from: number, since: number): void => {
    next = from
    caughtUp = false
    fold = createFold({ since, window: options.window, skew: options.skew })
  }

  /** The log's time up to which records may have expired. */
  const expiredBefore = (now: number): number => now + options.skew - options.retention

  const receiveProbe = (input: LogInput & { kind: 'log.records' }, now: number): void => {
    stale = true
    seek?.take(input)
    const step = seek?.step()
    if (step?.kind !== 'found') return
    seek = undefined
    startAt(step.from, input.first > 0 ? Math.max(step.since, expiredBefore(now)) : step.since)
  }

  const receive = (input: LogInput & { kind: 'log.records' }, now: number): PartitionReply[] => {
    const { records, first, end } = input
    if (next === undefined) {
      receiveProbe(input, now)
      return []
    }
    if (next < first) startAt(first, expiredBefore(now))
    for (const record of records) {
      if (record.offset < next) continue
      fold?.apply(record)
      next = record.offset + 1
    }
    caughtUp = next >= end
    if (!caughtUp) stale = true
    if (!caughtUp && records.length === 0) pausedUntil = now + logPause
    if (!caughtUp) return []
    return [...decided(), ...retryMissing()]
  }

  const failed = (token: number, now: number): PartitionReply[] => {
    if (token === reading?.token) {
      reading = undefined
      return giveBack(now)
    }
    if (token !== appending?.token) return []
    appending = undefined
    stale = true
    return []
  }

  const log = (input: LogInput, now: number): PartitionStep => {
    const replies: PartitionReply[] = []
    switch (input.kind) {
      case 'log.appended':
        stale = true
        if (input.token === appending?.token) appending = undefined
        break
      case 'log.records':
        if (input.token !== reading?.token) break
        reading = undefined
        replies.push(...receive(input, now))
        break
      case 'log.failed':
        replies.push(...failed(input.token, now))
        break
    }
    return { effects: work(now), replies }
  }

  const claim = (item: Claim, from: string, now: number): PartitionStep => {
    usedAt = now
    const waiting = createWaiting(item, from, now)
    if (now < pausedUntil || claims.size >= longestQueue || (fold?.size() ?? 0) >= mostCalls) return { effects: [], replies: [unavailable(waiting)] }
    const verdict = caughtUp ? fold?.verdictOn(item) : undefined
    if (verdict !== undefined) return { effects: [], replies: [{ kind: 'verdict', to: from, claim: item, verdict }] }
    if (!claims.has(item.attempt)) claims.set(item.attempt, waiting)
    return { effects: work(now), replies: [] }
  }

  const close = (item: Close, from: string, now: number): PartitionStep => {
    usedAt = now
    if (now < pausedUntil || closes.size >= longestQueue) return { effects: [], replies: [] }
    if (caughtUp && fold?.isClosed(item)) return { effects: [], replies: [{ kind: 'closed', to: from, close: item }] }
    if (!closes.has(item.attempt)) closes.set(item.attempt, createWaiting(item, from, now))
    return { effects: work(now), replies: [] }
  }

  const isQuiet = (): boolean => claims.size + closes.size === 0 && reading === undefined && appending === undefined

  const tick = (now: number): PartitionStep => {
    if (isQuiet() && now - sweptAt < foldSweepInterval) return emptyStep
    const replies: PartitionReply[] = []
    if (appending !== undefined && now - appending.at >= logPatience) replies.push(...failed(appending.token, now))
    if (reading !== undefined && now - reading.at >= logPatience) replies.push(...failed(reading.token, now))
    replies.push(...queue.takeNotices(now).map(({ item, from }): PartitionReply => ({ kind: 'queued', to: from, claim: item })))
    if (now - sweptAt >= foldSweepInterval) {
      sweptAt = now
      fold?.sweep()
    }
    return { effects: work(now), replies }
  }

  const isIdle = (now: number): boolean => isQuiet() && now - usedAt >= partitionIdle

  const dump = (): PartitionDump => ({
    stream,
    next,
    calls: fold?.size() ?? 0,
    waitingClaims: claims.size,
    waitingCloses: closes.size,
    skipped: fold?.skipped() ?? 0,
    pausedUntil
  })

  return { claim, close, log, tick, isQuiet, isIdle, dump }
}
