/**
 * Which instance gives orders. The latest claim on the stream `orders` names
 * the holder, and the claim's offset is its fencing number. A claim is made
 * only while the holder it replaces is not alive. The holder acts only for a
 * short time after each read that shows its claim as the latest, and a new
 * holder waits until that time has run out for the one before it.
 */
import { createRendezvousHash } from '../addresses/rendezvous.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { Member } from '../ports/membershipPort.js'
import { orderClaimSchema } from './ordersTypes.js'
import type { OrderClaim, OrdersEffect, OrdersOptions, OrdersPhase } from './ordersTypes.js'

/** The claim to give orders. */
export interface OrdersLease {
  readonly tick: (now: number) => void
  readonly answer: (input: LogInput, now: number) => void
  readonly setMembers: (members: readonly Member[]) => void
  /** Another holder has given up its claim. */
  readonly recordResignation: (fence: number) => void
  /** The fencing number if orders may be given now. */
  readonly fence: (now: number) => number | undefined
  /** Lets no order pass until the log was read again. */
  readonly invalidate: () => void
  readonly phase: () => OrdersPhase
}

interface LatestClaim extends OrderClaim {
  readonly offset: number
}

type Pending =
  | { readonly kind: 'none' }
  | { readonly kind: 'read', readonly token: number, readonly sentAt: number }
  | { readonly kind: 'append', readonly token: number, readonly sentAt: number }

const stream = 'orders'
const readLimit = 200
/** How long a read allows the holder to act, in ms. */
export const leaseDuration = 10_000
/** How long the orders of an earlier holder may still run at workers, in ms. */
const settleTerm = 5_000
/** Milliseconds between the holder's reads. */
const verifyInterval = 3_000
/** Milliseconds between reads of a candidate, by rank. */
const candidateIntervals = [5_000, 20_000, 40_000]
/** An answer that takes longer is given up, in ms. */
const answerTimeout = 5_000
/** Time before a superseded holder claims again, in ms; it doubles each time. */
const firstYield = 60_000
const mostYields = 4
/** A holder that cannot read the log for this time gives up its claim, in ms. */
const resignAfter = 30_000
/** A gap between ticks above which the process was paused, in ms. */
const pauseGap = 1_000
const never = Number.NEGATIVE_INFINITY

/**
 * Creates the claim of one instance.
 *
 * @param options - this instance
 * @param emit - where effects go
 */
export const createOrdersLease = (options: OrdersOptions, emit: (effect: OrdersEffect) => void): OrdersLease => {
  const { self, random, hash } = options
  const placement = createRendezvousHash(hash)
  let phase: OrdersPhase = { kind: 'standby' }
  let pending: Pending = { kind: 'none' }
  let alive: ReadonlyMap<string, string> = new Map()
  let candidates: readonly string[] = []
  let latest: LatestClaim | undefined
  let cursor = 0
  let expired = false
  let resignedFence = -1
  let readFrom = never
  let verifiedAt = never
  let trustedAt = never
  let nextClaim = never
  let yields = 0
  let nextRead = never
  let lastTick: number | undefined
  let token = 0

  const resign = (): void => {
    if (phase.kind !== 'holding') return
    const { fence } = phase
    resignedFence = Math.max(resignedFence, fence)
    phase = { kind: 'standby' }
    candidates.filter(id => id !== self.id).forEach(to => emit({ kind: 'peer.send', to, message: { kind: 'orders.resign', fence } }))
  }

  const setMembers = (members: readonly Member[]): void => {
    alive = new Map(members.map(({ id, incarnation }) => [id, incarnation]))
    const ranked = placement.rank('orders', members.map(({ id }) => ({ id, weight: 1 })))
    candidates = ranked.slice(0, candidateIntervals.length).map(({ id }) => id)
    if (!alive.has(self.id)) resign()
  }

  const read = (now: number): void => {
    token++
    pending = { kind: 'read', token, sentAt: now }
    emit({ kind: 'log.read', owner: 'orders', token, stream, from: cursor, limit: readLimit })
  }

  const startRead = (now: number): void => {
    readFrom = now
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

  const isOwn = (record: LatestClaim): boolean => record.holder === self.id && record.incarnation === self.incarnation

  /** Unknown incarnations count as alive: the claim is then left to its holder. */
  const isHeld = ({ holder, incarnation, offset }: LatestClaim): boolean => {
    const known = alive.get(holder)
    return offset > resignedFence && known !== undefined && (known === '' || known === incarnation)
  }

  /** Waits before the next claim, so that two instances that do not see each other do not alternate. */
  const yieldClaim = (now: number): void => {
    yields = Math.min(yields + 1, mostYields)
    nextClaim = now + firstYield * 2 ** (yields - 1) * (0.5 + random.unit())
  }

  const take = (record: LatestClaim, now: number): void => {
    verifiedAt = readFrom
    trustedAt = now
    if (phase.kind === 'holding' && phase.fence === record.offset) return
    const isFirst = record.offset === 0 && !expired
    phase = { kind: 'holding', fence: record.offset, actFrom: isFirst ? now : now + leaseDuration + settleTerm }
  }

  /** Acts on the whole stream, read up to its end after `readFrom`. */
  const settle = (now: number): void => {
    pending = { kind: 'none' }
    decide(now)
    nextRead = now + intervalOf() * (0.9 + 0.2 * random.unit())
  }

  const decide = (now: number): void => {
    const isCandidate = candidates.includes(self.id)
    if (latest !== undefined && isOwn(latest) && latest.offset > resignedFence) return take(latest, now)
    if (phase.kind === 'holding') yieldClaim(now)
    phase = { kind: 'standby' }
    if (now < nextClaim || !isCandidate || !alive.has(self.id)) return
    if (latest !== undefined && isHeld(latest)) return
    claim(now)
  }

  const intervalOf = (): number => {
    if (phase.kind === 'holding') return verifyInterval
    return candidateIntervals[Math.max(0, candidates.indexOf(self.id))]
  }

  const fold = (records: Extract<LogInput, { kind: 'log.records' }>['records']): void => {
    for (const { offset, payload } of records) {
      const parsed = orderClaimSchema.safeParse(payload)
      if (parsed.success) latest = { ...parsed.data, offset }
      cursor = offset + 1
    }
  }

  const answerRead = (input: Extract<LogInput, { kind: 'log.records' }>, now: number): void => {
    if (input.first > 0) expired = true
    fold(input.records)
    cursor = Math.max(cursor, input.first)
    if (cursor < input.end) return read(now)
    settle(now)
  }

  const fail = (now: number): void => {
    const wasAppend = pending.kind === 'append'
    pending = { kind: 'none' }
    if (phase.kind === 'claiming') phase = { kind: 'standby' }
    nextRead = now + (wasAppend ? 500 : 1_000) * (0.5 + random.unit())
  }

  const answer = (input: LogInput, now: number): void => {
    if (pending.kind === 'none' || input.token !== pending.token) return
    switch (input.kind) {
      case 'log.appended': return startRead(now)
      case 'log.records': return answerRead(input, now)
      case 'log.failed': return fail(now)
    }
  }

  const doubt = (): void => {
    pending = { kind: 'none' }
    verifiedAt = never
    nextRead = never
  }

  /** The first candidate claims at once; the others give it time. */
  const delayFirstRead = (now: number): void => {
    const isFirst = candidates.length === 0 || candidates[0] === self.id
    nextRead = isFirst ? now : now + intervalOf()
  }

  const tick = (now: number): void => {
    if (lastTick === undefined) delayFirstRead(now)
    const gap = now - (lastTick ?? now)
    lastTick = now
    if (gap > pauseGap) {
      trustedAt += gap
      if (phase.kind === 'claiming') phase = { kind: 'standby' }
      doubt()
    }
    if (pending.kind !== 'none' && now - pending.sentAt > answerTimeout) fail(now)
    if (phase.kind === 'holding' && now - trustedAt > resignAfter) resign()
    if (pending.kind !== 'none' || now < nextRead) return
    if (phase.kind === 'holding' || candidates.includes(self.id)) startRead(now)
  }

  const fence = (now: number): number | undefined => {
    if (phase.kind !== 'holding' || now < phase.actFrom) return undefined
    if (now - verifiedAt >= leaseDuration || now - (lastTick ?? now) > pauseGap) return undefined
    return phase.fence
  }

  return {
    tick,
    answer,
    setMembers,
    recordResignation: known => {
      resignedFence = Math.max(resignedFence, known)
    },
    fence,
    invalidate: doubt,
    phase: () => phase
  }
}
