/**
 * Resume tokens: the identity of a stream, signed with HMAC-SHA-256, and a
 * position. With a token, any instance can resume a stream that another one
 * started, and no workspace can resume a stream of another one. The signature is
 * computed once per stream. It does not cover the position, since a caller that
 * changes the position only affects its own stream. Several keys are accepted for
 * verification at a time, so that the signing key can be rotated.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { streamIdentitySchema, type ResumePoint, type ResumeRefusal, type StreamIdentity } from './streamsTypes.js'

/** Length to which signatures are truncated, in bytes. */
const signatureBytes = 16

type IdentityTuple = [string, string, string, string, string, string, number] | [string, string, string, string, string, string, number, number]

/** Encodes an identity without field names to keep tokens short, since one is sent with every event. */
const toTuple = ({ workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint, arrived, base }: StreamIdentity): IdentityTuple => base === undefined
  ? [workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint, arrived]
  : [workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint, arrived, base]

const parseTuple = (values: unknown): StreamIdentity | undefined => {
  if (!Array.isArray(values)) return undefined
  const [workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint, arrived, base] = values
  return streamIdentitySchema.safeParse({ workspace, endpoint, engineRequest, incarnation, weightVersion, fingerprint, arrived, base }).data
}

const sign = (key: string, payload: string): Buffer =>
  createHmac('sha256', key).update(payload).digest().subarray(0, signatureBytes)

/** Length of a shortened fingerprint, in hexadecimal digits. */
const fingerprintDigits = 20

/**
 * Shortens a request's fingerprint for use in tokens.
 *
 * @param fingerprint - hexadecimal hash of the request
 * @returns its first 80 bits
 */
export const streamFingerprint = (fingerprint: string): string => fingerprint.slice(0, fingerprintDigits)

/**
 * Encodes and signs the identity of a stream.
 *
 * @param key - signing key
 * @param identity - identity of the stream
 * @returns the part that all tokens of the stream have in common
 */
export const signStreamIdentity = (key: string, identity: StreamIdentity): string => {
  const payload = Buffer.from(JSON.stringify(toTuple(identity))).toString('base64url')
  return `${payload}.${sign(key, payload).toString('base64url')}`
}

/**
 * Builds the token of one event.
 *
 * @param signedIdentity - result of `signStreamIdentity`
 * @param position - position of the event in the stream
 * @returns text without spaces, usable as an SSE event id
 */
export const resumeToken = (signedIdentity: string, position: number): string => `${signedIdentity}.${position}`

const parseIdentity = (payload: string): StreamIdentity | undefined => {
  try {
    return parseTuple(JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')))
  } catch {
    return undefined
  }
}

const isSignatureValid = (keys: readonly string[], payload: string, signature: Buffer): boolean =>
  keys.map(key => timingSafeEqual(sign(key, payload), signature)).includes(true)

/**
 * Checks the format and the signature of a token.
 *
 * @param keys - accepted signing keys
 * @param token - token sent by the caller
 * @returns the resume point, or the reason for rejecting the token
 */
export const verifyResumeToken = (keys: readonly string[], token: string): Result<ResumePoint, ResumeRefusal> => {
  const parts = /^([\w-]+)\.([\w-]+)\.(\d{1,9})$/.exec(token)
  if (parts === null) return err({ kind: 'malformedToken' })
  const [, payload, signature, position] = parts
  const bytes = Buffer.from(signature, 'base64url')
  if (bytes.length !== signatureBytes) return err({ kind: 'malformedToken' })
  if (!isSignatureValid(keys, payload, bytes)) return err({ kind: 'wrongSignature' })
  const identity = parseIdentity(payload)
  return identity === undefined ? err({ kind: 'malformedToken' }) : ok({ identity, position: Number(position) })
}

/** Conditions that a resume point must meet. */
export interface ResumeConditions {
  /** Workspace of the caller. */
  readonly workspace: string
  /** Shortened fingerprint of the caller's request. */
  readonly fingerprint: string
  /** Age of the original request beyond which a token is rejected, in ms. */
  readonly window: number
}

/**
 * Checks whether a caller may resume a stream at a verified resume point.
 *
 * @param point - the verified resume point
 * @param conditions - workspace and request of the caller, and the maximum age
 * @param now - current time in ms
 * @returns the resume point, or the reason for rejecting it
 */
export const authorizeResume = (point: ResumePoint, conditions: ResumeConditions, now: number): Result<ResumePoint, ResumeRefusal> => {
  const { workspace, fingerprint, arrived } = point.identity
  if (workspace !== conditions.workspace) return err({ kind: 'otherWorkspace' })
  if (fingerprint !== conditions.fingerprint) return err({ kind: 'otherRequest' })
  if (now - arrived > conditions.window) return err({ kind: 'expiredToken' })
  return ok(point)
}
