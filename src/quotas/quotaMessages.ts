/** Schemas of the messages by which instances ask for and grant credit of workspaces with a quota. */
import { z } from 'zod'

/** Longest name of a workspace in a message, in characters. */
const maxNameLength = 1_024

const workspace = z.string().max(maxNameLength)
const amount = z.number().min(0).max(Number.MAX_SAFE_INTEGER)
const time = z.number().min(0)
/** Number of a question, so that the answer is matched to it. */
const question = z.number().int().min(0)

const decisionSchema = z.discriminatedUnion('kind', [
  /** Credit that may be used for `validity` ms from the question on; none follows before `wait` ms. */
  z.object({ kind: z.literal('granted'), amount, validity: time, wait: time }),
  /** No credit before `wait` ms. */
  z.object({ kind: z.literal('denied'), wait: time })
])

/** Messages about quotas. */
export const quotaMessageSchemas = [
  /** Asks the granter of a workspace for credit; version of the configuration, `rate` (per second) and `burst` as the sender knows them. */
  z.object({
    kind: z.literal('fleet.quotaRequest'),
    workspace,
    question,
    version: z.number().min(0),
    rate: amount,
    burst: amount,
    /** What the request at hand needs. */
    amount,
    /** What further requests are likely to need soon. */
    more: amount
  }),
  /** The answer. */
  z.object({ kind: z.literal('fleet.quotaDecision'), workspace, question, decision: decisionSchema }),
  /** Gives granted credit back that was not used. */
  z.object({ kind: z.literal('fleet.quotaReturn'), workspace, amount }),
  /** Asks for a sign of life; the sender grants credit. */
  z.object({ kind: z.literal('fleet.quotaContact'), turn: question }),
  /** The answer. */
  z.object({ kind: z.literal('fleet.quotaContactAnswer'), turn: question }),
  /** The sender relays a request that already counts against the quota. */
  z.object({ kind: z.literal('fleet.quotaCounted'), workspace, id: z.string() })
] as const

/** A message about quotas. */
export type QuotaMessage = z.infer<typeof quotaMessageSchemas[number]>
/** Granted credit, or when to ask again. */
export type QuotaDecision = z.infer<typeof decisionSchema>
