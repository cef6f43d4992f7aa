/**
 * Port for a platform: the wire format of callers and workers, and the access to
 * the store for configuration, service discovery and claims. A platform only
 * translates and performs effects; the gateway makes all decisions.
 */
import type { Result } from 'neverthrow'
import type { AnswerHead, Call, CallProblem, Dispatch, RelayDispatch } from './forwardPort.js'
import type { ClaimEffect, ClaimInput } from './claimPort.js'
import type { FeedEffect, FeedInput, StreamStoreEffect, StreamStoreInput } from './feedPort.js'
import type { OrderEffect, OrderInput } from './orderPort.js'

/** The head of a caller's request, as received. */
export interface RawCall {
  readonly method: string
  readonly target: string
  /** Flat list that alternates names and values, as received. */
  readonly headers: readonly string[]
}

/** Converts between the wire format of callers and workers and the types of the core. */
export interface WireCodec {
  readonly decodeCall: (head: RawCall, body: Buffer) => Result<Call, CallProblem>
  /** Returns the headers for the worker, as a flat list that alternates names and values. */
  readonly encodeDispatch: (dispatch: Dispatch) => string[]
  /** Returns the headers for another instance, as a flat list that alternates names and values; `decodeCall` there yields the same request, marked as relayed. */
  readonly encodeRelay: (relay: RelayDispatch) => string[]
  /** `headers` is a flat list that alternates names and values. */
  readonly decodeAnswer: (status: number, headers: readonly string[]) => AnswerHead
  /** Returns the headers of the response to a request, which name the request if the given ones, a flat list that alternates names and values, do not. */
  readonly nameRequest: (call: RawCall, headers: readonly string[]) => readonly string[]
}

/** Paths and response formats of the HTTP interfaces that the platform itself queries. */
export interface PlatformStatusRoutes {
  readonly readyPath: string
  readonly directoryPath: string
  /** Returns the JSON body of a directory response; `ttl` in ms. */
  readonly encodeDirectory: (addresses: readonly string[], ttl: number) => string
}

/** Effects that the platform performs. */
export type PlatformEffect = FeedEffect | StreamStoreEffect | ClaimEffect | OrderEffect

/** Inputs that the platform produces. */
export type PlatformInput = FeedInput | StreamStoreInput | ClaimInput | OrderInput

/** An open connection to a platform. */
export interface PlatformLink {
  readonly perform: (effect: PlatformEffect) => void
  readonly close: () => Promise<void>
}

/** A problem that a platform reports for the log. */
export interface PlatformTrouble {
  readonly kind: 'malformedRecord' | 'malformedAnswer' | 'callFailed'
  readonly subject: string
  readonly reason: string
}

/** A platform; `open` connects to it, with `emit` for inputs and `report` for problems. */
export interface Platform {
  readonly codec: WireCodec
  readonly statusRoutes: PlatformStatusRoutes
  readonly open: (emit: (input: PlatformInput) => void, report: (trouble: PlatformTrouble) => void) => PlatformLink
}
