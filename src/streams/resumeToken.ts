/**
 * Resume tokens: the identity of a stream, signed by HMAC-SHA-256, and a
 * position. Any instance can take up the stream of another, and no workspace
 * can take up another's. The signature is made once per stream; the position is
 * left out of it, since a caller who changes it only misplaces its own stream.
 * Several keys verify at once, so that the signing key can rotate.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { streamIdentitySchema, type ResumePoint, type ResumeRefusal, type StreamIdentity } from './streamsTypes.js'

const signatureBytes = 16

type Values = [string, string, string, string, string, string, number]

/** The values alone, since a token travels with every event. */
const valuesOf = (identity: StreamIdentity): Values =>
  [identity.workspace, identity.endpoint, identity.engineRequest, identity.incarnation, identity.weightVersion, identity.fingerprint, identity.arrived]

const identityOf = (values: unknown): StreamIdentity | undefined => {
  if (!Array.isArray(values)) return undefined
  const [workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint, arrived] = values
  return streamIdentitySchema.safeParse({ workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint, arrived }).data
}

const sign = (key: string, payload: string): Buffer =>
  createHmac('sha256', key).update(payload).digest().subarray(0, signatureBytes)

const fingerprintDigits = 20

/**
 * Shortens a request's fingerprint for use in tokens.
 *
 * @param fingerprint - hexadecimal hash of the request
 * @returns its first 80 bits
 */
export const streamFingerprint = (fingerprint: string): string => fingerprint.slice(0, fingerprintDigits)

/**
 * Signs a stream's identity.
 *
 * @param key - signing key
 * @param identity - the stream
 * @returns the part that all tokens of the stream share
 */
export const signStreamIdentity = (key: string, identity: StreamIdentity): string => {
  const payload = Buffer.from(JSON.stringify(valuesOf(identity))).toString('base64url')
  return `${payload}.${sign(key, payload).toString('base64url')}`
}

/**
 * Makes the token of one event.
 *
 * @param stem - what `signStream` returned
 * @param position - position of the event
 * @returns text without spaces, fit for an event id
 */
export const resumeToken = (stem: string, position: number): string => `${stem}.${position}`

const parseIdentity = (payload: string): StreamIdentity | undefined => {
  try {
    return identityOf(JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')))
  } catch {
    return undefined
  }
}

const verified = (keys: readonly string[], payload: string, signature: Buffer): boolean =>
  keys.map(key => timingSafeEqual(sign(key, payload), signature)).includes(true)

/**
 * Checks a token's form and signature.
 *
 * @param keys - keys that are in force
 * @param token - text from the caller
 * @returns the resume point, or why the token is refused
 */
export const verifyResumeToken = (keys: readonly string[], token: string): Result<ResumePoint, ResumeRefusal> => {
  const parts = /^([\w-]+)\.([\w-]+)\.(\d{1,9})$/.exec(token)
  if (parts === null) return err({ kind: 'malformedToken' })
  const [, payload, signature, position] = parts
  const bytes = Buffer.from(signature, 'base64url')
  if (bytes.length !== signatureBytes) return err({ kind: 'malformedToken' })
  if (!verified(keys, payload, bytes)) return err({ kind: 'wrongSignature' })
  const identity = parseIdentity(payload)
  return identity === undefined ? err({ kind: 'malformedToken' }) : ok({ identity, position: Number(position) })
}

/** What a resume point must agree with. */
export interface ResumeConditions {
  readonly workspace: string
  readonly fingerprint: string
  /** Age at which a token is refused, in ms. */
  readonly window: number
}

/**
 * Decides whether a verified point may be resumed by this caller now.
 *
 * @param point - the verified point
 * @param claim - who asks, for which request
 * @param now - present time in ms
 * @returns the point, or why it is refused
 */
export const authorizeResume = (point: ResumePoint, claim: ResumeConditions, now: number): Result<ResumePoint, ResumeRefusal> => {
  const { workspace, fingerprint, arrived } = point.identity
  if (workspace !== claim.workspace) return err({ kind: 'otherWorkspace' })
  if (fingerprint !== claim.fingerprint) return err({ kind: 'otherRequest' })
  if (now - arrived > claim.window) return err({ kind: 'expiredToken' })
  return ok(point)
}
