/**
 * The features of a request by which it may crash workers: the parts of its prompt
 * that other requests may share, and the request as a whole, which comes again
 * under other ids. Crashes are weighed in scopes, within which workers run the
 * same requests.
 */
import type { Call, Prompt } from '../ports/forwardPort.js'
import type { IdentifiableRequest, RequestFingerprints } from './requestFingerprint.js'

/** A request as far as its features are concerned. */
export interface FeaturedRequest extends IdentifiableRequest {
  readonly service: string
}

/** A feature, and the scope in which it was found. */
export interface ScopedFeature {
  readonly scope: string
  readonly feature: string
}

/** Begins the feature of a whole request; ids of parts are hexadecimal. */
const requestPrefix = 'request/'
/** Begins the scope of requests without a prompt. */
const servicePrefix = 'service/'

/** The scope of a request: the model of its prompt, or its service. */
export const scopeOf = ({ call, service }: FeaturedRequest): string => call.prompt?.model ?? `${servicePrefix}${service}`

/**
 * Ids of the parts of a prompt that other requests may share: all but the last, which belongs to the request or to its session.
 *
 * @param prompt - the prompt, if the request has one
 */
export const sharedPartsOf = (prompt: Prompt | undefined): readonly string[] =>
  prompt === undefined ? [] : prompt.parts.slice(0, -1).map(({ id }) => id)

/** The feature of a whole request with this fingerprint. */
export const requestFeature = (fingerprint: string): string => `${requestPrefix}${fingerprint}`

/** The fingerprint of the request that the feature stands for; undefined if it is a part. */
export const fingerprintIn = (feature: string): string | undefined =>
  feature.startsWith(requestPrefix) ? feature.slice(requestPrefix.length) : undefined

/** Whether the feature is a whole request. */
export const isWholeRequest = (feature: string): boolean => fingerprintIn(feature) !== undefined

/** All features of a request, in prompt order and the request itself last, as fewest other requests have it. */
export const featuresOf = (request: FeaturedRequest, fingerprintOf: RequestFingerprints): readonly string[] =>
  [...sharedPartsOf(request.call.prompt), requestFeature(fingerprintOf(request))]

/** Key of a feature in tables. A request that is moved to another service stays the same. */
export const keyOf = ({ scope, feature }: ScopedFeature): string => isWholeRequest(feature) ? feature : `${scope}/${feature}`

/** Id that a request shares with its repeats as far as parts are concerned: its own part of the prompt. */
export const ownPartOf = ({ prompt }: Call): string | undefined => prompt?.parts.at(-1)?.id
