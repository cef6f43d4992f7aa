/**
 * How long the requests of each route last, from their arrival to the end of their
 * answer. The longest of the last minute is kept in two windows, so that a moment of
 * slow workers is forgotten. A request that ended without an answer counts with the
 * time that it had lasted until then.
 */

/** The durations of the requests of one instance; all times in ms. */
export interface RouteDurations {
  /** Adds a request that a worker had, and that has ended at `now`. */
  readonly add: (route: string, duration: number, now: number) => void
  /** The longest recent duration; undefined if too few requests have ended lately. */
  readonly longest: (route: string, now: number) => number | undefined
}

/** Length of a window, in ms. */
const windowTime = 30_000
/** Number of requests that have to have ended lately for the longest to say something of the next one. */
const minRequests = 20

interface Window {
  readonly startedAt: number
  count: number
  longest: number
}

const createWindow = (startedAt: number): Window => ({ startedAt, count: 0, longest: 0 })

/** Creates the durations of an instance that has had no requests. */
export const createRouteDurations = (): RouteDurations => {
  const windows = new Map<string, readonly Window[]>()

  /** The windows of a route that are not over for longer than one window. */
  const recentWindows = (route: string, now: number): readonly Window[] =>
    (windows.get(route) ?? []).filter(({ startedAt }) => now - startedAt < 2 * windowTime)

  const currentWindow = (route: string, now: number): Window => {
    const recent = recentWindows(route, now)
    const current = recent.at(-1)
    if (current !== undefined && now - current.startedAt < windowTime) return current
    const next = createWindow(now)
    windows.set(route, [...recent.slice(-1), next])
    return next
  }

  const add = (route: string, duration: number, now: number): void => {
    const window = currentWindow(route, now)
    window.count++
    window.longest = Math.max(window.longest, duration)
  }

  const longest = (route: string, now: number): number | undefined => {
    const recent = recentWindows(route, now)
    const count = recent.reduce((sum, window) => sum + window.count, 0)
    return count < minRequests ? undefined : Math.max(...recent.map(window => window.longest))
  }

  return { add, longest }
}
