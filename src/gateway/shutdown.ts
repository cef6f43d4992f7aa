/**
 * Graceful shutdown of an instance, without interrupting requests. The instance
 * announces the shutdown at once and accepts callers for as long as they may have
 * its address cached, up to half of the grace period. It then closes the listener
 * for callers (the front), and exits when its requests have ended and their
 * responses have been sent, or shortly before the grace period ends. Requests that
 * are still in progress then are refused, or broken off if their response has begun.
 */
import type { Drain } from '../forwarding/forwardingContext.js'
import type { GatewayEffect, GatewayLogEvent } from './gatewayTypes.js'

/** Time limits of the shutdown, in ms. */
export interface ShutdownBounds {
  /** Time for which callers may cache a directory response. */
  readonly addressLife: number
  /** Callers may cache the response for up to this many times `addressLife`; without a unit. */
  readonly addressLifeFactor: number
  /** Time from the request to shut down until the process is killed from outside. */
  readonly grace: number
}

/** What the shutdown depends on. */
export interface ShutdownOptions {
  readonly id: string
  readonly bounds: () => ShutdownBounds
  /** Number of requests in progress. */
  readonly requests: () => number
  /** Ends the requests in progress, and refuses those that arrive from now on. */
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
  /** The drain; undefined until the shutdown has begun. */
  readonly drain: (now: number) => Drain | undefined
  readonly tick: (now: number) => void
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
export const createShutdown = ({ id, bounds, requests, endRequests, announce, emit, log }: ShutdownOptions): Shutdown => {
  let startedAt: number | undefined
  let lastTickAt: number | undefined
  let frontClosed = false
  let requestsEnded = false
  let exiting = false

  const begin = (now: number): void => {
    if (startedAt !== undefined) return
    startedAt = now
    log({ kind: 'leaving', requests: requests(), heldUp: Math.round(now - (lastTickAt ?? now)), grace: bounds().grace })
    announce()
    emit({ kind: 'gateway.closing' })
  }

  const closeFront = (): void => {
    frontClosed = true
    log({ kind: 'frontClosed', requests: requests() })
    emit({ kind: 'member.withdraw', id })
    emit({ kind: 'gateway.closeFront' })
  }

  const drain = (now: number): Drain | undefined => {
    if (startedAt === undefined) return undefined
    return { since: now - startedAt, left: startedAt + bounds().grace - graceReserve - refusalTime - now }
  }

  const tick = (now: number): void => {
    lastTickAt = now
    if (startedAt === undefined) return
    const { addressLife, addressLifeFactor, grace } = bounds()
    const elapsed = now - startedAt
    if (!requestsEnded && elapsed >= grace - graceReserve - refusalTime) {
      requestsEnded = true
      endRequests()
    }
    if (exiting) return
    const addressesExpired = elapsed >= Math.min(addressLife * addressLifeFactor + announceDelay, grace / 2)
    if (addressesExpired && !frontClosed) closeFront()
    if (!frontClosed) return
    const within = Math.max(0, grace - graceReserve - elapsed)
    if (requests() > 0 && within > 0) return
    exiting = true
    emit({ kind: 'gateway.exit', within })
  }

  return { begin, isShuttingDown: () => startedAt !== undefined, drain, tick }
}
