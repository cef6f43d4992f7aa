/**
 * Who is cut when the callers of an instance together leave too much unread. All
 * of them share one bound.
 */
import { heaviestFirst, stalledTime, type HeldBytes } from '../heldBytes/heaviestFirst.js'

/** A response of which bytes are unread. */
export interface UnreadResponse extends HeldBytes {
  /** Whether a part of it has been sent; otherwise its caller can still get an error response. */
  readonly begun: boolean
}

/** A response that has to be given up, and how its caller is told. */
export interface ReaderCut {
  readonly request: number
  readonly workspace: string
  readonly held: number
  /** Time without progress, in ms. */
  readonly stalled: number
  readonly told: 'brokenOff' | 'error'
}

/**
 * Decides which responses are given up.
 *
 * @param responses - all responses with unread bytes
 * @param bound - largest number of bytes that may be held for all of them
 * @param now - present time, in ms
 * @returns the cuts; none while no more than the bound is held
 */
export const decideCuts = (responses: readonly UnreadResponse[], bound: number, now: number): readonly ReaderCut[] =>
  heaviestFirst(responses, bound, now).map(response => {
    const { request, workspace, held, begun } = response
    return { request, workspace, held, stalled: stalledTime(response, now), told: begun ? 'brokenOff' : 'error' }
  })
