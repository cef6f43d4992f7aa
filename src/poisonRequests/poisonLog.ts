/** Log events of the poison requests: a part of prompts and a whole request have lines of their own. */
import { fingerprintIn, type ScopedFeature } from './features.js'

/** A log event of the poison requests; each is one log line. */
export type PoisonLogEvent =
  /** A lifetime of a worker has crashed; `parts` is the number of features that may have caused it. */
  | { readonly kind: 'workerCrashed', readonly worker: string, readonly startedAt: number, readonly cut: number, readonly parts: number }
  /** No request with the part is sent to a worker any more. `crashes` is known only to the coordinator that found it. */
  | { readonly kind: 'partBlocked', readonly model: string, readonly part: string, readonly crashes?: number, /** Whether answers on it went well before. */ readonly sound: boolean }
  | { readonly kind: 'partUnblocked', readonly model: string, readonly part: string, readonly reason: UnblockReason }
  /** A request tries a blocked part. */
  | { readonly kind: 'partTried', readonly id: string, readonly model: string, readonly part: string, readonly failures: number }
  /** The same of a whole request; `request` is its fingerprint, `scope` its model or service. */
  | { readonly kind: 'requestBlocked', readonly scope: string, readonly request: string, readonly crashes?: number, readonly sound: boolean }
  | { readonly kind: 'requestUnblocked', readonly scope: string, readonly request: string, readonly reason: UnblockReason }
  | { readonly kind: 'requestTried', readonly id: string, readonly scope: string, readonly request: string, readonly failures: number }

/** Why a feature is free again: an answer on it went well, another feature explains its crashes, or nobody repeats that it is blocked. */
export type UnblockReason = 'proven' | 'explained' | 'forgotten'

/**
 * Builds the event of a feature that is blocked.
 *
 * @param feature - the feature
 * @param sound - whether answers on it went well before
 * @param count - number of crashes under it, if this instance has found it
 */
export const blockedEvent = ({ scope, feature }: ScopedFeature, sound: boolean, count?: number): PoisonLogEvent => {
  const request = fingerprintIn(feature)
  const counted = count === undefined ? {} : { crashes: count }
  return request === undefined
    ? { kind: 'partBlocked', model: scope, part: feature, ...counted, sound }
    : { kind: 'requestBlocked', scope, request, ...counted, sound }
}

/** Builds the event of a feature that is free again. */
export const unblockedEvent = ({ scope, feature }: ScopedFeature, reason: UnblockReason): PoisonLogEvent => {
  const request = fingerprintIn(feature)
  return request === undefined
    ? { kind: 'partUnblocked', model: scope, part: feature, reason }
    : { kind: 'requestUnblocked', scope, request, reason }
}

/** Builds the event of a request with this id that tries a blocked feature. */
export const triedEvent = (id: string, { scope, feature }: ScopedFeature, failures: number): PoisonLogEvent => {
  const request = fingerprintIn(feature)
  return request === undefined
    ? { kind: 'partTried', id, model: scope, part: feature, failures }
    : { kind: 'requestTried', id, scope, request, failures }
}
