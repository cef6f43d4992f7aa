/** Requests of callers that are passed on as they are, and what workers answer. Bytes stay bytes; headers are flat lists of name and value. */
import type { Address } from '../catalog/catalogTypes.js'

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What a request says of its prompt. */
export interface Prompt {
  readonly model: string
  readonly inputTokens: number
  readonly maxOutputTokens: number
  /** In the order of the prompt; a part is of use only if all before it are held. */
  readonly parts: readonly PromptPart[]
}

/** A whole request of a caller. */
export interface Call {
  /** The caller's own id, new with each attempt of the caller's. */
  readonly id: string
  readonly method: string
  /** Path and query as they came. */
  readonly target: string
  readonly host: string
  readonly path: string
  /** Headers to pass on, without those of one connection and those that instances set. */
  readonly headers: readonly string[]
  readonly key?: string
  /** Time that the caller waits, in ms from the arrival. */
  readonly patience?: number
  readonly prompt?: Prompt
  /** Id of the last event that the caller has, when it resumes a stream. */
  readonly resumeAfter?: string
  readonly body: Buffer
}

/** Why a request could not be read. */
export type CallProblem =
  | { readonly kind: 'missingId' }
  | { readonly kind: 'repeatedHeader', readonly header: string }
  | { readonly kind: 'badHeader', readonly header: string, readonly found: string }
  | { readonly kind: 'bodyTooLarge', readonly limit: number }

/** A request to one lifetime of a worker. */
export interface Dispatch {
  readonly call: Call
  readonly worker: string
  readonly address: Address
  /** Time left, in ms. */
  readonly timeLeft: number
  readonly workspace?: string
  /** 0 is first, 9 last. */
  readonly priority?: number
  readonly resumeAfter?: string
  readonly model?: ModelDispatch
}

/** What model workers are told beside the request. */
export interface ModelDispatch {
  /** Weights on which the request may run; undefined leaves it open. */
  readonly version?: number
  /** Separates cached parts: parts are shared only within one scope. */
  readonly scope: string
  /** From where parts that the worker lacks are fetched. */
  readonly source?: Address
  /** Where parts are kept once they are read. */
  readonly target?: Address
}

/** Requests that a worker runs, keeps waiting and can run at once. */
export interface LoadCounts {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** The head of a worker's answer. */
export interface AnswerHead {
  readonly status: number
  /** Headers to pass on. */
  readonly headers: readonly string[]
  /** Id of the request that this answers, if it says so. */
  readonly requestId?: string
  /** Whether the worker states that the request has not run. */
  readonly notRun: boolean
  /** Lifetime that answered, if it says so. */
  readonly worker?: string
  readonly load?: LoadCounts
  readonly weightVersion?: number
  /** Whether the worker vouches for the answer. */
  readonly signed: boolean
}

/** Why an attempt ended without a whole answer. */
export type AttemptFailure =
  /** Nothing was sent. */
  | 'unsent'
  /** Sent, and broken off. */
  | 'cut'
  /** The bytes are not an answer, or answer something else. */
  | 'garbled'

/** What enters the forwarding core. */
export type ForwardInput =
  | { readonly kind: 'call.arrived', readonly request: number, readonly call: Call }
  | { readonly kind: 'call.unreadable', readonly request: number, readonly problem: CallProblem }
  | { readonly kind: 'call.left', readonly request: number }
  | { readonly kind: 'attempt.head', readonly attempt: number, readonly head: AnswerHead }
  | { readonly kind: 'attempt.data', readonly attempt: number, readonly bytes: Buffer }
  | { readonly kind: 'attempt.ended', readonly attempt: number }
  | { readonly kind: 'attempt.failed', readonly attempt: number, readonly failure: AttemptFailure }
  | { readonly kind: 'worker.probed', readonly worker: string, readonly reachable: boolean }

/** What the forwarding core asks for. */
export type ForwardEffect =
  /** A whole answer. */
  | { readonly kind: 'call.answer', readonly request: number, readonly status: number, readonly headers: readonly string[], readonly body: Buffer }
  /** The head of an answer that comes in pieces. */
  | { readonly kind: 'call.open', readonly request: number, readonly status: number, readonly headers: readonly string[] }
  | { readonly kind: 'call.write', readonly request: number, readonly bytes: Buffer }
  | { readonly kind: 'call.end', readonly request: number }
  /** Breaks the answer off, so that it cannot look complete. */
  | { readonly kind: 'call.abort', readonly request: number }
  | { readonly kind: 'attempt.send', readonly attempt: number, readonly dispatch: Dispatch }
  | { readonly kind: 'attempt.cancel', readonly attempt: number }
  /** Opens a connection and closes it again. */
  | { readonly kind: 'worker.probe', readonly worker: string, readonly address: Address }
