/** Messages between the instances that serve a workspace. */
import { z } from 'zod'
import { listOf } from '../listSchema.js'

/** Schema of the state of one workspace at the sender. */
export const shareNotice = z.object({
  workspace: z.string(),
  /** Hash of the sender's list of the instances that serve the workspace. */
  entries: z.number(),
  /** Demand at the sender, as a fraction of the workspace's limit. */
  demand: z.number(),
  /** Fraction of the workspace's limit that the sender may use. */
  fraction: z.number(),
  /** Identifies the series of `lent`: the time at which it started from 0, in ms. */
  series: z.number(),
  /** Total that the sender has lent to the receiver in this series, as a fraction of the limit. */
  lent: z.number(),
  /** The receiver's incarnation if the sender has recently received a message from it, otherwise empty. */
  to: z.string()
})

/** Schema of the message to another instance about the workspaces that both serve. */
export const limitsMessage = z.object({
  kind: z.literal('limits.shares'),
  incarnation: z.string(),
  shares: listOf(shareNotice)
})

/** The state of one workspace at the sender. */
export type ShareNotice = z.infer<typeof shareNotice>

/** The message to another instance about the workspaces that both serve. */
export type LimitsMessage = z.infer<typeof limitsMessage>
