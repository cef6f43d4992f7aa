/**
 * Decides whether a request is sent, with which priority, and in which order
 * requests wait. The load is a burst of several times the usual requests beside
 * one workspace that sends a multiple of its own, at workers that serve more
 * urgent requests first. Without shortage only requests that no worker can begin
 * before their deadline are refused. Under shortage, requests of a workspace
 * within its share are treated as without it; those over the share get a lower
 * priority, and are refused first while other workspaces want the room.
 */

/** What the decision on sending depends on; times in ms. */
export interface AdmissionInput {
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number
  /** Whether the service is short of room. */
  readonly isShort: boolean
  /** Fraction of the recent attempts that workers turned away, 0 to 1. */
  readonly turnedAwayShare: number
  /** Work of the workspace divided by what its share allows; undefined for requests without a workspace, which are within their share. */
  readonly usageRatio: number | undefined
  /** Fraction of the recent work that other workspaces have, 0 to 1. */
  readonly othersShare: number
  /** Time until the deadline. */
  readonly timeLeft: number
  /** Expected time to the response, or to a stream's first event. */
  readonly expected: number
  /** Fraction of the work ahead of the request that has a lower priority, 0 to 1. */
  readonly yieldingShare: number
  /** Whether the worker serves requests in the order of their priorities. */
  readonly isPrioritized: boolean
  /** Time within which a response is on time. */
  readonly objective: number
  /** Whether a request of this content was refused before. */
  readonly hasReturned: boolean
  /** Whether a worker turned this request away. */
  readonly wasTurnedAway: boolean
  /** Whether the request may still be refused by share: no worker may have run it, and it continues no stream. */
  readonly isRefusable: boolean
}

/** The request is sent with this priority, or refused; `isOverShare` is stated without shortage, too, so that its work is counted apart; `wait` is the time until a place is likely, in ms. */
export type AdmissionDecision =
  | { readonly kind: 'admit', readonly priority: number, readonly isOverShare: boolean }
  | { readonly kind: 'refuse', readonly reason: 'overloaded' | 'overShare', readonly wait: number }

/** Least urgent priority that workers know. */
const leastUrgent = 9
/** Priorities up to this one are lowered to the one before the least urgent, so that the urgent requests of a workspace stay before its others. */
const lastUrgent = 4
/** Usage ratio up to which requests that were refused before are within the share; new ones are up to 1. The callers that wait longest take the share first, so none of them starves. */
const returnedRatio = 1.1
/** Fraction of the time left within which a request over its share has to be expected: requests that come later are served before it. */
const overShareFraction = 0.5
/** Share of turned away attempts from which no request over its share is sent: workers have no room left for those within theirs. */
const fullTurnedAwayShare = 0.05
/** Fraction of the work that other workspaces must have for requests to be refused by share. */
const contendedShare = 0.01
/** Largest fraction of the expected time by which it is shortened for work that yields: the running requests remain. */
const maxYielding = 0.9
/** Time left before a deadline, in multiples of the objective, below which a request counts as older than it is. */
const urgentObjectives = 2

/** Whether the request is over the share of its workspace. */
const isOver = ({ usageRatio, hasReturned }: Pick<AdmissionInput, 'usageRatio' | 'hasReturned'>): boolean =>
  usageRatio !== undefined && usageRatio > (hasReturned ? returnedRatio : 1)

/** Lowers a priority, 0 to 9, below those that requests within their share commonly have. */
const lowered = (priority: number): number => Math.max(priority, priority <= lastUrgent ? leastUrgent - 1 : leastUrgent)

/** Expected time of a request within its share, without the work that its worker serves later. */
const expectedBefore = ({ isShort, expected, yieldingShare }: AdmissionInput): number =>
  isShort ? expected * (1 - Math.min(maxYielding, yieldingShare)) : expected

const overloaded = (expected: number, timeLeft: number): AdmissionDecision =>
  ({ kind: 'refuse', reason: 'overloaded', wait: Math.max(0, expected - timeLeft / 2) })

/** Decides on a request over the share of its workspace under shortage; all work ahead is served before it. */
const decideOverShare = ({ priority, turnedAwayShare, othersShare, timeLeft, expected, isPrioritized, objective, wasTurnedAway, isRefusable }: AdmissionInput): AdmissionDecision => {
  const admitted = { kind: 'admit', priority: lowered(priority), isOverShare: true } as const
  if (!isRefusable || othersShare < contendedShare) return admitted
  // Where the order of arrival decides, others would wait behind it for longer than their objective.
  const longest = isPrioritized ? Math.max(objective, overShareFraction * timeLeft) : objective
  const allowed = longest * Math.max(0, 1 - turnedAwayShare / fullTurnedAwayShare)
  if (expected < allowed && !wasTurnedAway) return admitted
  return { kind: 'refuse', reason: 'overShare', wait: Math.max(0, expected - allowed / 2) }
}

/**
 * Decides whether a request is sent to the worker that was chosen for it.
 *
 * @param input - the request, its workspace and the state of its service
 */
export const decideAdmission = (input: AdmissionInput): AdmissionDecision => {
  const { priority, isShort, timeLeft } = input
  const isOverShare = isOver(input)
  const isLowered = isShort && isOverShare
  const expected = isLowered ? input.expected : expectedBefore(input)
  if (expected >= timeLeft) return overloaded(expected, timeLeft)
  return isLowered ? decideOverShare(input) : { kind: 'admit', priority, isOverShare }
}

/** What the order of waiting depends on; times in ms. */
export interface OrderInput extends Pick<AdmissionInput, 'priority' | 'isShort' | 'usageRatio' | 'hasReturned' | 'objective'> {
  readonly deadline: number
  /** When the caller's first attempt arrived, as far as it is known. */
  readonly firstArrivedAt: number
}

/** Place of a waiting request: the lowest priority value first, then requests within their share, then the earliest `since` (ms). */
export interface WaitingOrder {
  readonly priority: number
  readonly isOverShare: boolean
  readonly since: number
}

/**
 * Decides the place of a waiting request among the others.
 *
 * @param input - the request, its workspace and the state of its service
 */
export const decideOrder = (input: OrderInput): WaitingOrder => {
  const { priority, isShort, objective, deadline, firstArrivedAt } = input
  const isOverShare = isShort && isOver(input)
  return { priority: isOverShare ? lowered(priority) : priority, isOverShare, since: Math.min(firstArrivedAt, deadline - urgentObjectives * objective) }
}
