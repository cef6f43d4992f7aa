/**
 * How an instance leaves without cutting a request: it says so at once, takes
 * callers for as long as they may keep its address, then closes its front, and
 * ends when its requests have ended, or shortly before it would be ended.
 */
import type { GatewayEffect, GatewayLogEvent } from './gatewayTypes.js'

/** Times that bound the leaving, in ms. */
export interface ShutdownBounds {
  /** Time for which callers may keep the answer of the directory. */
  readonly addressLife: number
  /** Callers keep it up to this many times as long. */
  readonly addressLifeFactor: number
  /** Time from being told to leave until the process is ended from outside. */
  readonly grace: number
}

/** What the leaving needs. */
export interface ShutdownOptions {
  readonly id: string
  readonly bounds: () => ShutdownBounds
  /** Requests in progress. */
  readonly requests: () => number
  /** Tells the others and gives up duties. */
  readonly announce: () => void
  readonly emit: (effect: GatewayEffect) => void
  readonly note: (note: GatewayLogEvent) => void
}

/** The leaving of one instance; `now` in ms. */
export interface Shutdown {
  readonly begin: (now: number) => void
  readonly isShuttingDown: () => boolean
  readonly tick: (now: number) => void
}

/** Time for the fleet to hear that an instance leaves, in ms. */
const announceLag = 400
/** Time before the end of the grace at which the last requests are given up, in ms. */
const graceReserve = 500

/**
 * Creates the leaving of an instance that stays.
 *
 * @param options - what it needs
 */
export const createShutdown = ({ id, bounds, requests, announce, emit, note }: ShutdownOptions): Shutdown => {
  let begunAt: number | undefined
  let frontClosed = false
  let exiting = false

  const begin = (now: number): void => {
    if (begunAt !== undefined) return
    begunAt = now
    note({ kind: 'leaving', requests: requests() })
    announce()
    emit({ kind: 'gateway.closing' })
  }

  const closeFront = (): void => {
    frontClosed = true
    note({ kind: 'frontClosed', requests: requests() })
    emit({ kind: 'member.withdraw', id })
    emit({ kind: 'gateway.closeFront' })
  }

  const tick = (now: number): void => {
    if (begunAt === undefined || exiting) return
    const { addressLife, addressLifeFactor, grace } = bounds()
    const passed = now - begunAt
    const lingered = passed >= Math.min(addressLife * addressLifeFactor + announceLag, grace / 2)
    if (lingered && !frontClosed) closeFront()
    if (!frontClosed) return
    if (requests() > 0 && passed < grace - graceReserve) return
    exiting = true
    emit({ kind: 'gateway.exit' })
  }

  return { begin, isShuttingDown: () => begunAt !== undefined, tick }
}
