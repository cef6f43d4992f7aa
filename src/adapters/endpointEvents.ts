/** Follows the prefix cache events of workers by long polling. */
import { z } from 'zod'
import { listOf } from '../listSchema.js'
import type { Address } from '../endpoints/endpointsTypes.js'
import type { EndpointInput } from '../ports/endpointPort.js'
import { jsonRequest } from './httpExchange.js'
import type { HttpClient } from './httpExchange.js'

/** Polls any number of workers for their cache events. */
export interface EventFollower {
  /**
   * Starts to poll an endpoint, in place of any earlier polling of it. `from` is
   * the number of the first batch wanted; without it, polling starts with a full
   * listing.
   */
  readonly follow: (endpoint: string, address: Address, from?: number) => void
  /** Stops polling an endpoint. */
  readonly unfollow: (endpoint: string) => void
  /** Stops polling all endpoints. */
  readonly close: () => void
}

interface FollowedWorker {
  readonly address: Address
  incarnation?: string
  next?: number
  stopped: boolean
  timer?: NodeJS.Timeout
}

const longPollWait = 2_000 // ms; how long the worker may hold a poll open
const pollTimeout = 5_000 // ms
const pollDelay = 20 // ms; pause between polls
const retryDelay = 1_000 // ms after a failed poll

const eventsSchema = z.object({
  incarnation: z.string(),
  seq: z.number().int().nonnegative(),
  full: z.boolean(),
  events: listOf(z.object({ kind: z.enum(['stored', 'removed']), block: z.string().regex(/^[0-9a-f]{16}$/) }))
})

const eventsPath = ({ next, incarnation }: FollowedWorker): string => {
  if (next === undefined) return '/v1/cache/events'
  const path = `/v1/cache/events?from=${next}&wait_ms=${longPollWait}`
  return incarnation === undefined ? path : `${path}&incarnation=${encodeURIComponent(incarnation)}`
}

/**
 * Creates a follower. The `seq` of successive batches increases by one; a full
 * listing has the `seq` of the last batch that it includes. Batches that were
 * already received are ignored.
 *
 * @param client - performs the HTTP exchanges
 * @param emit - receives `endpoint.events`
 * @returns the follower
 */
export const createEventFollower = (client: HttpClient, emit: (input: EndpointInput) => void): EventFollower => {
  const followedWorkers = new Map<string, FollowedWorker>()

  const scheduleNextPoll = (endpoint: string, worker: FollowedWorker, delay: number): void => {
    worker.timer = setTimeout(() => { poll(endpoint, worker) }, delay)
  }

  const poll = async (endpoint: string, worker: FollowedWorker): Promise<void> => {
    const result = await client.json(worker.address, jsonRequest('GET', eventsPath(worker)), pollTimeout)
    if (worker.stopped) return
    const batch = eventsSchema.safeParse(result.isOk() && result.value.status === 200 ? result.value.body : undefined)
    if (!batch.success) return scheduleNextPoll(endpoint, worker, retryDelay)
    const { incarnation, seq, full, events } = batch.data
    const isNew = full || worker.next === undefined || seq >= worker.next
    worker.next = isNew ? seq + 1 : worker.next
    worker.incarnation = incarnation
    if (isNew) emit({ kind: 'endpoint.events', endpoint, incarnation, seq, full, events })
    if (!worker.stopped) scheduleNextPoll(endpoint, worker, pollDelay)
  }

  const unfollow = (endpoint: string): void => {
    const worker = followedWorkers.get(endpoint)
    if (worker === undefined) return
    worker.stopped = true
    clearTimeout(worker.timer)
    followedWorkers.delete(endpoint)
  }

  const follow = (endpoint: string, address: Address, from?: number): void => {
    unfollow(endpoint)
    const worker: FollowedWorker = { address, next: from, stopped: false }
    followedWorkers.set(endpoint, worker)
    poll(endpoint, worker)
  }

  const close = (): void => {
    for (const endpoint of [...followedWorkers.keys()]) unfollow(endpoint)
  }

  return { follow, unfollow, close }
}
