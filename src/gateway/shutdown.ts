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
 * is free: it may have come at any time since the last tick. What is promised from
 * now on counts from that earliest moment. Requests that workers have are given the
 * time that is left if the signal came last, as the process may live that long.
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
  /** Starts the shutdown; further calls have no effect. */
  readonly begin: (now: number) => void
  readonly isShuttingDown: () => boolean
  /** How far the shutdown is; undefined until it has begun. */
  readonly progress: (now: number) => ShutdownProgress | undefined
  readonly tick: (now: number) => void
}

/** The shutdown once it has begun. */
interface Begun {
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

/**
 * Creates the shutdown of an instance; it does nothing until `begin` is called.
 *
 * @param options - what it depends on
 */
export const createShutdown = ({ id, bounds, requests, endWaiting, endRequests, announce, emit, log }: ShutdownOptions): Shutdown => {
  let begun: Begun | undefined
  let lastTickAt: number | undefined

  /** Time from the signal to the end of the remaining requests. */
  const requestTime = (): number => bounds().grace - graceReserve - refusalTime

  /** Time from the signal to the end of the listener. */
  const acceptTime = (): number => {
    const { addressLife, addressLifeFactor, grace } = bounds()
    return Math.min(addressLife * addressLifeFactor + announceDelay, grace / 2)
  }

  const begin = (now: number): void => {
    if (begun !== undefined) return
    const signalledAt = Math.min(now, lastTickAt ?? now)
    begun = { handledAt: now, signalledAt, waitingEnded: false, requestsEnded: false, frontClosed: false, exiting: false }
    log({ kind: 'leaving', requests: requests(), heldUp: Math.round(now - signalledAt), grace: bounds().grace })
    announce()
    emit({ kind: 'gateway.closing' })
  }

  const closeFront = (): void => {
    log({ kind: 'frontClosed', requests: requests() })
    emit({ kind: 'gateway.closeFront' })
  }

  const endDue = (state: Begun, now: number): void => {
    if (!state.waitingEnded && now - state.signalledAt >= requestTime()) {
      state.waitingEnded = true
      endWaiting()
    }
    if (!state.requestsEnded && now - state.handledAt >= requestTime()) {
      state.requestsEnded = true
      endRequests()
    }
  }

  const closeFrontIfDue = (state: Begun, now: number): void => {
    if (state.frontClosed || now - state.signalledAt < acceptTime()) return
    state.frontClosed = true
    closeFront()
  }

  const exitIfDue = (state: Begun, now: number): void => {
    if (state.exiting || !state.frontClosed) return
    const within = Math.max(0, state.handledAt + bounds().grace - graceReserve - now)
    if (requests() > 0 && within > 0) return
    state.exiting = true
    // The others send heartbeats only to members, and without these the instance would take itself for the last one.
    emit({ kind: 'member.withdraw', id })
    emit({ kind: 'gateway.exit', within })
  }

  const progress = (now: number): ShutdownProgress | undefined => {
    if (begun === undefined) return undefined
    const since = now - begun.signalledAt
    return { since, left: requestTime() - since, accepting: !begun.frontClosed && since < acceptTime() }
  }

  const tick = (now: number): void => {
    lastTickAt = now
    if (begun === undefined) return
    endDue(begun, now)
    closeFrontIfDue(begun, now)
    exitIfDue(begun, now)
  }

  return { begin, isShuttingDown: () => begun !== undefined, progress, tick }
}
