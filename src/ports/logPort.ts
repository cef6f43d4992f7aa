/**
 * Port for the platform's append-only log: appends and reads are effects, and the
 * responses arrive as inputs. A failed append may have taken effect; only a read
 * of the stream shows whether it has.
 */
import type { FeatureName } from './features.js'

/** One record of a log stream. */
export interface LogRecord {
  readonly offset: number
  /** Time of the append by the clock of the log, in ms. */
  readonly at: number
  /** JSON value; the reader validates it against its schema. */
  readonly payload: unknown
}

/** Requests of the core to the log; `owner` and `token` identify the response. */
export type LogEffect =
  | { readonly kind: 'log.append', readonly owner: FeatureName, readonly token: number, readonly stream: string, readonly payload: unknown }
  | { readonly kind: 'log.read', readonly owner: FeatureName, readonly token: number, readonly stream: string, readonly from: number, readonly limit: number }

/** Why the log gave no response; in every case an append may have taken effect. */
export type LogFailure = 'unavailable' | 'timeout' | 'lost'

/** Responses of the log. */
export type LogInput =
  | { readonly kind: 'log.appended', readonly owner: FeatureName, readonly token: number, readonly stream: string, readonly offset: number }
  | {
    readonly kind: 'log.records'
    readonly owner: FeatureName
    readonly token: number
    readonly stream: string
    readonly records: readonly LogRecord[]
    /** The earliest offset that is still retained. */
    readonly first: number
    /** The offset that the next append will get. */
    readonly end: number
  }
  | { readonly kind: 'log.failed', readonly owner: FeatureName, readonly token: number, readonly stream: string, readonly failure: LogFailure }
