/**
 * The platform's append-only log, as the core sees it: appends and reads leave
 * as effects, their answers come back as inputs. A failed append may have taken
 * effect; only reading the stream tells.
 */
import type { FeatureName } from './features.js'

/** One record of a log stream. */
export interface LogRecord {
  readonly offset: number
  /** The log's own time of the append, in ms. */
  readonly at: number
  /** JSON value; the reader checks it against its schema. */
  readonly payload: unknown
}

/** What the core asks of the log. */
export type LogEffect =
  | { readonly kind: 'log.append', readonly owner: FeatureName, readonly token: number, readonly stream: string, readonly payload: unknown }
  | { readonly kind: 'log.read', readonly owner: FeatureName, readonly token: number, readonly stream: string, readonly from: number, readonly limit: number }

/** Why the log gave no answer; in every case an append may have taken effect. */
export type LogFailure = 'unavailable' | 'timeout' | 'lost'

/** What the log answers. */
export type LogInput =
  | { readonly kind: 'log.appended', readonly owner: FeatureName, readonly token: number, readonly stream: string, readonly offset: number }
  | {
    readonly kind: 'log.records'
    readonly owner: FeatureName
    readonly token: number
    readonly stream: string
    readonly records: readonly LogRecord[]
    /** The earliest offset still kept. */
    readonly first: number
    /** The offset that the next append will get. */
    readonly end: number
  }
  | { readonly kind: 'log.failed', readonly owner: FeatureName, readonly token: number, readonly stream: string, readonly failure: LogFailure }
