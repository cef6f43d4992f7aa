/**
 * Credit that one instance holds of one workspace, and what it knows of the granter:
 * whether it has been asked, and until when it has denied credit. Credit is valid
 * from the question on, so that a late answer, or one that waited in a process that
 * was frozen, brings none that another granter may have granted again.
 */
import type { Quota } from '../catalog/catalogTypes.js'
import { creditValidity } from './quotaGranter.js'
import type { QuotaDecision } from './quotaMessages.js'

/** Credit that was taken for a request. */
export interface Credit {
  readonly workspace: string
  readonly amount: number
  /** When it has to be used, in ms. */
  readonly until: number
  /** Instance that granted it. */
  readonly granter: string
}

/** Whether credit can be had. */
export type CreditState =
  | { readonly kind: 'available' }
  /** None is held; the granter may be asked. */
  | { readonly kind: 'wanted' }
  | { readonly kind: 'asked' }
  /** None before `until` (ms). */
  | { readonly kind: 'denied', readonly until: number }

/** The credit of one workspace at one instance; times in ms. */
export interface CreditHolding {
  readonly stateFor: (cost: number, now: number) => CreditState
  /** Notes the quota in force; a denial under another one no longer holds. */
  readonly noteQuota: (quota: Pick<Quota, 'rate' | 'burst'>) => void
  /** Takes held credit; undefined if there is less. */
  readonly take: (cost: number, now: number) => Credit | undefined
  /** Puts credit back that was not used; returns what is no longer valid. */
  readonly putBack: (credit: Credit, now: number) => number
  /** Records a question to the granter and returns its number. */
  readonly noteAsked: (granter: string, now: number) => number
  /** Applies the answer to a question. */
  readonly apply: (question: number, decision: QuotaDecision, now: number) => void
  /** Counts the cost of a request that has arrived. */
  readonly noteDemand: (cost: number, now: number) => void
  /** Cost of the requests that are likely to arrive within `batchTime`, in whole requests of this cost. */
  readonly expectedDemand: (cost: number, now: number) => number
  /** Removes the credit that is no longer valid, and returns it with the instance that granted it. */
  readonly removeExpired: (now: number) => readonly { readonly granter: string, readonly amount: number }[]
  readonly held: (now: number) => number
  /** When the last denial ends; -Infinity if there was none. */
  readonly deniedUntil: () => number
  /** When it was last used. */
  readonly usedAt: () => number
}

/** Time for the granter's answer, in ms. */
const answerTimeout = 150
/** Time, in ms, for which held credit is kept for the request that needs more and has asked for it; otherwise smaller ones would use it up again and again. */
const reserveTime = 50
/** Time whose expected demand is asked for with a request, in ms; half of the credit's validity, so that little expires unused. */
const batchTime = creditValidity / 2
/** Time over which demand is averaged, in ms. */
const demandTime = 1_000

interface Lot {
  amount: number
  readonly until: number
  readonly granter: string
}

interface Question {
  readonly granter: string
  readonly askedAt: number
}

/**
 * Creates the holding of an instance that has asked for nothing yet.
 *
 * @param workspace - name of the workspace
 * @param createdAt - present time, in ms
 */
export const createCreditHolding = (workspace: string, createdAt: number): CreditHolding => {
  let lots: Lot[] = []
  const questions = new Map<number, Question>()
  // Answers to questions of an earlier process under this id have other numbers.
  let lastQuestion = Math.max(0, Math.floor(createdAt))
  let askedAt: number | undefined
  let deniedUntil = -Infinity
  let demand = 0
  let demandAt = createdAt
  let usedAt = createdAt
  let quotaNow: Pick<Quota, 'rate' | 'burst'> | undefined

  const heldAt = (now: number): number => lots.reduce((sum, { amount, until }) => until > now ? sum + amount : sum, 0)

  const stateFor = (cost: number, now: number): CreditState => {
    if (askedAt !== undefined && now < askedAt + reserveTime) return { kind: 'asked' }
    if (heldAt(now) >= cost) return { kind: 'available' }
    if (now < deniedUntil) return { kind: 'denied', until: deniedUntil }
    return askedAt !== undefined && now < askedAt + answerTimeout ? { kind: 'asked' } : { kind: 'wanted' }
  }

  const noteQuota = ({ rate, burst }: Pick<Quota, 'rate' | 'burst'>): void => {
    if (quotaNow !== undefined && (quotaNow.rate !== rate || quotaNow.burst !== burst)) deniedUntil = -Infinity
    quotaNow = { rate, burst }
  }

  const take = (cost: number, now: number): Credit | undefined => {
    usedAt = now
    const valid = lots.filter(({ until }) => until > now).sort((left, right) => left.until - right.until)
    if (stateFor(cost, now).kind !== 'available') return undefined
    const { until, granter } = valid[0]
    let left = cost
    for (const lot of valid) {
      const taken = Math.min(left, lot.amount)
      lot.amount -= taken
      left -= taken
    }
    lots = lots.filter(({ amount }) => amount > 0)
    return { workspace, amount: cost, until, granter }
  }

  const putBack = ({ amount, until, granter }: Credit, now: number): number => {
    if (until <= now) return amount
    lots.push({ amount, until, granter })
    return 0
  }

  const noteAsked = (granter: string, now: number): number => {
    for (const [question, asked] of questions) if (asked.askedAt + creditValidity <= now) questions.delete(question)
    lastQuestion++
    questions.set(lastQuestion, { granter, askedAt: now })
    askedAt = now
    return lastQuestion
  }

  const apply = (question: number, decision: QuotaDecision, now: number): void => {
    const asked = questions.get(question)
    if (asked === undefined) return
    questions.delete(question)
    if (question === lastQuestion) askedAt = undefined
    if (decision.wait > 0) deniedUntil = now + decision.wait
    if (decision.kind === 'denied') return
    const until = asked.askedAt + Math.min(creditValidity, decision.validity)
    if (decision.amount > 0) lots.push({ amount: decision.amount, until, granter: asked.granter })
  }

  const currentDemand = (now: number): number => demand * Math.exp(-Math.max(0, now - demandAt) / demandTime)

  const noteDemand = (cost: number, now: number): void => {
    demand = currentDemand(now) + cost / demandTime
    demandAt = now
    usedAt = now
  }

  const removeExpired = (now: number): readonly Lot[] => {
    const expired = lots.filter(({ until }) => until <= now)
    if (expired.length > 0) lots = lots.filter(({ until }) => until > now)
    return expired
  }

  return {
    stateFor,
    noteQuota,
    take,
    putBack,
    noteAsked,
    apply,
    noteDemand,
    expectedDemand: (cost, now) => cost > 0 ? Math.floor(currentDemand(now) * batchTime / cost) * cost : 0,
    removeExpired,
    held: heldAt,
    deniedUntil: () => deniedUntil,
    usedAt: () => usedAt
  }
}
