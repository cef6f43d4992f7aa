/**
 * One partition at the instance that holds it: collects claims and close
 * records, appends them in batches, reads the stream back and replies with the
 * resulting verdicts. Whether a failed append took effect is found out by
 * reading. Two concurrent holders of a partition are safe, because both read the
 * records in the same order.
 */
import { createFold } from './claimsFold.js'
import type { Fold } from './claimsFold.js'
import { createQueue, createQueuedEntry } from './claimsQueue.js'
import type { QueuedEntry } from './claimsQueue.js'
import type { Claim, Close, Verdict } from './claimsMessages.js'
import { createSeek } from './claimsSeek.js'
import type { Seek } from './claimsSeek.js'
import { minAppendInterval, maxAppendTries, foldSweepInterval, logTimeout, logFailureBackoff, maxReadLength, maxQueueLength, maxCalls, partitionIdleTimeout } from './claimsTimes.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'

/** A reply of a partition to an instance. */
export type PartitionReply =
  | { readonly kind: 'verdict', readonly to: string, readonly claim: Claim, readonly verdict: Verdict }
  /** The claim is still waiting for the log. */
  | { readonly kind: 'queued', readonly to: string, readonly claim: Claim }
  /** The log holds the close record. */
  | { readonly kind: 'closed', readonly to: string, readonly close: Close }

/** The result of one input to a partition: log operations to perform and replies to send. */
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
  /** Whether no entry is queued and no log operation is in progress. */
  readonly isDrained: () => boolean
  /** Whether the partition is drained and has received no entry for `partitionIdleTimeout`. */
  readonly isIdle: (now: number) => boolean
  readonly dump: () => PartitionDump
}

/** The state of a partition, for the state dump. */
export interface PartitionDump {
  readonly stream: string
  /** Offset of the next record to read; undefined until the start of reading has been found. */
  readonly next: number | undefined
  readonly calls: number
  readonly waitingClaims: number
  readonly waitingCloses: number
  readonly skipped: number
  readonly pausedUntil: number
}

/** A step without effects or replies. */
export const emptyStep: PartitionStep = { effects: [], replies: [] }

/** Settings of a partition. */
export interface PartitionOptions {
  readonly stream: string
  /** Age in ms at which a key is no longer accepted. */
  readonly window: number
  /** Greatest difference between any two clocks, in ms. */
  readonly skew: number
  /** Least time in ms for which the log keeps a record. */
  readonly retention: number
  /** Returns a unique token for a log operation. */
  readonly nextToken: () => number
}

/** A log operation in progress. */
interface Operation {
  readonly token: number
  /** Start of the operation, in ms. */
  readonly at: number
}

/**
 * Creates a partition that has not read its stream yet.
 *
 * @param options - stream and limits
 * @returns the partition
 */
export const createPartition = (options: PartitionOptions): Partition => {
  const { stream, nextToken } = options
  const { claims, closes, ...queue } = createQueue()
  let seek: Seek | undefined
  let fold: Fold | undefined
  let next: number | undefined
  let caughtUp = false
  let needsRead = true
  let readOperation: Operation | undefined
  let appendOperation: Operation | undefined
  let lastAppendAt = -Infinity
  let pausedUntil = -Infinity
  let lastUsedAt = -Infinity
  let lastSweepAt = -Infinity

  const read = (now: number): LogEffect[] => {
    if (readOperation !== undefined || !needsRead || now < pausedUntil) return []
    needsRead = false
    readOperation = { token: nextToken(), at: now }
    const range = next === undefined ? { from: nextProbeOffset(now), limit: 1 } : { from: next, limit: maxReadLength }
    return [{ kind: 'log.read', owner: 'claims', token: readOperation.token, stream, ...range }]
  }

  /** Offset to read next in the search for the records of the oldest key that may still be claimed, less a margin of three times the clock skew. */
  const nextProbeOffset = (now: number): number => {
    seek ??= createSeek(now - options.window - 3 * options.skew, options.skew)
    const step = seek.step()
    return step.from
  }

  const append = (now: number): LogEffect[] => {
    if (!caughtUp || appendOperation !== undefined || now < pausedUntil || now - lastAppendAt < minAppendInterval || !queue.hasUrgent(now)) return []
    appendOperation = { token: nextToken(), at: now }
    lastAppendAt = now
    const payload = { kind: 'claims.batch', records: queue.takeBatch() }
    return [{ kind: 'log.append', owner: 'claims', token: appendOperation.token, stream, payload }]
  }

  const nextEffects = (now: number): LogEffect[] =>
    claims.size + closes.size === 0 ? [] : [...read(now), ...append(now)]

  /** Removes the entries that the records decide from the queue, and returns the replies to their senders. */
  const takeDecided = (): PartitionReply[] => {
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

  /** Queues again what was appended and is missing from the stream; a claim that has used up its appends is answered as unavailable. */
  const retryMissing = (): PartitionReply[] => {
    if (needsRead || appendOperation !== undefined) return []
    const replies: PartitionReply[] = []
    for (const [id, entry] of claims) {
      if (!entry.inFlight) continue
      entry.inFlight = false
      if (entry.tries < maxAppendTries) continue
      claims.delete(id)
      replies.push(unavailableReply(entry))
    }
    for (const entry of closes.values()) entry.inFlight = false
    return replies
  }

  const unavailableReply = ({ item, from, tries }: QueuedEntry<Claim>): PartitionReply =>
    ({ kind: 'verdict', to: from, claim: item, verdict: { kind: 'unavailable', appended: tries > 0 } })

  /** Answers all queued claims as unavailable and drops the queued close records, which their claimants resend. */
  const failQueued = (now: number): PartitionReply[] => {
    pausedUntil = now + logFailureBackoff
    needsRead = true
    const replies = [...claims.values()].map(unavailableReply)
    claims.clear()
    closes.clear()
    return replies
  }

  const startReadingAt = (from: number, since: number): void => {
    next = from
    caughtUp = false
    fold = createFold({ since, window: options.window, skew: options.skew })
  }

  /** Log time in ms before which records may have been dropped by retention. */
  const expiredBefore = (now: number): number => now + options.skew - options.retention

  const receiveProbe = (input: LogInput & { kind: 'log.records' }, now: number): void => {
    needsRead = true
    seek?.receive(input)
    const step = seek?.step()
    if (step?.kind !== 'found') return
    seek = undefined
    startReadingAt(step.from, input.first > 0 ? Math.max(step.since, expiredBefore(now)) : step.since)
  }

  const receive = (input: LogInput & { kind: 'log.records' }, now: number): PartitionReply[] => {
    const { records, first, end } = input
    if (next === undefined) {
      receiveProbe(input, now)
      return []
    }
    if (next < first) startReadingAt(first, expiredBefore(now))
    for (const record of records) {
      if (record.offset < next) continue
      fold?.apply(record)
      next = record.offset + 1
    }
    caughtUp = next >= end
    if (!caughtUp) needsRead = true
    if (!caughtUp && records.length === 0) pausedUntil = now + logFailureBackoff
    if (!caughtUp) return []
    return [...takeDecided(), ...retryMissing()]
  }

  const handleFailure = (token: number, now: number): PartitionReply[] => {
    if (token === readOperation?.token) {
      readOperation = undefined
      return failQueued(now)
    }
    if (token !== appendOperation?.token) return []
    appendOperation = undefined
    needsRead = true
    return []
  }

  const log = (input: LogInput, now: number): PartitionStep => {
    const replies: PartitionReply[] = []
    switch (input.kind) {
      case 'log.appended':
        needsRead = true
        if (input.token === appendOperation?.token) appendOperation = undefined
        break
      case 'log.records':
        if (input.token !== readOperation?.token) break
        readOperation = undefined
        replies.push(...receive(input, now))
        break
      case 'log.failed':
        replies.push(...handleFailure(input.token, now))
        break
    }
    return { effects: nextEffects(now), replies }
  }

  const claim = (item: Claim, from: string, now: number): PartitionStep => {
    lastUsedAt = now
    const entry = createQueuedEntry(item, from, now)
    if (now < pausedUntil || claims.size >= maxQueueLength || (fold?.size() ?? 0) >= maxCalls) return { effects: [], replies: [unavailableReply(entry)] }
    const verdict = caughtUp ? fold?.verdictOn(item) : undefined
    if (verdict !== undefined) return { effects: [], replies: [{ kind: 'verdict', to: from, claim: item, verdict }] }
    if (!claims.has(item.attempt)) claims.set(item.attempt, entry)
    return { effects: nextEffects(now), replies: [] }
  }

  const close = (item: Close, from: string, now: number): PartitionStep => {
    lastUsedAt = now
    if (now < pausedUntil || closes.size >= maxQueueLength) return { effects: [], replies: [] }
    if (caughtUp && fold?.isClosed(item)) return { effects: [], replies: [{ kind: 'closed', to: from, close: item }] }
    if (!closes.has(item.attempt)) closes.set(item.attempt, createQueuedEntry(item, from, now))
    return { effects: nextEffects(now), replies: [] }
  }

  const isDrained = (): boolean => claims.size + closes.size === 0 && readOperation === undefined && appendOperation === undefined

  const tick = (now: number): PartitionStep => {
    if (isDrained() && now - lastSweepAt < foldSweepInterval) return emptyStep
    const replies: PartitionReply[] = []
    if (appendOperation !== undefined && now - appendOperation.at >= logTimeout) replies.push(...handleFailure(appendOperation.token, now))
    if (readOperation !== undefined && now - readOperation.at >= logTimeout) replies.push(...handleFailure(readOperation.token, now))
    replies.push(...queue.takeDueNotices(now).map(({ item, from }): PartitionReply => ({ kind: 'queued', to: from, claim: item })))
    if (now - lastSweepAt >= foldSweepInterval) {
      lastSweepAt = now
      fold?.sweep()
    }
    return { effects: nextEffects(now), replies }
  }

  const isIdle = (now: number): boolean => isDrained() && now - lastUsedAt >= partitionIdleTimeout

  const dump = (): PartitionDump => ({
    stream,
    next,
    calls: fold?.size() ?? 0,
    waitingClaims: claims.size,
    waitingCloses: closes.size,
    skipped: fold?.skipped() ?? 0,
    pausedUntil
  })

  return { claim, close, log, tick, isDrained, isIdle, dump }
}
