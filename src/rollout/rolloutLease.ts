/**
 * Which instance gives orders about weights. The last claim on the stream names
 * the holder, and the claim's offset gives its fencing number. The holder acts only
 * for a short time after a read that showed its claim as the last; an instance
 * that takes over waits until that time has passed for the one before it. An
 * instance that was suspended or cut off therefore asks before it acts.
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
export interface Rivals {
  /** Whether the instance is alive, runs with this incarnation and reaches the store. */
  readonly isAble: (id: string, incarnation: string) => boolean
  /** Place of the own instance among those that may take over, 0 first. */
  readonly rank: () => number
}

/** The duty as one instance sees it. */
export interface RolloutLease {
  /** Works towards holding the duty; called while there is work. */
  readonly pursue: (now: Moment) => void
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

/** Time after a confirming read within which the holder may act, in ms. */
const actWindow = 700
/** Age of the confirmation from which the holder asks again, in ms. */
const confirmAfter = 300
/** Time for an order on its way to arrive, in ms. */
const transitTime = 200
/** Time between attempts to take over, in ms. */
const candidateInterval = 250
/** Time that a lower rank leaves to the one before it, in ms. */
const rankPause = 150
const answerTimeout = 1_500
/** Fencing number of the claim at offset 0. */
const firstFence = 1

interface Latest extends Claim {
  readonly offset: number
}

type Pending =
  | { readonly kind: 'read', readonly token: number, readonly sentAt: Moment }
  | { readonly kind: 'append', readonly token: number, readonly sentAt: Moment, readonly at: number, readonly released: boolean }

/**
 * Creates the lease of one instance.
 *
 * @param self - this instance
 * @param rivals - the others
 * @param emit - where effects go
 */
export const createRolloutLease = (self: Claimant, rivals: Rivals, emit: (effect: ClaimEffect) => void): RolloutLease => {
  let latest: Latest | undefined
  let end = 0
  let known = false
  let pending: Pending | undefined
  let confirmedAt: Moment | undefined
  let actFrom = -Infinity
  let nextTry = -Infinity
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
    pending = { kind: 'append', token, sentAt: now, at: end, released }
    const claim: Claim = { holder: self.id, incarnation: self.incarnation, released }
    emit({ kind: 'claim.append', token, at: end, claim })
  }

  const mayTake = (now: Moment): boolean => {
    if (latest === undefined || latest.released) return true
    if (latest.holder === self.id) return true
    if (rivals.isAble(latest.holder, latest.incarnation)) return false
    return now.steady >= (wantedSince ?? now.steady) + rankPause * (1 + rivals.rank())
  }

  const pursue = (now: Moment): void => {
    wantedSince ??= now.steady
    if (pending !== undefined && ageOf(pending.sentAt, now) > answerTimeout) pending = undefined
    if (pending !== undefined) return
    if (isOwn(latest)) {
      if (confirmedAt === undefined || ageOf(confirmedAt, now) > confirmAfter) read(now)
      return
    }
    const turn = wantedSince + rankPause * rivals.rank()
    if (now.steady < turn || now.steady < nextTry) return
    nextTry = now.steady + candidateInterval
    if (latest !== undefined && known && rivals.isAble(latest.holder, latest.incarnation) && !latest.released) return
    read(now)
  }

  const fold = (records: readonly ClaimRecord[]): void => {
    for (const { offset, claim } of records) {
      const parsed = claimSchema.safeParse(claim)
      if (parsed.success) latest = { ...parsed.data, offset }
    }
  }

  const settleAccepted = (at: number, released: boolean, sentAt: Moment, now: Moment): void => {
    const before = latest
    latest = { holder: self.id, incarnation: self.incarnation, released, offset: at }
    end = at + 1
    confirmedAt = sentAt
    const free = before === undefined || before.released || before.holder === self.id
    actFrom = free ? now.steady : now.steady + actWindow + transitTime
  }

  const answerRead = (input: Extract<ClaimInput, { kind: 'claim.records' }>, sentAt: Moment, now: Moment): void => {
    fold(input.records)
    end = input.end
    known = true
    if (isOwn(latest)) {
      confirmedAt = sentAt
      return
    }
    confirmedAt = undefined
    if (mayTake(now)) append(false, now)
  }

  const answer = (input: ClaimInput, now: Moment): void => {
    if (pending === undefined || input.token !== pending.token) return
    const asked = pending
    pending = undefined
    switch (input.kind) {
      case 'claim.records': return answerRead(input, asked.sentAt, now)
      case 'claim.accepted':
        if (asked.kind === 'append') settleAccepted(asked.at, asked.released, asked.sentAt, now)
        return
      case 'claim.refused': return read(now)
      case 'claim.failed':
        nextTry = now.steady + candidateInterval
    }
  }

  const fence = (now: Moment): number | undefined => {
    if (latest === undefined || !isOwn(latest) || confirmedAt === undefined) return undefined
    if (now.steady < actFrom || ageOf(confirmedAt, now) >= actWindow) return undefined
    return latest.offset + firstFence
  }

  const release = (now: Moment): void => {
    if (isOwn(latest)) append(true, now)
  }

  return {
    pursue,
    answer,
    fence,
    holds: () => isOwn(latest),
    fenced: () => { confirmedAt = undefined },
    release
  }
}
