/**
 * Who gives way when an instance holds too many bytes for its callers. The workspace
 * that holds the most gives first, so that the callers of one workspace do not take
 * the memory of the others; within it, the request whose bytes have been held the
 * longest without progress, weighed by their number.
 */

/** Bytes that are held for one request; times in ms. */
export interface HeldBytes {
  readonly request: number
  /** Workspace of its caller; callers without one share the name ''. */
  readonly workspace: string
  /** Number of bytes. */
  readonly held: number
  /** When its caller last sent or took some. */
  readonly progressAt: number
}

/** Added to the time without progress, in ms, so that among fresh requests the larger one is chosen. */
const freshTime = 1
/** Share of the bound to which what is held is reduced, so that the next bytes do not exceed it again. */
const targetShare = 0.9

const weightOf = ({ held, progressAt }: HeldBytes, now: number): number => held * (Math.max(0, now - progressAt) + freshTime)

interface Group<Held> {
  /** Number of bytes that its requests hold. */
  sum: number
  /** Its requests, the one that gives next at the end. */
  readonly requests: Held[]
}

const groupByWorkspace = <Held extends HeldBytes>(requests: readonly Held[], now: number): readonly Group<Held>[] => {
  const groups = new Map<string, Group<Held>>()
  for (const request of requests) {
    const group = groups.get(request.workspace) ?? { sum: 0, requests: [] }
    groups.set(request.workspace, group)
    group.sum += request.held
    group.requests.push(request)
  }
  for (const group of groups.values()) group.requests.sort((one, other) => weightOf(one, now) - weightOf(other, now))
  return [...groups.values()]
}

/** Takes the request that gives next: the weightiest of the workspace that holds the most. */
const takeNext = <Held extends HeldBytes>(groups: readonly Group<Held>[]): Held | undefined => {
  const largest = groups.reduce<Group<Held> | undefined>((found, group) => found === undefined || group.sum > found.sum ? group : found, undefined)
  const next = largest?.requests.pop()
  if (largest !== undefined && next !== undefined) largest.sum -= next.held
  return next
}

/**
 * Chooses the requests that give way.
 *
 * @param requests - all requests for which bytes are held
 * @param bound - largest number of bytes that may be held for all of them
 * @param now - present time, in ms
 * @returns the requests, in the order in which they give way; none while no more than the bound is held
 */
export const heaviestFirst = <Held extends HeldBytes>(requests: readonly Held[], bound: number, now: number): readonly Held[] => {
  const holding = requests.filter(({ held }) => held > 0)
  const chosen: Held[] = []
  let total = holding.reduce((sum, { held }) => sum + held, 0)
  if (total <= bound) return chosen
  const groups = groupByWorkspace(holding, now)
  while (total > bound * targetShare) {
    const next = takeNext(groups)
    if (next === undefined) return chosen
    total -= next.held
    chosen.push(next)
  }
  return chosen
}

/**
 * Time for which a request has made no progress, in ms.
 *
 * @param request - the request
 * @param now - present time, in ms
 */
export const stalledTime = ({ progressAt }: HeldBytes, now: number): number => Math.max(0, Math.round(now - progressAt))
