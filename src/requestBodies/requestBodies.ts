/**
 * Which request bodies an instance gives up. Bodies of all requests that are being
 * read or are in progress count against one bound. A quarter of it is kept for small
 * ones, so that large bodies, however many, never displace the usual requests; small
 * ones may take all that large ones leave. When a class of size exceeds its part, bodies
 * that are still being read give way: none of them has reached a worker, so their
 * callers can be told that they have not run.
 */
import { assertNever } from '../errors.js'
import { heaviestFirst, stalledTime, type HeldBytes } from '../heldBytes/heaviestFirst.js'

/** The body of a request. */
export interface RequestBody extends HeldBytes {
  /** Whether it has been read whole. */
  readonly whole: boolean
}

/** Why a body is given up: all of them together exceed the memory for them, or it does not go on. */
export type BodyRefusalReason = 'noMemory' | 'stalled'

/** A request whose body is given up. */
export interface BodyRefusal {
  readonly reason: BodyRefusalReason
  readonly request: number
  readonly workspace: string
  readonly held: number
  /** Time without progress, in ms. */
  readonly stalled: number
}

/** What the bodies of an instance may take. */
export interface BodyLimits {
  /** Bound for all bodies together, in bytes. */
  readonly bound: number
  /** Largest single body, in bytes; there is always room for one. */
  readonly bodyBytes: number
}

/** Classes of bodies by size. */
export type BodyClass = 'small' | 'large'

/** Largest size of a small body, in bytes. */
const maxSmallBytes = 131_072
/** Part of the bound that is kept for small bodies. */
const smallShare = 0.25

/** Class of a body of so many bytes. */
export const bodyClassOf = (bytes: number): BodyClass => bytes <= maxSmallBytes ? 'small' : 'large'

/**
 * Bound for the bodies of a class, in bytes.
 *
 * @param bodyClass - the class
 * @param limits - what all bodies may take
 * @param largeBytes - number of bytes of the large bodies
 */
export const classBound = (bodyClass: BodyClass, { bound, bodyBytes }: BodyLimits, largeBytes: number): number => {
  const smallPart = bound * smallShare
  switch (bodyClass) {
    case 'small': return Math.max(smallPart, bound - largeBytes)
    case 'large': return Math.max(bound - smallPart, bodyBytes)
    default: return assertNever(bodyClass)
  }
}

const refusalOf = (reason: BodyRefusalReason, body: RequestBody, now: number): BodyRefusal =>
  ({ reason, request: body.request, workspace: body.workspace, held: body.held, stalled: stalledTime(body, now) })

/**
 * Decides which bodies of a class are given up for want of memory.
 *
 * @param bodies - the bodies of the class
 * @param bound - bound for them, in bytes
 * @param now - present time, in ms
 * @returns the refusals; none while no more than the bound is held
 */
export const refuseForMemory = (bodies: readonly RequestBody[], bound: number, now: number): readonly BodyRefusal[] => {
  const wholeBytes = bodies.reduce((sum, { held, whole }) => whole ? sum + held : sum, 0)
  const arriving = bodies.filter(({ whole }) => !whole)
  return heaviestFirst(arriving, Math.max(0, bound - wholeBytes), now).map(body => refusalOf('noMemory', body, now))
}

/**
 * Decides which bodies are given up because they do not go on.
 *
 * @param bodies - all bodies
 * @param limit - longest time without a byte, in ms; 0 for none
 * @param now - present time, in ms
 */
export const refuseStalled = (bodies: readonly RequestBody[], limit: number, now: number): readonly BodyRefusal[] =>
  limit === 0 ? [] : bodies.filter(body => !body.whole && now - body.progressAt >= limit).map(body => refusalOf('stalled', body, now))
