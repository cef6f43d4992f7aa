/**
 * The order of service of one service at one instance: what is short, which
 * workspace uses more than its share, which requests are sent, with which priority,
 * and when refused callers are asked back. It holds the state for the decisions of
 * `admissionDecision.ts`.
 */
import { createFairness, type Fairness, type Standing } from '../fairness/fairness.js'
import { decideAdmission, decideOrder, type AdmissionDecision, type WaitingOrder } from './admissionDecision.js'
import { createReturnTimes, type RefusedCaller } from './returnTimes.js'
import { createShortage } from './shortage.js'

/** A request as the decisions see it; times in ms. */
export interface OrderedRequest {
  /** Name of the workspace; undefined on routes that need no key. */
  readonly workspace: string | undefined
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number
  readonly arrivedAt: number
  readonly deadline: number
  readonly objective: number
  /** Identifies the request under whatever id it comes; computed only under shortage. */
  readonly fingerprint: () => string
}

/** The chosen place of a request. */
export interface PlacedRequest extends OrderedRequest {
  /** Expected time to the response, or to a stream's first event, in ms. */
  readonly expected: number
  /** Fraction of the work ahead of the request that has a lower priority, 0 to 1. */
  readonly yieldingShare: number
  /** Whether the worker serves requests in the order of their priorities. */
  readonly isPrioritized: boolean
  /** Size, in tokens. */
  readonly size: number
  /** Whether it is placed for the first time, so that it counts for the shortage and as offered. */
  readonly isFirst: boolean
  readonly wasTurnedAway: boolean
  readonly isRefusable: boolean
}

/** The order of service of one service; times in ms. */
export interface ServiceOrder {
  readonly decide: (request: PlacedRequest, now: number) => AdmissionDecision
  readonly orderOf: (request: OrderedRequest, now: number) => WaitingOrder
  /** Records a request that was sent, of a size in tokens. */
  readonly noteSent: (workspace: string | undefined, size: number, isOverShare: boolean, now: number) => void
  /** Records that a worker turned away a request that was sent, so that its work is not done. */
  readonly noteTurnedAway: (workspace: string | undefined, size: number, isOverShare: boolean, now: number) => void
  /** Applies what an instance that sees the requests of many says of a workspace; for a moment it replaces what this instance sees itself. */
  readonly noteStanding: (workspace: string, standing: Standing, now: number) => void
  /** Time after which a refused caller is asked back. */
  readonly returnAfter: (caller: RefusedCaller, now: number) => number
  /** Fraction of the recent requests that were short of room, 0 to 1. */
  readonly shortage: (now: number) => number
  readonly isShort: (now: number) => boolean
}

/** Stands for requests without a workspace among the shares; no workspace has an empty name. */
const noWorkspace = ''

/** Time for which the standing that another instance stated replaces the own one, in ms. */
const statedLifetime = 1_000

/**
 * Creates the order of a service without requests.
 *
 * @param fairness - the shares of the workspaces; of its own by default
 */
export const createServiceOrder = (fairness: Fairness = createFairness(() => 1)): ServiceOrder => {
  const stated = new Map<string, { readonly standing: Standing, readonly until: number }>()
  const shortage = createShortage()
  const returnTimes = createReturnTimes()

  /** Without a workspace there is no share to be over. */
  const standingOf = (workspace: string | undefined, now: number): Partial<Standing> => {
    if (workspace === undefined) return {}
    const known = stated.get(workspace)
    if (known !== undefined && known.until > now) return known.standing
    stated.delete(workspace)
    return fairness.standing(workspace, now)
  }

  const firstArrivedAt = (request: OrderedRequest, isShort: boolean, now: number): number | undefined =>
    isShort ? returnTimes.firstArrivedAt(request.fingerprint(), now) : undefined

  const decide = (request: PlacedRequest, now: number): AdmissionDecision => {
    const { workspace, expected, objective, deadline } = request
    if (request.isFirst) shortage.noteExpected(expected, objective, now)
    const isShort = shortage.isShort(now)
    const hasReturned = firstArrivedAt(request, isShort, now) !== undefined
    // A caller that comes again does not ask for more.
    if (request.isFirst && !hasReturned) fairness.recordOffer(workspace ?? noWorkspace, request.size, now)
    const { usageRatio, othersShare = 0 } = standingOf(workspace, now)
    return decideAdmission({
      ...request,
      isShort,
      turnedAwayShare: shortage.turnedAwayShare(now),
      usageRatio,
      othersShare,
      timeLeft: deadline - now,
      hasReturned
    })
  }

  const orderOf = (request: OrderedRequest, now: number): WaitingOrder => {
    const isShort = shortage.isShort(now)
    const first = firstArrivedAt(request, isShort, now)
    const { usageRatio } = standingOf(request.workspace, now)
    return decideOrder({ ...request, isShort, usageRatio, hasReturned: first !== undefined, firstArrivedAt: first ?? request.arrivedAt })
  }

  return {
    decide,
    orderOf,
    noteSent: (workspace = noWorkspace, size, isOverShare, now) => {
      returnTimes.noteSent(now)
      if (isOverShare) fairness.recordExcess(workspace, size, shortage.isShort(now), now)
      else fairness.recordWithin(workspace, size, now)
    },
    noteTurnedAway: (workspace = noWorkspace, size, isOverShare, now) => {
      shortage.noteTurnedAway(now)
      if (!isOverShare) fairness.withdrawWithin(workspace, size, now)
    },
    noteStanding: (workspace, standing, now) => { stated.set(workspace, { standing, until: now + statedLifetime }) },
    returnAfter: returnTimes.returnAfter,
    shortage: shortage.share,
    isShort: shortage.isShort
  }
}
