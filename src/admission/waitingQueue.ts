/**
 * Requests that wait at an instance because no worker can take them now. It
 * answers the short spells in which all workers of a service are away at once:
 * the most urgent goes first, then the oldest, and a request leaves the line at
 * the moment from which waiting would cost it its time.
 */

/** One waiting request. */
export interface QueuedRequest {
  readonly request: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly since: number
  /** When it is turned away at the latest. */
  readonly expiresAt: number
}

/** The line of one instance. */
export interface WaitingQueue {
  readonly add: (waiting: QueuedRequest) => void
  readonly remove: (request: number) => void
  /** All in the order in which they should be served. */
  readonly inOrder: () => readonly QueuedRequest[]
  /** Removes and returns those whose time to wait has passed. */
  readonly removeExpired: (now: number) => readonly QueuedRequest[]
  /** When the next one is overdue. */
  readonly nextExpiry: () => number
  readonly size: () => number
}

const byUrgency = (left: QueuedRequest, right: QueuedRequest): number => left.priority - right.priority || left.since - right.since

/** Creates an empty line. */
export const createWaitingQueue = (): WaitingQueue => {
  const waiting = new Map<number, QueuedRequest>()

  const overdue = (now: number): readonly QueuedRequest[] => {
    const late = [...waiting.values()].filter(({ expiresAt: until }) => until <= now)
    for (const { request } of late) waiting.delete(request)
    return late
  }

  return {
    add: entry => { waiting.set(entry.request, entry) },
    remove: request => { waiting.delete(request) },
    inOrder: () => [...waiting.values()].sort(byUrgency),
    removeExpired: overdue,
    nextExpiry: () => Math.min(...[...waiting.values()].map(({ expiresAt: until }) => until)),
    size: () => waiting.size
  }
}
