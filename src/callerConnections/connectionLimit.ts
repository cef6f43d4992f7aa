/**
 * Which connection an instance closes when it has as many as it may. Without a limit
 * clients that open connections and leave them take all descriptors, and the
 * instance can neither accept a caller nor reach a worker, another instance or the
 * store. The connection that has the least claim is closed: first those on which no
 * request has come, then those whose body has stopped, then idle ones.
 */
import { assertNever } from '../errors.js'

/** What a connection is used for; `since` is in ms. */
export type ConnectionUse =
  /** Nothing, or an incomplete head, has come on it since it was opened. */
  | { readonly kind: 'unused', readonly since: number }
  /** The body of a request is being read; the last byte came at `since`. */
  | { readonly kind: 'reading', readonly since: number }
  /** A request is in progress. */
  | { readonly kind: 'busy' }
  /** Its last request has ended. */
  | { readonly kind: 'idle', readonly since: number }

/** Time without a byte after which a body counts as stopped, in ms. */
const stoppedTime = 100
/** Part of the descriptors of the process that callers may take; the others are for workers, instances, the store and files. */
const callerShare = 0.6
/** Part that each of the listeners for the platform and for operators may take. */
const statusShare = 0.05
/** Least number of connections at a listener. */
const minConnections = 16

/** Order in which connections are closed; undefined for those that are not. */
const rankOf = (use: ConnectionUse, now: number): number | undefined => {
  switch (use.kind) {
    case 'unused': return 0
    case 'reading': return now - use.since >= stoppedTime ? 1 : undefined
    case 'idle': return 2
    case 'busy': return undefined
    default: return assertNever(use)
  }
}

const sinceOf = (use: ConnectionUse): number => use.kind === 'busy' ? Infinity : use.since

/**
 * Chooses the connection that is closed for a new one.
 *
 * @param connections - the open connections without the new one, and their uses
 * @param now - present time, in ms
 * @returns the connection; undefined if all of them have a better claim than the new one
 */
export const connectionToClose = <Connection>(connections: Iterable<readonly [Connection, ConnectionUse]>, now: number): Connection | undefined => {
  let found: { readonly connection: Connection, readonly rank: number, readonly since: number } | undefined
  for (const [connection, use] of connections) {
    const rank = rankOf(use, now)
    if (rank === undefined) continue
    const since = sinceOf(use)
    if (found === undefined || rank < found.rank || (rank === found.rank && since < found.since)) found = { connection, rank, since }
  }
  return found?.connection
}

/** Largest numbers of connections at the listeners of an instance. */
export interface ConnectionLimits {
  /** At the listener for callers. */
  readonly callers: number
  /** At each of the listeners for the platform and for operators. */
  readonly status: number
}

/**
 * Derives the limits from the descriptors of the process.
 *
 * @param descriptors - largest number of descriptors; undefined if it is not known
 */
export const connectionLimitsOf = (descriptors: number | undefined): ConnectionLimits => {
  if (descriptors === undefined) return { callers: Infinity, status: Infinity }
  const part = (share: number): number => Math.max(minConnections, Math.floor(descriptors * share))
  return { callers: part(callerShare), status: part(statusShare) }
}
