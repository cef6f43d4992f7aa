/** Follows the cache events of workers by long polling. */
import { z } from 'zod'
import type { Address } from '../endpoints/endpointsTypes.js'
import type { EndpointInput } from '../ports/endpointPort.js'
import { jsonRequest } from './httpExchange.js'
import type { HttpClient } from './httpExchange.js'

/** Follows any number of workers. */
export interface EventFollower {
  /** Replaces an earlier following of the same endpoint. */
  readonly follow: (endpoint: string, address: Address, from?: number) => void
  readonly unfollow: (endpoint: string) => void
  readonly close: () => void
}

interface Following {
  readonly address: Address
  incarnation?: string
  next?: number
  stopped: boolean
  timer?: NodeJS.Timeout
}

const pollWait = 2_000 // ms that the worker holds a poll open
const pollTimeout = 5_000 // ms
const pollPause = 20 // ms between polls
const retryPause = 1_000 // ms after a failed poll

const eventsSchema = z.object({
  incarnation: z.string(),
  seq: z.number().int().nonnegative(),
  full: z.boolean(),
  events: z.array(z.object({ kind: z.enum(['stored', 'removed']), block: z.string().regex(/^[0-9a-f]{16}$/) }))
})

const pathOf = ({ next, incarnation }: Following): string => {
  if (next === undefined) return '/v1/cache/events'
  const path = `/v1/cache/events?from=${next}&wait_ms=${pollWait}`
  return incarnation === undefined ? path : `${path}&incarnation=${encodeURIComponent(incarnation)}`
}

/**
 * Creates a follower. Batches are numbered by `seq` in steps of one; a full
 * listing has the number of the last batch that it covers.
 *
 * @param client - for the exchanges
 * @param emit - gets `endpoint.events`
 * @returns the follower
 */
export const createEventFollower = (client: HttpClient, emit: (input: EndpointInput) => void): EventFollower => {
  const followings = new Map<string, Following>()

  const again = (endpoint: string, following: Following, pause: number): void => {
    following.timer = setTimeout(() => { poll(endpoint, following) }, pause)
  }

  const poll = async (endpoint: string, following: Following): Promise<void> => {
    const result = await client.json(following.address, jsonRequest('GET', pathOf(following)), pollTimeout)
    if (following.stopped) return
    const batch = eventsSchema.safeParse(result.isOk() && result.value.status === 200 ? result.value.body : undefined)
    if (!batch.success) return again(endpoint, following, retryPause)
    const { incarnation, seq, full, events } = batch.data
    const isNew = full || following.next === undefined || seq >= following.next
    following.next = isNew ? seq + 1 : following.next
    following.incarnation = incarnation
    if (isNew) emit({ kind: 'endpoint.events', endpoint, incarnation, seq, full, events })
    if (!following.stopped) again(endpoint, following, pollPause)
  }

  const unfollow = (endpoint: string): void => {
    const following = followings.get(endpoint)
    if (following === undefined) return
    following.stopped = true
    clearTimeout(following.timer)
    followings.delete(endpoint)
  }

  const follow = (endpoint: string, address: Address, from?: number): void => {
    unfollow(endpoint)
    const following: Following = { address, next: from, stopped: false }
    followings.set(endpoint, following)
    poll(endpoint, following)
  }

  const close = (): void => {
    for (const endpoint of [...followings.keys()]) unfollow(endpoint)
  }

  return { follow, unfollow, close }
}
