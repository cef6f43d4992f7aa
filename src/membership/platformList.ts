/** When the platform's list is fetched, and when this instance announces itself on it. */
import type { Member, MembershipEffect } from '../ports/membershipPort.js'
import type { Random } from '../random.js'

/** What the schedule needs. */
export interface PlatformListOptions {
  readonly random: Random
  readonly startedAt: number
  readonly emit: (effect: MembershipEffect) => void
}

/** The schedule. */
export interface PlatformList {
  readonly tick: (self: Member, now: number) => void
  readonly announce: (self: Member, now: number) => void
  readonly listed: (rows: readonly Member[], self: Member, now: number) => void
  readonly failed: (now: number) => void
}

/** Shortest time between fetches, in ms. */
const shortestFetch = 2_000
/** Time between fetches per row of the list, in ms; it bounds the bytes per second. */
const fetchPerRow = 75
/** Time between announcements while the list does not show them, in ms. */
const announceInterval = 5_000
/** Longest time between tries while the platform fails, in ms. */
const longestRetry = 30_000

/**
 * Creates the schedule.
 *
 * @param options - chance, the start, and where effects go
 */
export const createPlatformList = ({ random, startedAt, emit }: PlatformListOptions): PlatformList => {
  let nextFetch = startedAt
  let nextAnnounce = startedAt
  let failures = 0
  const jittered = (interval: number): number => interval * (0.8 + 0.4 * random.unit())

  const announce = (self: Member, now: number): void => {
    nextAnnounce = now + jittered(Math.min(longestRetry, announceInterval * 2 ** failures))
    emit({ kind: 'membership.announce', member: self })
  }

  const tick = (self: Member, now: number): void => {
    if (now >= nextAnnounce) announce(self, now)
    if (now < nextFetch) return
    nextFetch = now + jittered(longestRetry)
    emit({ kind: 'membership.fetch' })
  }

  const listed = (rows: readonly Member[], self: Member, now: number): void => {
    failures = 0
    nextFetch = now + jittered(Math.max(shortestFetch, rows.length * fetchPerRow))
    const own = rows.find(({ id }) => id === self.id)
    const shown = own?.incarnation === self.incarnation && own.state === self.state
    nextAnnounce = shown ? Number.POSITIVE_INFINITY : Math.min(nextAnnounce, now + jittered(announceInterval))
  }

  const failed = (now: number): void => {
    failures = Math.min(failures + 1, 5)
    nextFetch = now + jittered(Math.min(longestRetry, shortestFetch * 2 ** failures))
  }

  return { tick, announce, listed, failed }
}
