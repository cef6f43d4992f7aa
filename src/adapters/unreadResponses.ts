/**
 * Measures what callers have not read of their responses and gives up some when
 * all of it together exceeds the bound. Between two measurements what is written
 * is added to the last sum; only when that exceeds the bound are all responses
 * measured again.
 */
import type { ServerResponse } from 'node:http'
import { decideCuts, type ReaderCut, type UnreadResponse } from '../slowReaders/slowReaders.js'

/** What the measurement depends on. */
export interface UnreadResponsesOptions {
  /** Largest number of bytes that may be unread of all responses. */
  readonly bound: () => number
  /** Present time, in ms. */
  readonly now: () => number
  /** Gives a response up. */
  readonly cut: (cut: ReaderCut) => void
}

/** The responses that have begun at a server for callers. */
export interface UnreadResponses {
  /** Adds a response whose head is about to be sent. */
  readonly begin: (request: number, response: ServerResponse, workspace: string) => void
  /**
   * Makes room for bytes of a response.
   *
   * @returns false if the response itself has to be given up; `cut` has been called for it
   */
  readonly makeRoom: (request: number, bytes: number) => boolean
  /** Forgets a response that has ended. */
  readonly end: (request: number) => void
  /** Number of unread bytes of all responses, measured now. */
  readonly measure: () => number
}

interface Tracked {
  readonly response: ServerResponse
  readonly workspace: string
  held: number
  /** Number of bytes of its connection that had been sent at the last measurement. */
  taken: number
  progressAt: number
}

/** Creates the measurement of a server without responses. */
export const createUnreadResponses = ({ bound, now, cut }: UnreadResponsesOptions): UnreadResponses => {
  const tracked = new Map<number, Tracked>()
  let estimate = 0

  const update = (entry: Tracked, time: number): void => {
    const { response } = entry
    const held = response.writableFinished ? 0 : response.writableLength
    const taken = (response.socket?.bytesWritten ?? 0) - (response.socket?.writableLength ?? 0)
    if (taken > entry.taken || entry.held === 0) entry.progressAt = time
    entry.taken = taken
    entry.held = held
  }

  const measure = (): number => {
    const time = now()
    estimate = 0
    for (const entry of tracked.values()) {
      update(entry, time)
      estimate += entry.held
    }
    return estimate
  }

  const makeRoom = (request: number, bytes: number): boolean => {
    if (!tracked.has(request)) return false
    estimate += bytes
    if (estimate <= bound()) return true
    measure()
    estimate += bytes
    if (estimate <= bound()) return true
    const responses = [...tracked].map(([id, { response, workspace, held, progressAt }]): UnreadResponse =>
      ({ request: id, workspace, held: id === request ? held + bytes : held, progressAt, begun: response.headersSent }))
    const cuts = decideCuts(responses, bound(), now())
    for (const each of cuts) {
      estimate -= each.held
      tracked.delete(each.request)
      cut(each)
    }
    return !cuts.some(each => each.request === request)
  }

  return {
    begin: (request, response, workspace) => {
      const entry: Tracked = { response, workspace, held: 0, taken: 0, progressAt: now() }
      update(entry, now())
      tracked.set(request, entry)
    },
    makeRoom,
    end: request => { tracked.delete(request) },
    measure
  }
}
