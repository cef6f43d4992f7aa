/** Schemas of the log records of claims and of the messages that instances exchange about claims. */
import { z } from 'zod'

/** Identifies a call, and one attempt of it uniquely across the fleet. */
const attemptFields = {
  workspace: z.string(),
  key: z.string(),
  attempt: z.string()
}

/** The fields of a claim: its attempt, its claimant and its request. */
const claimFields = {
  ...attemptFields,
  claimant: z.string(),
  incarnation: z.string(),
  fingerprint: z.string(),
  /** Absolute time, in ms. */
  deadline: z.number()
}

/** An attempt's request for the exclusive right to dispatch its call. */
const claimSchema = z.object({ kind: z.literal('claim'), ...claimFields })

/** The close record of an attempt; after `notRun` the attempt can never run. */
const closeSchema = z.object({
  kind: z.literal('close'),
  ...attemptFields,
  outcome: z.enum(['ran', 'notRun', 'unknown'])
})

/** One entry of a batch: a claim or a close record. */
export const entrySchema = z.discriminatedUnion('kind', [claimSchema, closeSchema])

/**
 * The payload of one append: the entries collected over a short interval. Each
 * entry is validated separately, so that one of an unknown kind does not
 * invalidate the others.
 */
export const batchSchema = z.object({
  kind: z.literal('claims.batch'),
  records: z.array(z.unknown())
})

/** The attempt that owns a call, represented by its claim or, if that has not been read, by its close record. */
const ownerSchema = z.discriminatedUnion('kind', [
  claimSchema,
  /** Only the owner's close record has been read, not its claim. */
  closeSchema
])

/** The verdict on a claim according to the log. */
const verdictSchema = z.discriminatedUnion('kind', [
  /** The attempt owns the call. */
  z.object({ kind: z.literal('won') }),
  /** Another attempt owns the call; `held` means that no outcome of it is recorded. */
  z.object({ kind: z.literal('taken'), owner: ownerSchema, state: z.enum(['held', 'ran', 'unknown']) }),
  /** The attempt can no longer own the call, which has no owner and may be claimed by a new attempt. */
  z.object({ kind: z.literal('spent') }),
  /** The key has expired by the log's time, for instance because the claim was appended outside the key's window, and no owner of the call is known. */
  z.object({ kind: z.literal('expired') }),
  /** Earlier records of the call may no longer be on the log. */
  z.object({ kind: z.literal('undecided') }),
  /** The log did not answer, or the holder was overloaded. `appended` is false only if no append of the claim was tried. */
  z.object({ kind: z.literal('unavailable'), appended: z.boolean() })
])

/** The complete answer to a call. */
const answerSchema = z.object({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  body: z.custom<Uint8Array>(value => value instanceof Uint8Array)
})

/** The state of an attempt according to its claimant. */
const findingSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('running') }),
  z.object({ kind: z.literal('ran'), answer: answerSchema.optional() }),
  z.object({ kind: z.literal('unknown') }),
  /** The attempt was never dispatched and never will be. */
  z.object({ kind: z.literal('neverRun') })
])

/** Messages that instances exchange about claims. */
export const claimsMessageSchema = z.discriminatedUnion('kind', [
  /** Requests that the holder append a claim and reply with the verdict. */
  z.object({ kind: z.literal('claims.claim'), claim: claimSchema }),
  z.object({ kind: z.literal('claims.verdict'), attempt: z.string(), verdict: verdictSchema }),
  /** The holder is still processing the claim and is waiting for the log. */
  z.object({ kind: z.literal('claims.queued'), attempt: z.string() }),
  /** Requests that the holder append a close record. */
  z.object({ kind: z.literal('claims.close'), close: closeSchema }),
  /** Confirms that the log holds the attempt's close record. */
  z.object({ kind: z.literal('claims.closed'), attempt: z.string() }),
  /** Requests the state of the attempt `owner` from its claimant, on behalf of the attempt `asker`. */
  z.object({ kind: z.literal('claims.lookup'), owner: claimSchema, asker: z.string() }),
  /** Answers a lookup. */
  z.object({ kind: z.literal('claims.found'), attempt: z.string(), asker: z.string(), finding: findingSchema })
])

/** A claim, as recorded on the log. */
export type Claim = z.infer<typeof claimSchema>
/** The close record of an attempt. */
export type Close = z.infer<typeof closeSchema>
/** A claim or a close record. */
export type Entry = z.infer<typeof entrySchema>
/** The attempt that owns a call, as its claim or its close record. */
export type Owner = z.infer<typeof ownerSchema>
/** The verdict on a claim according to the log. */
export type Verdict = z.infer<typeof verdictSchema>
/** The complete answer to a call. */
export type Answer = z.infer<typeof answerSchema>
/** The state of an attempt according to its claimant. */
export type Finding = z.infer<typeof findingSchema>
/** Any message that instances exchange about claims. */
export type ClaimsMessage = z.infer<typeof claimsMessageSchema>

/** Identifies a call. The same key in two workspaces identifies two different calls. */
export type CallKey = Pick<Claim, 'workspace' | 'key'>

/**
 * Builds the unique name of a call; attempts have equal names only if they belong to the same call.
 *
 * @param call - workspace and key
 * @returns a string to use as a map key and as hash input
 */
export const callName = ({ workspace, key }: CallKey): string => `${key} ${workspace}`
