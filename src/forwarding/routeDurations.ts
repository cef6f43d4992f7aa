/**
 * How long the requests of each route last, from their arrival to the end of their
 * answer. The longest of the last minute is kept in two windows, so that a moment of
 * slow workers is forgotten. A request that ended in an error or without a whole answer has
 * lasted at least until then, but says nothing of how short requests may be.
 */

/** The durations of the requests of one instance; all times in ms. */
export interface RouteDurations {
  /** Adds a request that a worker had, and that has ended at `now`, with the answer that it asked for (`served`) or without. */
  readonly add: (route: string, duration: number, served: boolean, now: number) => void
  /** The longest recent duration; undefined if too few requests have been answered lately. */
  readonly longest: (route: string, now: number) => number | undefined
}

/** Length of a window, in ms. */
const windowTime = 30_000
/** Number of requests that have to have been answered lately for the longest to say something of the next one. */
const minRequests = 20

interface Window {
  readonly startedAt: number
  /** Number of requests that were served. */
  answers: number
  longest: number
}

const createWindow = (startedAt: number): Window => ({ startedAt, answers: 0, longest: 0 })

/** Creates the durations of an instance that has had no requests. */
export const createRouteDurations = (): RouteDurations => {
  const windows = new Map<string, readonly Window[]>()

  /** The windows of a route that are not over for longer than one window. */
  const recentWindows = (route: string, now: number): readonly Window[] =>
    (windows.get(route) ?? []).filter(({ startedAt }) => now - startedAt < 2 * windowTime)

  /** Configurations may bring new names of routes without end. */
  const forgetUnused = (now: number): void => {
    for (const route of windows.keys()) if (recentWindows(route, now).length === 0) windows.delete(route)
  }

  const currentWindow = (route: string, now: number): Window => {
    const recent = recentWindows(route, now)
    const current = recent.at(-1)
    if (current !== undefined && now - current.startedAt < windowTime) return current
    const next = createWindow(now)
    if (!windows.has(route)) forgetUnused(now)
    windows.set(route, [...recent.slice(-1), next])
    return next
  }

  const add: RouteDurations['add'] = (route, duration, served, now) => {
    const window = currentWindow(route, now)
    if (served) window.answers++
    window.longest = Math.max(window.longest, duration)
  }

  const longest = (route: string, now: number): number | undefined => {
    const recent = recentWindows(route, now)
    const answers = recent.reduce((sum, window) => sum + window.answers, 0)
    return answers < minRequests ? undefined : Math.max(...recent.map(window => window.longest))
  }

  return { add, longest }
}
