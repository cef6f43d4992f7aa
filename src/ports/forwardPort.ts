/** Port for forwarding: requests of callers that are passed on unchanged, and the responses of workers. Bodies are raw bytes; headers are flat lists that alternate names and values. */
import type { Address } from '../catalog/catalogTypes.js'

/** A part of a prompt, which other requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What a request states about its prompt. */
export interface Prompt {
  readonly model: string
  readonly inputTokens: number
  readonly maxOutputTokens: number
  /** In prompt order; a cached part is usable only if all parts before it are cached too. */
  readonly parts: readonly PromptPart[]
}

/** A complete request of a caller. */
export interface Call {
  /** Request id chosen by the caller; new for each attempt of the caller. */
  readonly id: string
  readonly method: string
  /** Path and query, as received. */
  readonly target: string
  readonly host: string
  readonly path: string
  /** Headers to pass on, without hop-by-hop headers and those that instances set. */
  readonly headers: readonly string[]
  readonly key?: string
  /** Timeout of the caller, in ms from the arrival of the request. */
  readonly patience?: number
  readonly prompt?: Prompt
  /** Id of the last event that the caller received; set when it resumes a stream. */
  readonly resumeAfter?: string
  /** Id of the caller's attempt that brought the first event of the stream that it resumes. */
  readonly resumes?: string
  /** Whether another instance has passed the request on, so that it is not passed on again. */
  readonly relayed?: boolean
  readonly body: Buffer
}

/** Why a request could not be read. */
export type CallProblem =
  | { readonly kind: 'missingId' }
  | { readonly kind: 'repeatedHeader', readonly header: string }
  | { readonly kind: 'badHeader', readonly header: string, readonly found: string }
  | { readonly kind: 'bodyTooLarge', readonly limit: number }
  /** The bodies of all callers took too much memory, and this one gave way before it was whole. */
  | { readonly kind: 'noMemory' }
  /** No byte of the body came for too long. */
  | { readonly kind: 'bodyStalled' }

/** A request as sent to one incarnation of a worker. */
export interface Dispatch {
  readonly call: Call
  readonly worker: string
  readonly address: Address
  /** Time until the deadline, in ms. */
  readonly timeLeft: number
  readonly workspace?: string
  /** 0 is the highest, 9 the lowest. */
  readonly priority?: number
  readonly resumeAfter?: string
  readonly model?: ModelDispatch
}

/** A request that is passed on to another instance. */
export interface RelayDispatch {
  readonly call: Call
  /** Id of the instance. */
  readonly peer: string
  /** Where its callers connect. */
  readonly address: Address
  /** Time until the deadline, in ms. */
  readonly timeLeft: number
  /** Id of the last event of its stream that the caller has; undefined if it has none. */
  readonly resumeAfter?: string
  /** Id of the attempt that brought the first event of the stream. */
  readonly resumes?: string
}

/** What is sent to model workers in addition to the request. */
export interface ModelDispatch {
  /** Version of the weights on which the request must run; undefined allows any. */
  readonly version?: number
  /** Cache scope; cached parts are shared only within one scope. */
  readonly scope: string
  /** Address from which the worker fetches the parts that it lacks. */
  readonly source?: Address
  /** Address at which the worker stores the parts that it has prefilled. */
  readonly target?: Address
}

/** Numbers of requests that a worker runs, has queued, and can run at the same time, and its speed. */
export interface LoadCounts {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Time that work takes on the worker's machine at this moment, above 0; 100 is as usual. Undefined if the worker states none. */
  readonly pace?: number
}

/** What a response states of a brittle worker: one that ends when it has to turn away more than `refusals` requests in a second. `unreadable` leaves what was stated before in force. */
export type BrittleStatement =
  | { readonly kind: 'brittle', readonly refusals: number }
  | { readonly kind: 'unreadable' }

/** What a response states of the number of requests that its worker takes from all instances together; `unreadable` leaves what was stated before in force. */
export type LimitStatement =
  | { readonly kind: 'perSecond', readonly requests: number }
  | { readonly kind: 'unreadable' }

/** The head of a worker's response. */
export interface AnswerHead {
  readonly status: number
  /** Headers to pass on. */
  readonly headers: readonly string[]
  /** Media type of the body in lower case, without parameters, if the worker states it. */
  readonly mediaType?: string
  /** Id of the request that this responds to, if the worker states it. */
  readonly requestId?: string
  /** Whether the worker states that it has not run the request. */
  readonly notRun: boolean
  /** Incarnation that responded, if the worker states it. */
  readonly worker?: string
  /** Whether the worker states that it is leaving. */
  readonly leaving?: boolean
  /** Time for which a worker that is full asks for no further requests, in ms. */
  readonly retryAfter?: number
  /** The worker's limit, if the response states one. */
  readonly limit?: LimitStatement
  /** That the worker is brittle, if the response states it. */
  readonly brittle?: BrittleStatement
  readonly load?: LoadCounts
  readonly weightVersion?: number
  /** Whether the response carries the worker's signature. */
  readonly signed: boolean
}

/** Why an attempt ended without a complete response. */
export type AttemptFailure =
  /** No byte of the request was sent. */
  | 'unsent'
  /** The request was sent, and the connection broke. */
  | 'cut'
  /** The bytes are not a valid response, or respond to another request. */
  | 'garbled'
  /** The response, its head or one of its events is larger than allowed. */
  | 'oversized'

/** Why a connection of a caller ended. */
export type ConnectionEnd =
  /** The caller closed the connection or its sending side; the two cannot be told apart. */
  | 'callerClosed'
  /** The connection was reset, or its other side no longer responds. */
  | 'callerReset'
  /** The caller does not read its response. */
  | 'backlog'
  /** No request came within the keep-alive timeout. */
  | 'idleTimeout'
  /** There were more connections than the instance may have, and this one had the least claim. */
  | 'noRoom'
  /** The headers of a request were not complete in time. */
  | 'headerTimeout'
  /** What the caller sent is not HTTP, or its headers are too large. */
  | 'malformed'
  /** Its last response, which announced the end of the connection, has been sent. */
  | 'lastResponse'
  /** A response was aborted. */
  | 'aborted'
  /** The instance is shutting down. */
  | 'shutdown'
  | 'unknown'

/** The connection on which a request came. */
export interface ConnectionHistory {
  /** Time since it was accepted, in ms. */
  readonly age: number
  /** Number of requests that it carried before. */
  readonly earlier: number
}

/** How far a request has come: its body is being read, it has been read, the core has it, or its response is being sent to the end. */
export type CallStage = 'reading' | 'read' | 'open' | 'sending'

/** Inputs of the forwarding core. */
export type ForwardInput =
  | { readonly kind: 'call.arrived', readonly request: number, readonly call: Call, readonly connection?: ConnectionHistory }
  | { readonly kind: 'call.unreadable', readonly request: number, readonly problem: CallProblem }
  /** The connection ended before the whole response was sent; `id` is the caller's id, or `none`. */
  | { readonly kind: 'call.left', readonly request: number, readonly id: string, readonly stage: CallStage, readonly reason: ConnectionEnd }
  | { readonly kind: 'attempt.head', readonly attempt: number, readonly head: AnswerHead }
  | { readonly kind: 'attempt.data', readonly attempt: number, readonly bytes: Buffer }
  | { readonly kind: 'attempt.ended', readonly attempt: number }
  | { readonly kind: 'attempt.failed', readonly attempt: number, readonly failure: AttemptFailure }
  /** `refused` says that its machine answered and no process did. */
  | { readonly kind: 'worker.probed', readonly worker: string, readonly reachable: boolean, readonly refused?: boolean }

/** Effects that the forwarding core requests. */
export type ForwardEffect =
  /** Sends a whole response. */
  | { readonly kind: 'call.answer', readonly request: number, readonly status: number, readonly headers: readonly string[], readonly body: Buffer, readonly workspace?: string }
  /** Sends the head of a response whose body follows in parts. */
  | { readonly kind: 'call.open', readonly request: number, readonly status: number, readonly headers: readonly string[], readonly workspace?: string }
  | { readonly kind: 'call.write', readonly request: number, readonly bytes: Buffer }
  | { readonly kind: 'call.end', readonly request: number }
  /** Aborts the response, so that the caller can detect that it is incomplete. */
  | { readonly kind: 'call.abort', readonly request: number }
  | { readonly kind: 'attempt.send', readonly attempt: number, readonly dispatch: Dispatch }
  /** Passes a request on to another instance; what follows are inputs of the attempt. */
  | { readonly kind: 'relay.send', readonly attempt: number, readonly relay: RelayDispatch }
  | { readonly kind: 'attempt.cancel', readonly attempt: number }
  /** Tests whether a worker is reachable by opening a connection and closing it again. */
  | { readonly kind: 'worker.probe', readonly worker: string, readonly address: Address }
