/**
 * Lease on sending orders, held by one instance at a time. The latest claim on
 * the log stream `orders` names the holder, and the claim's offset is its fencing
 * token. An instance claims the lease only when the current holder is not alive.
 * The holder may send orders only for a limited time after each read that shows
 * its claim to be the latest; a new holder waits until that time has expired for
 * its predecessor.
 */
import { createRendezvousHash } from '../addresses/rendezvous.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { Member } from '../ports/membershipPort.js'
import { orderClaimSchema } from './ordersTypes.js'
import type { OrderClaim, OrdersEffect, OrdersOptions, OrdersPhase } from './ordersTypes.js'

/** The orders lease as seen by one instance. Times are in ms. */
export interface OrdersLease {
  /** Reads the log when a read is due; detects timeouts and pauses of this process. */
  readonly tick: (now: number) => void
  /** Handles an answer of the log. */
  readonly answer: (input: LogInput, now: number) => void
  /** Sets the instances that are alive. */
  readonly setMembers: (members: readonly Member[]) => void
  /** Records that the holder with this fencing token has released the lease. */
  readonly recordRelease: (fence: number) => void
  /** Returns the fencing token if this instance may send orders now. */
  readonly fence: (now: number) => number | undefined
  /** Blocks orders until a new read of the log has confirmed the claim. */
  readonly invalidate: () => void
  /** Returns whether the lease is held. */
  readonly phase: () => OrdersPhase
}

/** A claim as the log holds it. */
interface RecordedClaim extends OrderClaim {
  readonly offset: number
}

/** The log operation in progress. */
type Pending =
  | { readonly kind: 'none' }
  | { readonly kind: 'read', readonly token: number, readonly sentAt: number }
  | { readonly kind: 'append', readonly token: number, readonly sentAt: number }

/** Log stream that holds the claims. */
const stream = 'orders'
/** Maximum number of records of one read. */
const readLimit = 200
/** Time after the start of a confirming read for which the holder may send orders, in ms. */
export const leaseDuration = 10_000
/** Time for which orders of the previous holder may still be running at workers, in ms. */
const orderSettleTime = 5_000
/** Interval between reads of the holder, in ms. */
const verifyInterval = 3_000
/** Intervals between reads of the candidates, by rank, in ms. */
const candidateIntervals = [5_000, 20_000, 40_000]
/** Timeout of a log operation, in ms. */
const answerTimeout = 5_000
/** Delay before a superseded holder may claim again, in ms; it doubles each time, with a jitter of ±50 %. */
const baseClaimDelay = 60_000
/** Upper bound of the count from which the delay is computed. */
const maxSupersededCount = 4
/** Time without a successful read of the log after which the holder releases the lease, in ms. */
const releaseAfter = 30_000
/** Gap between ticks above which the process is considered to have been paused, in ms. */
const pauseThreshold = 1_000
const never = Number.NEGATIVE_INFINITY

/**
 * Creates the orders lease of one instance.
 *
 * @param options - this instance, random source and hash functions
 * @param emit - receives the effects
 * @returns the lease, initially not held
 */
export const createOrdersLease = (options: OrdersOptions, emit: (effect: OrdersEffect) => void): OrdersLease => {
  const { self, random, hash } = options
  const rendezvous = createRendezvousHash(hash)
  let phase: OrdersPhase = { kind: 'standby' }
  let pending: Pending = { kind: 'none' }
  let alive: ReadonlyMap<string, string> = new Map()
  let candidates: readonly string[] = []
  let latestClaim: RecordedClaim | undefined
  let cursor = 0
  let isStreamTrimmed = false
  let releasedFence = -1
  let readStartedAt = never
  let verifiedAt = never
  let lastConfirmedAt = never
  let nextClaimAt = never
  let supersededCount = 0
  let nextReadAt = never
  let lastTick: number | undefined
  let token = 0

  const releaseLease = (): void => {
    if (phase.kind !== 'holding') return
    const { fence } = phase
    releasedFence = Math.max(releasedFence, fence)
    phase = { kind: 'standby' }
    candidates.filter(id => id !== self.id).forEach(to => emit({ kind: 'peer.send', to, message: { kind: 'orders.resign', fence } }))
  }

  const setMembers = (members: readonly Member[]): void => {
    alive = new Map(members.map(({ id, incarnation }) => [id, incarnation]))
    const ranked = rendezvous.rank('orders', members.map(({ id }) => ({ id, weight: 1 })))
    candidates = ranked.slice(0, candidateIntervals.length).map(({ id }) => id)
    if (!alive.has(self.id)) releaseLease()
  }

  const read = (now: number): void => {
    token++
    pending = { kind: 'read', token, sentAt: now }
    emit({ kind: 'log.read', owner: 'orders', token, stream, from: cursor, limit: readLimit })
  }

  const startRead = (now: number): void => {
    readStartedAt = now
    read(now)
  }

  const claim = (now: number): void => {
    token++
    phase = { kind: 'claiming' }
    pending = { kind: 'append', token, sentAt: now }
    const payload: OrderClaim = { kind: 'orders.claim', holder: self.id, incarnation: self.incarnation }
    const append: LogEffect = { kind: 'log.append', owner: 'orders', token, stream, payload }
    emit(append)
  }

  const isOwnClaim = (record: RecordedClaim): boolean => record.holder === self.id && record.incarnation === self.incarnation

  /** Returns whether the claim was not released and its holder is alive. A holder of unknown incarnation counts as alive, so that its lease isn't taken over. */
  const isClaimInForce = ({ holder, incarnation, offset }: RecordedClaim): boolean => {
    const aliveIncarnation = alive.get(holder)
    return offset > releasedFence && aliveIncarnation !== undefined && (aliveIncarnation === '' || aliveIncarnation === incarnation)
  }

  /** Delays the next claim, so that two instances that do not see each other as alive do not take the lease from each other in turns. */
  const delayNextClaim = (now: number): void => {
    supersededCount = Math.min(supersededCount + 1, maxSupersededCount)
    nextClaimAt = now + baseClaimDelay * 2 ** (supersededCount - 1) * (0.5 + random.unit())
  }

  const holdLease = (record: RecordedClaim, now: number): void => {
    verifiedAt = readStartedAt
    lastConfirmedAt = now
    if (phase.kind === 'holding' && phase.fence === record.offset) return
    const isFirst = record.offset === 0 && !isStreamTrimmed
    phase = { kind: 'holding', fence: record.offset, actFrom: isFirst ? now : now + leaseDuration + orderSettleTime }
  }

  /** Decides on the lease after a read that started at `readStartedAt` has reached the end of the stream. */
  const finishRead = (now: number): void => {
    pending = { kind: 'none' }
    decide(now)
    nextReadAt = now + readInterval() * (0.9 + 0.2 * random.unit())
  }

  const decide = (now: number): void => {
    const isCandidate = candidates.includes(self.id)
    if (latestClaim !== undefined && isOwnClaim(latestClaim) && latestClaim.offset > releasedFence) return holdLease(latestClaim, now)
    if (phase.kind === 'holding') delayNextClaim(now)
    phase = { kind: 'standby' }
    if (now < nextClaimAt || !isCandidate || !alive.has(self.id)) return
    if (latestClaim !== undefined && isClaimInForce(latestClaim)) return
    claim(now)
  }

  const readInterval = (): number => {
    if (phase.kind === 'holding') return verifyInterval
    return candidateIntervals[Math.max(0, candidates.indexOf(self.id))]
  }

  const applyRecords = (records: Extract<LogInput, { kind: 'log.records' }>['records']): void => {
    for (const { offset, payload } of records) {
      const parsed = orderClaimSchema.safeParse(payload)
      if (parsed.success) latestClaim = { ...parsed.data, offset }
      cursor = offset + 1
    }
  }

  const handleRecords = (input: Extract<LogInput, { kind: 'log.records' }>, now: number): void => {
    if (input.first > 0) isStreamTrimmed = true
    applyRecords(input.records)
    cursor = Math.max(cursor, input.first)
    if (cursor < input.end) return read(now)
    finishRead(now)
  }

  const handleFailure = (now: number): void => {
    const wasAppend = pending.kind === 'append'
    pending = { kind: 'none' }
    if (phase.kind === 'claiming') phase = { kind: 'standby' }
    nextReadAt = now + (wasAppend ? 500 : 1_000) * (0.5 + random.unit())
  }

  const answer = (input: LogInput, now: number): void => {
    if (pending.kind === 'none' || input.token !== pending.token) return
    switch (input.kind) {
      case 'log.appended': return startRead(now)
      case 'log.records': return handleRecords(input, now)
      case 'log.failed': return handleFailure(now)
    }
  }

  const invalidate = (): void => {
    pending = { kind: 'none' }
    verifiedAt = never
    nextReadAt = never
  }

  /** The first candidate reads at once; the others wait, so that it can claim first. */
  const scheduleFirstRead = (now: number): void => {
    const isFirst = candidates.length === 0 || candidates[0] === self.id
    nextReadAt = isFirst ? now : now + readInterval()
  }

  const tick = (now: number): void => {
    if (lastTick === undefined) scheduleFirstRead(now)
    const gap = now - (lastTick ?? now)
    lastTick = now
    if (gap > pauseThreshold) {
      lastConfirmedAt += gap
      if (phase.kind === 'claiming') phase = { kind: 'standby' }
      invalidate()
    }
    if (pending.kind !== 'none' && now - pending.sentAt > answerTimeout) handleFailure(now)
    if (phase.kind === 'holding' && now - lastConfirmedAt > releaseAfter) releaseLease()
    if (pending.kind !== 'none' || now < nextReadAt) return
    if (phase.kind === 'holding' || candidates.includes(self.id)) startRead(now)
  }

  const fence = (now: number): number | undefined => {
    if (phase.kind !== 'holding' || now < phase.actFrom) return undefined
    if (now - verifiedAt >= leaseDuration || now - (lastTick ?? now) > pauseThreshold) return undefined
    return phase.fence
  }

  return {
    tick,
    answer,
    setMembers,
    recordRelease: released => {
      releasedFence = Math.max(releasedFence, released)
    },
    fence,
    invalidate,
    phase: () => phase
  }
}
