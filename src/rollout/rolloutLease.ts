/**
 * Which instance gives orders about weights. Claims lie on a stream that accepts
 * an append only at its expected end. The holder's claim is followed by its own
 * renewals; the offset of the first gives its fencing number. The holder acts
 * only for a short time after each renewal, so an instance that was suspended or
 * cut off asks before it acts. Another instance takes over once the stream has
 * stood still for longer than that time: by then the former holder may not act,
 * whatever the instances believe of one another.
 */
import { z } from 'zod'
import { ageOf, type Moment } from '../lease/readLease.js'
import type { ClaimEffect, ClaimInput, ClaimRecord } from '../ports/claimPort.js'

const claimSchema = z.object({
  holder: z.string(),
  /** Start of the holder's process. */
  incarnation: z.string(),
  /** The holder has given the duty up. */
  released: z.boolean()
})

type Claim = z.infer<typeof claimSchema>

/** Who claims. */
export interface Claimant {
  readonly id: string
  readonly incarnation: string
}

/** What is known of the other instances. */
export interface LeasePeers {
  /** Whether the instance is alive, runs with this incarnation and reaches the store. */
  readonly canHoldLease: (id: string, incarnation: string) => boolean
  /** Place of the own instance among those that may take over, 0 first. */
  readonly rank: () => number
}

/** The duty as one instance sees it. */
export interface RolloutLease {
  /** Works towards holding the duty; called while there is work. */
  readonly acquireOrRenew: (now: Moment) => void
  /** There is no work. */
  readonly markIdle: () => void
  readonly answer: (input: ClaimInput, now: Moment) => void
  /** The fencing number if orders may be given now. */
  readonly fence: (now: Moment) => number | undefined
  /** Whether this instance believes that it holds the duty. */
  readonly holds: () => boolean
  /** A worker has seen a higher fencing number. */
  readonly fenced: () => void
  /** Gives the duty up, so that another takes it without delay. */
  readonly release: (now: Moment) => void
}

/** Time after a renewal within which the holder may act, in ms. */
const actWindow = 700
/** Age of the last renewal from which the holder renews, in ms. */
const renewAfter = 300
/** Time for an order on its way to arrive, in ms. */
const transitTime = 200
/** Standstill of the stream after which a holder that seems unable is replaced, in ms. */
const standstill = actWindow + transitTime
/** Standstill after which any holder is replaced while there is work, in ms. */
const longStandstill = 2_500
/** Time between looks at the stream by those that do not hold the duty, in ms. */
const lookInterval = 250
/** The same while the holder seems able, in ms. */
const calmLookInterval = 1_000
/** Time that a lower rank leaves to the one before it, in ms. */
const rankPause = 150
/** Instances that look at the stream from the start of work; the others look once it has stood still for long, so that looks do not grow with the fleet. */
const lookers = 3
const answerTimeout = 1_500
/** Fencing number of a claim at offset 0. */
const firstFence = 1

interface Latest extends Claim {
  readonly fence: number
}

type Pending =
  | { readonly kind: 'read', readonly token: number, readonly sentAt: Moment }
  | { readonly kind: 'append', readonly token: number, readonly sentAt: Moment, readonly at: number, readonly claim: Claim }

/**
 * Creates the lease of one instance.
 *
 * @param self - this instance
 * @param rivals - the others
 * @param emit - where effects go
 */
export const createRolloutLease = (self: Claimant, rivals: LeasePeers, emit: (effect: ClaimEffect) => void): RolloutLease => {
  let latest: Latest | undefined
  let end = 0
  let endSeenAt: Moment | undefined
  let pending: Pending | undefined
  let renewedAt: Moment | undefined
  let nextLook = -Infinity
  let wantedSince: number | undefined
  let token = 0

  const isOwn = (claim: Claim | undefined): boolean =>
    claim?.holder === self.id && claim.incarnation === self.incarnation && !claim.released

  const read = (now: Moment): void => {
    token++
    pending = { kind: 'read', token, sentAt: now }
    emit({ kind: 'claim.read', token, from: end })
  }

  const append = (released: boolean, now: Moment): void => {
    token++
    const claim: Claim = { holder: self.id, incarnation: self.incarnation, released }
    pending = { kind: 'append', token, sentAt: now, at: end, claim }
    emit({ kind: 'claim.append', token, at: end, claim })
  }

  const stoodStill = (now: Moment): number => endSeenAt === undefined ? 0 : now.steady - endSeenAt.steady

  const isHolderAble = (): boolean => latest !== undefined && !latest.released && rivals.canHoldLease(latest.holder, latest.incarnation)

  const mayTake = (now: Moment): boolean => {
    if (latest === undefined || latest.released) return true
    const limit = isHolderAble() ? longStandstill : standstill
    return stoodStill(now) >= limit + rankPause * rivals.rank()
  }

  const turnOf = (rank: number): number => rankPause * rank + (rank < lookers ? 0 : longStandstill)

  const pursue = (now: Moment): void => {
    wantedSince ??= now.steady
    if (pending !== undefined && ageOf(pending.sentAt, now) > answerTimeout) pending = undefined
    if (pending !== undefined) return
    if (isOwn(latest)) {
      if (renewedAt === undefined || ageOf(renewedAt, now) > renewAfter) append(false, now)
      return
    }
    const turn = wantedSince + turnOf(rivals.rank())
    if (now.steady < turn || now.steady < nextLook) return
    nextLook = now.steady + (isHolderAble() ? calmLookInterval : lookInterval)
    read(now)
  }

  const take = (offset: number, claim: Claim): void => {
    const goesOn = latest !== undefined && !latest.released && latest.holder === claim.holder && latest.incarnation === claim.incarnation
    latest = { ...claim, fence: goesOn && latest !== undefined ? latest.fence : offset + firstFence }
  }

  const fold = (records: readonly ClaimRecord[]): void => {
    for (const { offset, claim } of records) {
      const parsed = claimSchema.safeParse(claim)
      if (parsed.success) take(offset, parsed.data)
    }
  }

  const answerRead = (input: Extract<ClaimInput, { kind: 'claim.records' }>, now: Moment): void => {
    fold(input.records)
    if (endSeenAt === undefined || input.end !== end) endSeenAt = now
    end = input.end
    if (isOwn(latest) || mayTake(now)) append(false, now)
  }

  const accepted = (at: number, claim: Claim, sentAt: Moment, now: Moment): void => {
    take(at, claim)
    end = at + 1
    endSeenAt = now
    renewedAt = sentAt
  }

  const answer = (input: ClaimInput, now: Moment): void => {
    if (pending === undefined || input.token !== pending.token) return
    const asked = pending
    pending = undefined
    switch (input.kind) {
      case 'claim.records': return answerRead(input, now)
      case 'claim.accepted':
        if (asked.kind === 'append') accepted(asked.at, asked.claim, asked.sentAt, now)
        return
      case 'claim.refused':
        renewedAt = undefined
        return read(now)
      case 'claim.failed':
        nextLook = now.steady + lookInterval
    }
  }

  const fence = (now: Moment): number | undefined => {
    if (latest === undefined || !isOwn(latest) || renewedAt === undefined) return undefined
    return ageOf(renewedAt, now) < actWindow ? latest.fence : undefined
  }

  const release = (now: Moment): void => {
    if (isOwn(latest)) append(true, now)
  }

  return {
    acquireOrRenew: pursue,
    markIdle: () => { wantedSince = undefined },
    answer,
    fence,
    holds: () => isOwn(latest),
    fenced: () => { renewedAt = undefined },
    release
  }
}
