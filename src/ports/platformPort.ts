/**
 * What a platform provides for a gateway: how callers and workers speak, and
 * the store behind configuration, discovery and claims. It translates and
 * performs; every decision is the gateway's.
 */
import type { Result } from 'neverthrow'
import type { AnswerHead, Call, CallProblem, Dispatch } from './forwardPort.js'
import type { ClaimEffect, ClaimInput } from './claimPort.js'
import type { FeedEffect, FeedInput } from './feedPort.js'
import type { OrderEffect, OrderInput } from './orderPort.js'

/** A request's head as it came from a caller. */
export interface RawCall {
  readonly method: string
  readonly target: string
  /** Flat list of names and values, as received. */
  readonly headers: readonly string[]
}

/** The way in which callers and workers speak. */
export interface WireCodec {
  readonly decodeCall: (head: RawCall, body: Buffer) => Result<Call, CallProblem>
  /** Flat list of the headers that a worker gets. */
  readonly encodeDispatch: (dispatch: Dispatch) => string[]
  /** `headers` is a flat list of names and values. */
  readonly decodeAnswer: (status: number, headers: readonly string[]) => AnswerHead
}

/** Paths and answers of the faces that the platform itself asks. */
export interface PlatformStatusRoutes {
  readonly readyPath: string
  readonly directoryPath: string
  /** JSON of a directory answer; `life` in ms. */
  readonly encodeDirectory: (addresses: readonly string[], life: number) => string
}

/** Effects that the platform performs. */
export type PlatformEffect = FeedEffect | ClaimEffect | OrderEffect

/** Inputs that the platform produces. */
export type PlatformInput = FeedInput | ClaimInput | OrderInput

/** A platform in use. */
export interface PlatformLink {
  readonly perform: (effect: PlatformEffect) => void
  readonly close: () => Promise<void>
}

/** What a line of the platform's log says. */
export interface PlatformTrouble {
  readonly kind: 'malformedRecord' | 'malformedAnswer' | 'callFailed'
  readonly subject: string
  readonly reason: string
}

/** A platform. */
export interface Platform {
  readonly codec: WireCodec
  readonly statusRoutes: PlatformStatusRoutes
  readonly open: (emit: (input: PlatformInput) => void, complain: (trouble: PlatformTrouble) => void) => PlatformLink
}
