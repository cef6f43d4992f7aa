/** Messages of the membership protocol between instances. */
import { z } from 'zod'
import { listOf } from '../listSchema.js'

const memberSchema = z.object({
  id: z.string(),
  kind: z.literal('entry'),
  /** Empty for a seed from which no message has arrived yet. */
  incarnation: z.string(),
  address: z.object({ host: z.string(), port: z.number() }),
  /** Address at which other instances connect. */
  peer: z.object({ host: z.string(), port: z.number() }).optional(),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving']),
  size: z.number()
})

const rumorSchema = z.object({
  member: memberSchema,
  /** Increased only by the member itself, to refute a suspicion or to supersede an earlier incarnation. */
  version: z.number(),
  status: z.enum(['alive', 'suspect', 'dead'])
})

const healthSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  version: z.number(),
  status: z.enum(['suspect', 'dead'])
})

const exchange = {
  seq: z.number(),
  /** Checksum of the sender's view, without dead instances. */
  sum: z.number(),
  self: rumorSchema,
  rumors: listOf(rumorSchema),
  /** Failure states of members that the receiver is expected to know. */
  health: listOf(healthSchema)
}

/** Messages of the membership feature. */
export const membershipMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('membership.ping'), ...exchange }),
  z.object({ kind: z.literal('membership.ack'), ...exchange }),
  /** Asks the receiver to probe `target` on behalf of the sender (indirect probe). */
  z.object({ kind: z.literal('membership.pingVia'), seq: z.number(), target: z.string() }),
  /** Reports to the requester of an indirect probe that the target answered. */
  z.object({ kind: z.literal('membership.vouch'), seq: z.number(), target: rumorSchema }),
  /** Requests the receiver's complete view. */
  z.object({ kind: z.literal('membership.pull'), self: rumorSchema }),
  /** Carries a complete view, or the part of it that the receiver lacks. */
  z.object({ kind: z.literal('membership.state'), rumors: listOf(rumorSchema) })
])

/** A message of the membership feature. */
export type MembershipMessage = z.infer<typeof membershipMessageSchema>

/** A gossiped member record: the member with its version and status. */
export type Rumor = z.infer<typeof rumorSchema>

/** A gossiped failure state of a member, without the member's addresses; for receivers that know the member. */
export type Health = z.infer<typeof healthSchema>

/** Failure detection status of an instance. */
export type MemberStatus = Rumor['status']

/** An instance as it is sent in messages. */
export type InstanceMember = z.infer<typeof memberSchema>
