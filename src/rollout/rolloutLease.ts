/**
 * The lease that decides which instance may order workers to load weights.
 * Claims are records on a stream that accepts an append only at the offset that
 * the writer expects to be its end. A holder renews the lease by appending
 * further claims of its own; the offset of its first claim gives its fencing
 * token. The holder may act only for a short time after each renewal, so an
 * instance that was suspended or partitioned has to renew before it acts again.
 * Another instance takes over once the stream has had no new record for longer
 * than that time: by then the former holder may no longer act, whichever
 * instances consider it alive.
 *
 * The stream may be restored from a copy, after which offsets are assigned again
 * and the newest claims may be missing. Each claim therefore names the era in
 * which it was made, the fencing token rises with the era, and in a new era
 * nobody acquires the lease before the holder of the previous one must have
 * stopped.
 *
 * An instance that gave orders and lost the lease to another one leaves it to
 * others for a while, see `reacquireDelay.ts`.
 */
import { ageOf, type Moment } from '../lease/readLease.js'
import type { ClaimInput, ClaimRecord } from '../ports/claimPort.js'
import { applyClaim, decodeClaims, type Claim, type LatestClaim } from './leaseClaims.js'
import { createLeaseReport } from './leaseReport.js'
import { createReacquireDelay, type LatestClaimant } from './reacquireDelay.js'
import type { RolloutLease, RolloutLeaseOptions } from './rolloutLeaseTypes.js'

/** Time after a renewal within which the holder may act, in ms. */
const actWindow = 700
/** Age of the last renewal from which the holder renews, in ms. */
const renewAfter = 300
/** Time for an order in transit to arrive, in ms. */
const transitTime = 200
/** Time without a new record after which a holder that cannot hold the lease is replaced, in ms. */
const takeoverDelay = actWindow + transitTime
/** Time without a new record after which any holder is replaced while there is work, in ms. */
const longTakeoverDelay = 2_500
/** Time between reads of the stream by an instance that does not hold the lease, in ms. */
const readInterval = 250
/** The same while the holder is alive and reaches the store, in ms. */
const slowReadInterval = 1_000
/** Time after a failed renewal until the next one, in ms; short enough for several within `actWindow`. */
const appendRetryInterval = 100
/** Additional wait per rank, in ms, so that lower ranks try first. */
const rankDelay = 150
/** Instances that read the stream as soon as there is work. The others wait for `longTakeoverDelay` first, so that the number of reads does not grow with the fleet. */
const earlyReaders = 3
/** Time in ms after which a read or an append without a response is given up. */
const responseTimeout = 1_500
/** Era of a stream that was never restored. */
const firstEra = 0
/** Time without work after which an early reader reads the stream for the first time in an era, in ms, so that it need not wait when there is work. */
const idleReadDelay = 3_000

type PendingRequest =
  | { readonly kind: 'read', readonly token: number, readonly sentAt: Moment, readonly from: number }
  | { readonly kind: 'append', readonly token: number, readonly sentAt: Moment, readonly at: number, readonly claim: Claim }

/**
 * Creates the lease of one instance.
 *
 * @param options - dependencies
 */
export const createRolloutLease = ({ self, peers, reacquireAfter, emit, notify }: RolloutLeaseOptions): RolloutLease => {
  let latest: LatestClaim | undefined
  let end = 0
  let endSeenAt: Moment | undefined
  let pending: PendingRequest | undefined
  let renewedAt: Moment | undefined
  let nextReadAt = -Infinity
  let nextAppendAt = -Infinity
  let wantedSince: number | undefined
  let idleSince: number | undefined
  /** Era of the latest response; undefined before the first one. */
  let era: number | undefined
  let token = 0
  /** Whether an earlier process of this instance may have held the lease. */
  let mayHaveHeldEarlier = false
  /** Whether the stream has dropped claims that were not read here, and holds none that is newer. */
  let hasForgotten = false
  /** Whether the lease is to be given up, which a renewal on its way can delay. */
  let isReleasing = false
  const reacquireDelay = createReacquireDelay(reacquireAfter)
  const report = createLeaseReport(self, notify)

  const isOwn = (claim: Claim | undefined): boolean =>
    claim?.holder === self.id && claim.incarnation === self.incarnation && !claim.released && claim.era === era

  const read = (now: Moment): void => {
    token++
    pending = { kind: 'read', token, sentAt: now, from: end }
    emit({ kind: 'claim.read', token, from: end })
  }

  const append = (released: boolean, now: Moment): void => {
    token++
    const claim: Claim = { holder: self.id, incarnation: self.incarnation, released, era: era ?? firstEra }
    pending = { kind: 'append', token, sentAt: now, at: end, claim }
    emit({ kind: 'claim.append', token, at: end, claim })
  }

  const timeWithoutRecord = (now: Moment): number => endSeenAt === undefined ? 0 : now.steady - endSeenAt.steady

  const canHolderContinue = (): boolean => latest !== undefined && !latest.released && peers.canHoldLease(latest.holder, latest.incarnation)

  /** Whether claims may be missing from the stream: it was restored after the latest one that it holds, or has forgotten all that followed those known here. */
  const mayLackClaims = (): boolean => hasForgotten || (era !== undefined && era > (latest?.era ?? firstEra))

  const latestClaimant = (): LatestClaimant => {
    if (mayLackClaims()) return 'unknown'
    if (latest === undefined) return 'nobody'
    if (latest.holder !== self.id) return 'anotherInstance'
    return latest.incarnation === self.incarnation ? 'thisProcess' : 'earlierProcess'
  }

  const isFree = (now: Moment): boolean => {
    if (!mayLackClaims() && (latest === undefined || latest.released)) return true
    const limit = canHolderContinue() ? longTakeoverDelay : takeoverDelay
    return timeWithoutRecord(now) >= limit + rankDelay * peers.rank()
  }

  const mayTakeOver = (now: Moment): boolean => {
    if (!isFree(now)) return false
    const wait = reacquireDelay.remaining({ latestBy: latestClaimant(), mayHaveHeldEarlier }, now)
    if (wait > 0) report.left(latest, wait)
    return wait === 0
  }

  const firstReadDelay = (rank: number): number => rankDelay * rank + (rank < earlyReaders ? 0 : longTakeoverDelay)

  const isWaitingForResponse = (now: Moment): boolean => {
    if (pending !== undefined && ageOf(pending.sentAt, now) > responseTimeout) pending = undefined
    return pending !== undefined
  }

  const markIdle = (now: Moment): void => {
    reacquireDelay.noteRunning(now)
    wantedSince = undefined
    idleSince ??= now.steady
    const isReadDue = endSeenAt === undefined && now.steady >= idleSince + idleReadDelay && now.steady >= nextReadAt
    if (!isReadDue || isWaitingForResponse(now) || peers.rank() >= earlyReaders) return
    nextReadAt = now.steady + slowReadInterval
    read(now)
  }

  const acquireOrRenew = (now: Moment): void => {
    reacquireDelay.noteRunning(now)
    wantedSince ??= now.steady
    isReleasing = false
    if (isWaitingForResponse(now)) return
    if (isOwn(latest)) {
      const isDue = renewedAt === undefined || ageOf(renewedAt, now) > renewAfter
      if (isDue && now.steady >= nextAppendAt) append(false, now)
      return
    }
    const firstReadAt = wantedSince + firstReadDelay(peers.rank())
    if (now.steady < firstReadAt || now.steady < nextReadAt) return
    nextReadAt = now.steady + (canHolderContinue() ? slowReadInterval : readInterval)
    read(now)
  }

  const release = (now: Moment): void => {
    isReleasing = isOwn(latest)
    wantedSince = undefined
    if (isReleasing) append(true, now)
  }

  const applyRecords = (records: readonly ClaimRecord[]): void => {
    for (const placed of decodeClaims(records)) {
      latest = applyClaim(latest, placed, era ?? firstEra)
      hasForgotten = false
      if (placed.claim.holder === self.id && placed.claim.incarnation !== self.incarnation) mayHaveHeldEarlier = true
    }
  }

  /** Forgets the latest claim known, which dropped records may have superseded. */
  const enterGap = (): void => {
    latest = undefined
    renewedAt = undefined
    hasForgotten = true
    mayHaveHeldEarlier = true
  }

  const handleRecords = (input: Extract<ClaimInput, { kind: 'claim.records' }>, from: number, now: Moment): void => {
    const firstOffset = input.records[0]?.offset ?? input.end
    if (firstOffset !== from) enterGap()
    applyRecords(input.records)
    if (endSeenAt === undefined || input.end !== end) endSeenAt = now
    end = input.end
    if (isReleasing) return release(now)
    if (wantedSince !== undefined && (isOwn(latest) || mayTakeOver(now))) append(false, now)
  }

  const handleAccepted = (at: number, claim: Claim, sentAt: Moment, now: Moment): void => {
    latest = applyClaim(latest, { offset: at, claim }, era ?? firstEra)
    hasForgotten = false
    end = at + 1
    endSeenAt = now
    renewedAt = sentAt
  }

  /** Forgets what was known of an earlier era; returns whether the response to `request` is still of use, as only a read of the whole stream is. */
  const enterEra = (next: number, request: PendingRequest): boolean => {
    const isFirst = era === undefined
    era = next
    // Claims of earlier processes may be missing after a restoration.
    if (next > firstEra) mayHaveHeldEarlier = true
    if (isFirst) return true
    latest = undefined
    hasForgotten = false
    endSeenAt = undefined
    renewedAt = undefined
    const readWhole = request.kind === 'read' && end === 0
    end = 0
    return readWhole
  }

  const answer = (input: ClaimInput, now: Moment): void => {
    const free = { before: latest, mayLackClaims: mayLackClaims(), silence: timeWithoutRecord(now) }
    const held = isOwn(latest)
    handleAnswer(input, now)
    const holds = isOwn(latest)
    if (held && !holds) report.lost(free.before, latest, now)
    if (!held && holds) report.acquired(free, latest, now)
  }

  const handleAnswer = (input: ClaimInput, now: Moment): void => {
    if (pending === undefined || input.token !== pending.token) return
    const request = pending
    pending = undefined
    if (input.kind !== 'claim.failed' && input.era !== era && !enterEra(input.era, request)) return read(now)
    switch (input.kind) {
      case 'claim.records':
        if (request.kind === 'read') handleRecords(input, request.from, now)
        return
      case 'claim.accepted':
        if (request.kind === 'append') handleAccepted(request.at, request.claim, request.sentAt, now)
        return
      case 'claim.refused':
        renewedAt = undefined
        return read(now)
      case 'claim.failed':
        nextReadAt = now.steady + readInterval
        nextAppendAt = now.steady + appendRetryInterval
    }
  }

  const fence = (now: Moment): number | undefined => {
    if (latest === undefined || !isOwn(latest) || renewedAt === undefined) return undefined
    return ageOf(renewedAt, now) < actWindow ? latest.fence : undefined
  }

  return {
    acquireOrRenew,
    markIdle,
    answer,
    fence,
    noteOrder: reacquireDelay.noteOrder,
    holds: () => isOwn(latest),
    fenced: () => { renewedAt = undefined },
    release
  }
}
