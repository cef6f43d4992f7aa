/**
 * Graceful shutdown of an instance, without interrupting requests. The instance
 * announces the shutdown at once and accepts callers for as long as they may have
 * its address cached, up to half of the grace period. It then closes the listener
 * for callers (the front) and the connections without requests, and exits when its
 * requests have ended and their responses have been sent, or shortly before the
 * grace period ends. Requests that are still in progress then are refused, or broken
 * off if their response has begun.
 *
 * The grace period counts from the signal, which is handled only when the event loop
 * is free. After a delay the loop runs the overdue tick first, then the handler, so
 * the signal may have come at any time since the tick before the last one. What is
 * promised from now on counts from that earliest moment. Requests that workers have
 * are given the time that is left if the signal came last, as the process may live
 * that long.
 */
import type { ShutdownProgress } from '../forwarding/shutdownAdmission.js'
import type { GatewayEffect, GatewayLogEvent } from './gatewayTypes.js'

/** Time limits of the shutdown, in ms. */
export interface ShutdownBounds {
  /** Time for which callers may cache a directory response. */
  readonly addressLife: number
  /** Callers may cache the response for up to this many times `addressLife`; without a unit. */
  readonly addressLifeFactor: number
  /** Time from the signal to shut down until the process is killed from outside. */
  readonly grace: number
}

/** What the shutdown depends on. */
export interface ShutdownOptions {
  readonly id: string
  readonly bounds: () => ShutdownBounds
  /** Number of requests in progress. */
  readonly requests: () => number
  /** Refuses the requests that no worker has had. */
  readonly endWaiting: () => void
  /** Ends the requests in progress. */
  readonly endRequests: () => void
  /** Informs the other instances and releases the rollout lease. */
  readonly announce: () => void
  readonly emit: (effect: GatewayEffect) => void
  readonly log: (event: GatewayLogEvent) => void
}

/** The shutdown of one instance; `now` in ms. */
export interface Shutdown {
  /** Starts the shutdown, after a signal that the process received at `receivedAt` (ms), by default now; further calls have no effect. */
  readonly begin: (now: number, receivedAt?: number) => void
  readonly isShuttingDown: () => boolean
  /** How far the shutdown is; undefined until it has begun. */
  readonly progress: (now: number) => ShutdownProgress | undefined
  readonly tick: (now: number) => void
}

/** The shutdown once it has begun. */
interface Begun {
  /** The time limits with which it began; settings that change meanwhile do not change what is promised. */
  readonly limits: ShutdownBounds
  /** When the signal was handled, in ms. */
  readonly handledAt: number
  /** Earliest time at which it may have come, in ms. */
  readonly signalledAt: number
  waitingEnded: boolean
  requestsEnded: boolean
  frontClosed: boolean
  exiting: boolean
}

/** Time for the announcement of a shutdown to reach all instances, in ms. */
const announceDelay = 400
/** Time before the end of the grace period at which the process exits, in ms. */
const graceReserve = 500
/** Time before that exit at which the remaining requests are refused or broken off, so that their callers are told, in ms. */
const refusalTime = 100

/** Time from the signal to the end of the remaining requests, in ms. */
const requestTime = ({ grace }: ShutdownBounds): number => grace - graceReserve - refusalTime

/** Time from the signal to the end of the listener, in ms. */
const acceptTime = ({ addressLife, addressLifeFactor, grace }: ShutdownBounds): number =>
  Math.min(addressLife * addressLifeFactor + announceDelay, grace / 2)

/**
 * Creates the shutdown of an instance; it does nothing until `begin` is called.
 *
 * @param options - what it depends on
 */
export const createShutdown = ({ id, bounds, requests, endWaiting, endRequests, announce, emit, log }: ShutdownOptions): Shutdown => {
  let begun: Begun | undefined
  let lastTickAt: number | undefined
  let tickBeforeAt: number | undefined

  const begin = (now: number, receivedAt = now): void => {
    if (begun !== undefined) return
    const signalledAt = Math.min(receivedAt, tickBeforeAt ?? lastTickAt ?? now)
    const limits = bounds()
    begun = { limits, handledAt: receivedAt, signalledAt, waitingEnded: false, requestsEnded: false, frontClosed: false, exiting: false }
    log({ kind: 'leaving', requests: requests(), heldUp: Math.round(now - signalledAt), grace: limits.grace })
    announce()
    emit({ kind: 'gateway.closing' })
  }

  const closeFront = (): void => {
    log({ kind: 'frontClosed', requests: requests() })
    emit({ kind: 'gateway.closeFront' })
  }

  const endDue = (state: Begun, now: number): void => {
    if (!state.waitingEnded && now - state.signalledAt >= requestTime(state.limits)) {
      state.waitingEnded = true
      endWaiting()
    }
    if (!state.requestsEnded && now - state.handledAt >= requestTime(state.limits)) {
      state.requestsEnded = true
      endRequests()
    }
  }

  const closeFrontIfDue = (state: Begun, now: number): void => {
    if (state.frontClosed || now - state.signalledAt < acceptTime(state.limits)) return
    state.frontClosed = true
    closeFront()
  }

  const exitIfDue = (state: Begun, now: number): void => {
    if (state.exiting || !state.frontClosed) return
    const within = Math.max(0, state.handledAt + state.limits.grace - graceReserve - now)
    if (requests() > 0 && within > 0) return
    state.exiting = true
    // The others send heartbeats only to members, and without these the instance would take itself for the last one.
    emit({ kind: 'member.withdraw', id })
    emit({ kind: 'gateway.exit', within })
  }

  const progress = (now: number): ShutdownProgress | undefined => {
    if (begun === undefined) return undefined
    const { limits, signalledAt, frontClosed } = begun
    const since = now - signalledAt
    return { since, left: requestTime(limits) - since, accepting: !frontClosed && since < acceptTime(limits) }
  }

  const tick = (now: number): void => {
    tickBeforeAt = lastTickAt
    lastTickAt = now
    if (begun === undefined) return
    endDue(begun, now)
    closeFrontIfDue(begun, now)
    exitIfDue(begun, now)
  }

  return { begin, isShuttingDown: () => begun !== undefined, progress, tick }
}
