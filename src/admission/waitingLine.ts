/**
 * Requests that wait at an instance because no worker can take them now. It
 * answers the short spells in which all workers of a service are away at once:
 * the most urgent goes first, then the oldest, and a request leaves the line at
 * the moment from which waiting would cost it its time.
 */

/** One waiting request. */
export interface Waiting {
  readonly request: number
  /** 0 is the most urgent. */
  readonly priority: number
  readonly since: number
  /** When it is turned away at the latest. */
  readonly until: number
}

/** The line of one instance. */
export interface WaitingLine {
  readonly add: (waiting: Waiting) => void
  readonly remove: (request: number) => void
  /** All in the order in which they should be served. */
  readonly inOrder: () => readonly Waiting[]
  /** Removes and returns those whose time to wait has passed. */
  readonly overdue: (now: number) => readonly Waiting[]
  /** When the next one is overdue. */
  readonly nextDue: () => number
  readonly size: () => number
}

const byUrgency = (left: Waiting, right: Waiting): number => left.priority - right.priority || left.since - right.since

/** Creates an empty line. */
export const createWaitingLine = (): WaitingLine => {
  const waiting = new Map<number, Waiting>()

  const overdue = (now: number): readonly Waiting[] => {
    const late = [...waiting.values()].filter(({ until }) => until <= now)
    for (const { request } of late) waiting.delete(request)
    return late
  }

  return {
    add: entry => { waiting.set(entry.request, entry) },
    remove: request => { waiting.delete(request) },
    inOrder: () => [...waiting.values()].sort(byUrgency),
    overdue,
    nextDue: () => Math.min(...[...waiting.values()].map(({ until }) => until)),
    size: () => waiting.size
  }
}
