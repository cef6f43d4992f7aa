/** State of the requests that an instance forwards, and their log events. Times are in ms of the steady clock. */
import type { Route, Workspace } from '../catalog/catalogTypes.js'
import type { AnswerHead, Call, ConnectionEnd } from '../ports/forwardPort.js'
import type { InFlightRequest } from '../placement/workerLoad.js'
import type { Credit } from '../quotas/creditHolding.js'
import type { StreamOrigin } from '../streamOrigins/streamOriginsTypes.js'
import type { ByteBuffer } from '../byteBuffer.js'
import type { EventSplitter } from './eventSplitter.js'
import type { StreamProgress } from './streamProgress.js'

/** One attempt to run a request on a worker. */
export interface Attempt {
  readonly id: number
  readonly worker: string
  /** Start time of the worker's lifetime that was addressed. */
  readonly workerStartedAt: number
  /** Version of the worker's software; undefined if it reports none. */
  readonly softwareVersion: string | undefined
  /** Whether the request had not been sent to the worker before. */
  readonly isFirstThere: boolean
  readonly flight: InFlightRequest
  readonly sentAt: number
  /** Version of the weights that the worker was asked to run on; undefined if any. */
  readonly version: number | undefined
  /** Cache scope within which prompt parts are shared; undefined for plain requests. */
  readonly scope: string | undefined
  /** Whether the worker was asked to send prompt parts to the part store. */
  readonly storesParts: boolean
  /** Head of the response, once received. */
  head: AnswerHead | undefined
  /** When the head was received. */
  headAt: number | undefined
  /** Received body of a response that is not streamed. */
  readonly body: ByteBuffer
  readonly splitter: EventSplitter
  /** When the worker last sent anything, at first the time of the send. */
  lastDataAt: number
  /** Complete events of its stream. */
  readonly progress: StreamProgress
  /** Whether the worker has been suspected because this attempt was late. */
  doubted: boolean
  /** Whether the attempt has been counted as a failure because it was silent or stalled; until it makes progress again. */
  silent: boolean
}

/** A request at another instance. */
export interface Relay {
  readonly id: number
  /** Id of the other instance. */
  readonly peer: string
  /** Head of its response, once received. */
  head: AnswerHead | undefined
  /** Received body of a response that is not streamed. */
  readonly body: ByteBuffer
  readonly splitter: EventSplitter
  /** Whether it has brought an event. */
  hasEvents: boolean
}

/** An attempt that ended without a usable response. */
export interface FailedAttempt {
  readonly worker: string
  readonly reason: AttemptEnd
}

/** One request of a caller, until its response is complete. */
export interface Exchange {
  readonly request: number
  readonly call: Call
  readonly route: Route
  readonly workspace: Workspace | undefined
  /** Service that gets the request; a request that resumes a stream stays with the one that began it. */
  service: string
  readonly arrivedAt: number
  /** When the caller has to have a final response. */
  readonly deadline: number
  /** Ids of the workers that received the request; an id stands for one lifetime of a worker. */
  readonly sentTo: Set<string>
  /** The workers that are not tried again, as they rejected the request, failed or could not be reached, and until when they are not; infinite for good. */
  readonly excluded: Map<string, number>
  /** Credit of its workspace's quota; undefined if it has or needs none. */
  credit: Credit | undefined
  /** Number of retries after an attempt that reached a worker, at least in part. */
  retryCount: number
  /** Number of workers that may have crashed of it. */
  crashCount: number
  /** Whether a worker may have run the request. */
  mayHaveRun: boolean
  /** Whether an attempt ended without the answer of its worker. */
  answerLost?: boolean
  /** The attempt in progress; undefined while the request waits for a worker. */
  attempt: Attempt | undefined
  /** The attempt at another worker while the current one is silent. */
  second: Attempt | undefined
  /** The request at another instance, since this one is cut off from the workers of its service. */
  relay: Relay | undefined
  /** Number of instances that have got the request. */
  relayCount: number
  /** When it may be passed on again. */
  relayAfter: number
  /** Number of second attempts that were sent. */
  secondCount: number
  /** Earliest time of another second attempt. */
  nextSecondAt: number
  /** The last attempt that ended without a usable response; undefined if none did. */
  lastFailure: FailedAttempt | undefined
  /** Why the request is to be sent once the other instance that was asked has answered; undefined if none was. */
  awaitsPeerFor: SendCause | undefined
  /** Where its stream began, also if that was in an earlier attempt of its caller; undefined before the first event. */
  origin: StreamOrigin | undefined
  /** Whether an event of the stream has arrived in this attempt of the caller. */
  streamBegun: boolean
  /** Whether the head of a streamed response has been sent to the caller. */
  headSent: boolean
  /** Id of the last event that was sent to the caller. */
  lastEventId: string | undefined
  /** Number of events that were sent to the caller. */
  events: number
  /** When the first event was sent to the caller. */
  firstEventAt: number | undefined
  /** When the last event was sent to the caller. */
  lastEventAt: number | undefined
}

/** A log event of forwarding; each is one log line. */
export type ForwardLogEvent =
  | { readonly kind: 'sent', readonly id: string, readonly worker: string, readonly cause: SendCause, readonly expected: number, readonly flights: number, readonly unread: number, readonly fetched: number, readonly version?: number, /** Version of the worker's software. */ readonly software?: string, /** Priority sent to the worker, if it was lowered. */ readonly loweredPriority?: number, /** Id of the attempt whose stream the caller resumes. */ readonly resumes?: string, /** Ids of the first shared parts of the prompt. */ readonly parts?: readonly string[], /** Cache scope of the prompt at the worker. */ readonly scope?: string, /** The instance that chose the worker, if a coordinator did. */ readonly coordinator?: string, readonly configuration: number, readonly proofAge: number }
  | { readonly kind: 'attemptFailed', readonly id: string, readonly worker: string, readonly reason: AttemptEnd, readonly after: number, /** Time since the attempt's first event, if it had begun. */ readonly begun?: number, /** Start time of the worker's lifetime. */ readonly startedAt: number, /** Time since the worker last sent anything for it. */ readonly quiet: number, /** Whether this instance ended the attempt although its connection was open. */ readonly givenUp: boolean, /** Number of requests that the worker stated to have when it rejected this one for want of room. */ readonly stated?: number, /** Fingerprint of the request, the same for its repeats, if the connection broke. */ readonly request?: string }
  | { readonly kind: 'refused', readonly id: string, readonly reason: string, readonly outcome: string, readonly after: number, readonly configuration: number, readonly proofAge: number }
  | { readonly kind: 'answered', readonly id: string, readonly worker: string, readonly status: number, readonly after: number, readonly events: number, /** Time to the first event of a stream. */ readonly first?: number }
  | { readonly kind: 'brokenOff', readonly id: string, readonly reason: string, readonly after: number, readonly events: number, /** Why its last attempt ended, and at which worker. */ readonly lastAttempt?: AttemptEnd, readonly worker?: string }
  /** The connection of an attempt that is not needed any more was closed `after` ms, as its caller has left, its request has been refused, or another attempt has brought the answer; the worker may run on. */
  | { readonly kind: 'attemptCancelled', readonly id: string, readonly worker: string, readonly after: number, /** Time since the attempt's first event, if it had begun. */ readonly begun?: number }
  | { readonly kind: 'callerLeft', readonly id: string, readonly reason: ConnectionEnd, readonly after: number, readonly events: number }
  /** The request was read up to `since` ms after the signal to shut down, and `taken` or refused; its deadline is in `needed` ms, the remaining requests are ended in `left` ms. */
  | { readonly kind: 'arrivedInShutdown', readonly id: string, readonly taken: boolean, readonly since: number, readonly needed: number, readonly left: number, /** Age of its connection, and the number of requests that this carried before. */ readonly connectionAge?: number, readonly earlier?: number }
  /** The worker stated in the response to `id` that it is leaving. */
  | { readonly kind: 'workerLeaving', readonly id: string, readonly worker: string }
  /** The worker asked in the response to `id` for no further requests for `time` ms. */
  | { readonly kind: 'workerPaused', readonly id: string, readonly worker: string, readonly time: number }
  /** The worker stated in the response to `id` that it takes `limit` requests a second from all instances together. */
  | { readonly kind: 'workerLimited', readonly id: string, readonly worker: string, readonly limit: number }
  /** The response to `id` no longer states the worker's limit. */
  | { readonly kind: 'workerUnlimited', readonly id: string, readonly worker: string }
  /** The request was passed on to another instance, as this one is cut off from the service's workers. */
  | { readonly kind: 'relayed', readonly id: string, readonly peer: string, readonly service: string }
  /** The other instance was not reached, or did not answer whole after the request was `sent`. */
  | { readonly kind: 'relayFailed', readonly id: string, readonly peer: string, readonly sent: boolean }
  /** The service has become short of room for this instance's requests, or no longer is; `share` of them are. */
  | { readonly kind: 'shortageChanged', readonly service: string, readonly short: boolean, readonly share: number }
  | { readonly kind: 'workerDoubted', readonly worker: string, readonly reason: SuspectReason }
  | { readonly kind: 'workerProbed', readonly worker: string, readonly reachable: boolean, readonly doubted: number }

/** Why a worker is suspected to be unreachable. */
export type SuspectReason = 'unreachable' | 'silent' | 'cut' | 'otherWorker' | 'peer' | 'reachCheck'

/** Why a request is sent to a worker. */
export type SendCause = 'first' | 'turnedAway' | 'unsent' | 'otherVersion' | 'failed' | 'resume' | 'silent' | 'waited'

/** Why an attempt ended without a usable response. */
export type AttemptEnd = 'unsent' | 'cut' | 'garbled' | 'oversized' | 'turnedAway' | 'otherWorker' | 'otherVersion' | 'failedAnswer' | 'silent' | 'partialEvent' | 'blockedPart' | 'blockedRequest'
