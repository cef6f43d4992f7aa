/** Messages between instances about which instances live. */
import { z } from 'zod'

const memberSchema = z.object({
  id: z.string(),
  kind: z.literal('entry'),
  /** Empty for a seed that has not been heard of yet. */
  incarnation: z.string(),
  address: z.object({ host: z.string(), port: z.number() }),
  /** Where other instances connect. */
  peer: z.object({ host: z.string(), port: z.number() }).optional(),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving']),
  size: z.number()
})

const rumorSchema = z.object({
  member: memberSchema,
  /** Raised only by the member itself, to refute a suspicion or to follow an earlier incarnation. */
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
  /** Checksum of the sender's view. */
  sum: z.number(),
  self: rumorSchema,
  rumors: z.array(rumorSchema),
  /** How members fare that the receiver is expected to know. */
  health: z.array(healthSchema)
}

/** Messages of the membership feature. */
export const membershipMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('membership.ping'), ...exchange }),
  z.object({ kind: z.literal('membership.ack'), ...exchange }),
  /** Asks the receiver to probe `target` for the sender. */
  z.object({ kind: z.literal('membership.pingVia'), seq: z.number(), target: z.string() }),
  /** The answer of the target, passed on. */
  z.object({ kind: z.literal('membership.vouch'), seq: z.number(), target: rumorSchema }),
  /** Asks for the receiver's whole view. */
  z.object({ kind: z.literal('membership.pull'), self: rumorSchema }),
  z.object({ kind: z.literal('membership.state'), rumors: z.array(rumorSchema) })
])

/** A message of the membership feature. */
export type MembershipMessage = z.infer<typeof membershipMessageSchema>

/** What one instance tells another of a third. */
export type Rumor = z.infer<typeof rumorSchema>

/** What one instance tells another of a third that both know. */
export type Health = z.infer<typeof healthSchema>

/** Another instance's health, as far as it is known. */
export type MemberStatus = Rumor['status']

/** An instance, as messages carry it. */
export type InstanceMember = z.infer<typeof memberSchema>
