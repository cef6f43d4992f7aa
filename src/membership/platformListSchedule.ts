/** Schedule of fetching the platform's list and of announcing this instance to it. */
import type { Member, MembershipEffect } from '../ports/membershipPort.js'
import type { Random } from '../random.js'

/** Options of the schedule. */
export interface PlatformListScheduleOptions {
  /** Source of randomness for the jitter. */
  readonly random: Random
  /** Time of the first fetch and the first announcement, in ms. */
  readonly startedAt: number
  /** Passes an effect to the membership. */
  readonly emit: (effect: MembershipEffect) => void
}

/** The schedule. Times are in ms. */
export interface PlatformListSchedule {
  /** Announces and fetches what is due. */
  readonly tick: (self: Member, now: number) => void
  /** Announces this instance immediately. */
  readonly announce: (self: Member, now: number) => void
  /** Called when the list has arrived; announcing stops once the list shows this instance in its present state. */
  readonly listed: (rows: readonly Member[], self: Member, now: number) => void
  /** Called when a fetch or an announcement failed; the next fetch backs off exponentially. */
  readonly failed: (now: number) => void
}

/** Minimum time between fetches, in ms. */
const minFetchInterval = 2_000
/** Time between fetches per row of the list, in ms; it limits the bytes per second. */
const fetchIntervalPerRow = 75
/** Time between announcements while the list does not show the announced state, in ms. */
const announceInterval = 5_000
/** Maximum time between retries while the platform fails, in ms. */
const maxRetryInterval = 30_000

/**
 * Creates the schedule.
 *
 * @param options - source of randomness, start time and receiver of the effects
 * @returns the schedule; the first fetch and announcement are due at the start time
 */
export const createPlatformListSchedule = ({ random, startedAt, emit }: PlatformListScheduleOptions): PlatformListSchedule => {
  let nextFetch = startedAt
  let nextAnnounce = startedAt
  let failures = 0
  const jittered = (interval: number): number => interval * (0.8 + 0.4 * random.unit())

  const announce = (self: Member, now: number): void => {
    nextAnnounce = now + jittered(Math.min(maxRetryInterval, announceInterval * 2 ** failures))
    emit({ kind: 'membership.announce', member: self })
  }

  const tick = (self: Member, now: number): void => {
    if (now >= nextAnnounce) announce(self, now)
    if (now < nextFetch) return
    nextFetch = now + jittered(maxRetryInterval)
    emit({ kind: 'membership.fetch' })
  }

  const listed = (rows: readonly Member[], self: Member, now: number): void => {
    failures = 0
    nextFetch = now + jittered(Math.max(minFetchInterval, rows.length * fetchIntervalPerRow))
    const own = rows.find(({ id }) => id === self.id)
    const shown = own?.incarnation === self.incarnation && own.state === self.state
    nextAnnounce = shown ? Number.POSITIVE_INFINITY : Math.min(nextAnnounce, now + jittered(announceInterval))
  }

  const failed = (now: number): void => {
    failures = Math.min(failures + 1, 5)
    nextFetch = now + jittered(Math.min(maxRetryInterval, minFetchInterval * 2 ** failures))
  }

  return { tick, announce, listed, failed }
}
