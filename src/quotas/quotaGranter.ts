/**
 * Grants the credit of one workspace with a quota. The load that it answers is a
 * workspace that sends several times its quota through any number of instances.
 *
 * In any span, the credit of `rate` times the span and `returnTime`, plus the burst
 * and the debt of one request, is what all instances together can use: a grant is
 * used or returned within `returnTime`, and what is used of it is not returned. For
 * a span of 8 s and the 1.1 times that a workspace may exceed its quota by, this
 * leaves the slack for the debt.
 *
 * Credit is granted in the order in which it is asked for, and a denial names the
 * exact time of the next credit: which requests of a workspace are within its quota
 * is decided by the order of their arrival, wherever they arrive. A request needs no
 * more than the bucket's minimum, so that a large one is not passed over for ever by
 * small ones.
 */
import { burstFraction, createTokenBucket, type BucketStart } from '../limits/tokenBucket.js'
import type { QuotaDecision } from './quotaMessages.js'

/** A quota of one version of the configuration. */
export interface QuotaFigures {
  /** Version of the configuration. */
  readonly version: number
  /** Credit per second. */
  readonly rate: number
  /** Credit that is saved up; 0 for a quarter of a second's. */
  readonly burst: number
}

/** An instance's wish for credit; see `fleet.quotaRequest`. */
export interface CreditRequest {
  readonly instance: string
  readonly amount: number
  readonly more: number
}

/** Grants the credit of one workspace; times in ms. */
export interface QuotaGranter {
  /** Decides on a wish; `share` is the fraction of the quota that this granter may grant. */
  readonly decide: (request: CreditRequest, figures: QuotaFigures, share: number, now: number) => QuotaDecision
  /** Takes credit back that an instance has not used, as far as it was granted within `returnTime`. */
  readonly takeBack: (instance: string, amount: number, now: number) => void
}

/** Time within which granted credit has to be used, in ms. */
export const creditValidity = 500
/** Time after its grant within which credit may be returned, in ms. Longer than `creditValidity` by the time of a message and a rejection; the bound of the quota has room for 800 ms. */
export const returnTime = 750
/** Least level at which the bucket grants credit, the cost of the smallest request. */
const minLevel = 1
/** Shortest time until an instance asks again, in ms. */
const minWait = 1
/** Longest time that the debt of one request may take to be paid, in ms: a request that states an absurd size does not shut its workspace out for good. */
const maxDebtTime = 60_000
const msPerSecond = 1_000

interface Grant {
  amount: number
  readonly at: number
}

/** Returns what is saved up at most under a quota. */
export const capacityOf = ({ rate, burst }: QuotaFigures): number => Math.max(minLevel, burst > 0 ? burst : rate * burstFraction)

/**
 * Creates the granter of a workspace.
 *
 * @param start - credit at some time (ms), after which the quota's rate is added
 */
export const createQuotaGranter = (start: BucketStart): QuotaGranter => {
  const bucket = createTokenBucket(minLevel, start)
  const grants = new Map<string, Grant[]>()

  const removeExpired = (now: number): void => {
    for (const [instance, list] of grants) {
      while (list.length > 0 && list[0].at + returnTime <= now) list.shift()
      if (list.length === 0) grants.delete(instance)
    }
  }

  const noteGrant = (instance: string, amount: number, now: number): void => {
    const list = grants.get(instance)
    if (list === undefined) grants.set(instance, [{ amount, at: now }])
    else list.push({ amount, at: now })
  }

  /** Time until the bucket grants credit again, in ms. */
  const timeToCredit = (rate: number): number => Math.max(minWait, (minLevel - bucket.level()) / rate * msPerSecond)

  const decide = (request: CreditRequest, figures: QuotaFigures, share: number, now: number): QuotaDecision => {
    const { instance, amount, more } = request
    const rate = figures.rate * share
    const capacity = Math.max(minLevel, capacityOf(figures) * share)
    removeExpired(now)
    bucket.open(rate, now, capacity)
    const free = bucket.level()
    const needed = Math.min(amount, capacity + rate * maxDebtTime / msPerSecond)
    if (free < Math.min(minLevel, needed)) return { kind: 'denied', wait: timeToCredit(rate) }
    // Only an instance of a workspace that is well within its quota gets credit for later requests; else these would have it before those that arrive elsewhere first.
    const extra = Math.min(more, Math.max(0, (free - needed - capacity / 2) / 2))
    bucket.take(needed + extra)
    noteGrant(instance, needed + extra, now)
    const wait = bucket.level() < minLevel ? timeToCredit(rate) : 0
    return { kind: 'granted', amount: amount + extra, validity: creditValidity, wait }
  }

  const takeBack = (instance: string, amount: number, now: number): void => {
    removeExpired(now)
    let left = amount
    for (const grant of grants.get(instance) ?? []) {
      const returned = Math.min(left, grant.amount)
      grant.amount -= returned
      left -= returned
      bucket.take(-returned)
    }
  }

  return { decide, takeBack }
}
