/**
 * Priority queue of the requests that wait at an instance because no worker can
 * take them at the moment. It bridges short periods in which all workers of a
 * service are unavailable at once. Requests are served by priority, then those
 * within the share of their workspace, then by age;
 * a request leaves the queue once waiting longer would leave too little time to
 * serve it.
 */

/** One waiting request; times in ms. */
export interface QueuedRequest {
  readonly request: number
  /** 0 is the highest priority. */
  readonly priority: number
  /** Whether it is over the share of its workspace under shortage; not by default. */
  readonly isOverShare?: boolean
  readonly since: number
  /** Time at which the request is rejected if it still waits. */
  readonly expiresAt: number
}

/** The queue of one instance. */
export interface WaitingQueue {
  readonly add: (entry: QueuedRequest) => void
  readonly remove: (request: number) => void
  /** All requests in the order in which they should be served. */
  readonly inOrder: () => readonly QueuedRequest[]
  /** Removes and returns the requests that have expired. */
  readonly removeExpired: (now: number) => readonly QueuedRequest[]
  /** Time at which the next request expires; infinite for an empty queue. */
  readonly nextExpiry: () => number
  readonly size: () => number
}

const byPriority = (left: QueuedRequest, right: QueuedRequest): number =>
  left.priority - right.priority || Number(left.isOverShare ?? false) - Number(right.isOverShare ?? false) || left.since - right.since

/** Creates an empty queue. */
export const createWaitingQueue = (): WaitingQueue => {
  const queued = new Map<number, QueuedRequest>()

  const removeExpired = (now: number): readonly QueuedRequest[] => {
    const expired = [...queued.values()].filter(({ expiresAt }) => expiresAt <= now)
    for (const { request } of expired) queued.delete(request)
    return expired
  }

  return {
    add: entry => { queued.set(entry.request, entry) },
    remove: request => { queued.delete(request) },
    inOrder: () => [...queued.values()].sort(byPriority),
    removeExpired,
    nextExpiry: () => Math.min(...[...queued.values()].map(({ expiresAt }) => expiresAt)),
    size: () => queued.size
  }
}
