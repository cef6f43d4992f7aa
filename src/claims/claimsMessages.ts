/** Schemas of the claims' log records and of their messages between instances. */
import { z } from 'zod'

/** Names a call, and one attempt of it across the fleet. */
const attemptFields = {
  workspace: z.string(),
  key: z.string(),
  attempt: z.string()
}

/** What a claim says of its claimant and its request. */
const claimFields = {
  ...attemptFields,
  claimant: z.string(),
  incarnation: z.string(),
  fingerprint: z.string(),
  /** Absolute, in ms. */
  deadline: z.number()
}

/** An attempt's request for the sole right to dispatch. */
const claimSchema = z.object({ kind: z.literal('claim'), ...claimFields })

/** The end of an attempt; `notRun` gives it up for ever. */
const closeSchema = z.object({
  kind: z.literal('close'),
  ...attemptFields,
  outcome: z.enum(['ran', 'notRun', 'unknown'])
})

/** One record of a batch. */
export const entrySchema = z.discriminatedUnion('kind', [claimSchema, closeSchema])

/**
 * Payload of one append: the records of a short interval. Each is checked by
 * itself, so that one of an unknown kind takes no other with it.
 */
export const batchSchema = z.object({
  kind: z.literal('claims.batch'),
  records: z.array(z.unknown())
})

/** The attempt that owns a call. */
const ownerSchema = z.discriminatedUnion('kind', [
  claimSchema,
  /** Only its end is known. */
  closeSchema
])

/** What the log says of an attempt. */
const verdictSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('won') }),
  z.object({ kind: z.literal('taken'), owner: ownerSchema, state: z.enum(['held', 'ran', 'unknown']) }),
  /** The attempt is spent, and the call is open to another attempt. */
  z.object({ kind: z.literal('spent') }),
  /** The claim was appended outside the key's window. */
  z.object({ kind: z.literal('expired') }),
  /** Earlier records of the call may have expired. */
  z.object({ kind: z.literal('undecided') }),
  /** The log gave no answer. `appended` is false only if no append of the claim was tried. */
  z.object({ kind: z.literal('unavailable'), appended: z.boolean() })
])

/** The whole answer of a call. */
const answerSchema = z.object({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  body: z.custom<Uint8Array>(value => value instanceof Uint8Array)
})

/** What the claimant knows of its own attempt. */
const findingSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('running') }),
  z.object({ kind: z.literal('ran'), answer: answerSchema.optional() }),
  z.object({ kind: z.literal('unknown') }),
  /** The attempt was never dispatched and never will be. */
  z.object({ kind: z.literal('neverRun') })
])

/** Messages of claims between instances. */
export const claimsMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claims.claim'), claim: claimSchema }),
  z.object({ kind: z.literal('claims.verdict'), attempt: z.string(), verdict: verdictSchema }),
  /** The claim waits for the log; the holder is at work. */
  z.object({ kind: z.literal('claims.queued'), attempt: z.string() }),
  z.object({ kind: z.literal('claims.close'), close: closeSchema }),
  z.object({ kind: z.literal('claims.closed'), attempt: z.string() }),
  /** Asks a claimant what became of its attempt. */
  z.object({ kind: z.literal('claims.lookup'), owner: claimSchema, asker: z.string() }),
  z.object({ kind: z.literal('claims.found'), attempt: z.string(), asker: z.string(), finding: findingSchema })
])

/** A claim as recorded. */
export type Claim = z.infer<typeof claimSchema>
/** The end of an attempt as recorded. */
export type Close = z.infer<typeof closeSchema>
/** A claim or the end of an attempt. */
export type Entry = z.infer<typeof entrySchema>
/** The attempt that owns a call. */
export type Owner = z.infer<typeof ownerSchema>
/** What the log says of an attempt. */
export type Verdict = z.infer<typeof verdictSchema>
/** The whole answer of a call. */
export type Answer = z.infer<typeof answerSchema>
/** What a claimant says of its own attempt. */
export type Finding = z.infer<typeof findingSchema>
/** Any message of claims. */
export type ClaimsMessage = z.infer<typeof claimsMessageSchema>

/** What names a call: the same key in two workspaces names two calls. */
export type CallKey = Pick<Claim, 'workspace' | 'key'>

/**
 * A string that is equal for attempts of the same call only.
 *
 * @param call - workspace and key
 */
export const callName = ({ workspace, key }: CallKey): string => `${key} ${workspace}`
