/** State of the requests that an instance forwards, and what it notes of them for the log. */
import type { Route, Workspace } from '../catalog/catalogTypes.js'
import type { AnswerHead, Call } from '../ports/forwardPort.js'
import type { InFlightRequest } from '../placement/workerLoad.js'
import type { EventSplitter } from './eventSplitter.js'

/** One send to a worker. */
export interface Attempt {
  readonly id: number
  readonly worker: string
  readonly flight: InFlightRequest
  readonly sentAt: number
  /** Weights that the worker was asked for. */
  readonly version: number | undefined
  readonly scope: string | undefined
  /** Parts that the worker was asked to send to the part store. */
  readonly storesParts: boolean
  head: AnswerHead | undefined
  readonly body: Buffer[]
  readonly splitter: EventSplitter
  lastDataAt: number
  /** Whether the worker was probed for this attempt's sake. */
  doubted: boolean
  /** Whether the worker's silence was noted. */
  silent: boolean
}

/** One request of a caller, until its answer is complete. */
export interface Exchange {
  readonly request: number
  readonly call: Call
  readonly route: Route
  readonly workspace: Workspace | undefined
  readonly service: string
  readonly arrivedAt: number
  /** When the caller gets a final answer at the latest. */
  readonly deadline: number
  /** Workers that got the request, by lifetime. */
  readonly sentTo: Set<string>
  /** Workers that turned it away or could not be reached. */
  readonly excluded: Set<string>
  /** Sends beyond the first that reached a worker, at least in part. */
  retryCount: number
  /** Whether a worker may have run it. */
  mayHaveRun: boolean
  attempt: Attempt | undefined
  /** Whether the answer's head has gone to the caller. */
  headSent: boolean
  /** Id of the last event that went to the caller. */
  lastEventId: string | undefined
  events: number
  /** When the first event went to the caller. */
  firstEventAt: number | undefined
}

/** What the instance decided about a request; one log line each. */
export type ForwardLogEvent =
  | { readonly kind: 'sent', readonly id: string, readonly worker: string, readonly cause: SendCause, readonly expected: number, readonly flights: number, readonly unread: number, readonly fetched: number, readonly version?: number, readonly configuration: number, readonly proofAge: number }
  | { readonly kind: 'attemptFailed', readonly id: string, readonly worker: string, readonly reason: AttemptEnd, readonly after: number }
  | { readonly kind: 'refused', readonly id: string, readonly reason: string, readonly outcome: string, readonly after: number, readonly configuration: number, readonly proofAge: number }
  | { readonly kind: 'answered', readonly id: string, readonly worker: string, readonly status: number, readonly after: number, readonly events: number, /** Time to the first event of a stream. */ readonly first?: number }
  | { readonly kind: 'brokenOff', readonly id: string, readonly reason: string, readonly after: number, readonly events: number }
  | { readonly kind: 'callerLeft', readonly id: string, readonly after: number, readonly events: number }
  | { readonly kind: 'workerDoubted', readonly worker: string, readonly reason: SuspectReason }
  | { readonly kind: 'workerProbed', readonly worker: string, readonly reachable: boolean, readonly doubted: number }

/** Why it is doubted that a worker can be reached. */
export type SuspectReason = 'unreachable' | 'silent' | 'otherWorker' | 'peer'

/** Why a request is sent. */
export type SendCause = 'first' | 'turnedAway' | 'unsent' | 'otherVersion' | 'failed' | 'resume' | 'silent' | 'waited'

/** How an attempt ended without a usable answer. */
export type AttemptEnd = 'unsent' | 'cut' | 'garbled' | 'turnedAway' | 'otherWorker' | 'otherVersion' | 'failedAnswer' | 'silent' | 'partialEvent'
