/** Messages between the entries of a workspace. */
import { z } from 'zod'

/** One workspace, as the sender sees it. */
export const shareNotice = z.object({
  workspace: z.string(),
  /** Hash of the list of entries that the sender goes by. */
  entries: z.number(),
  /** Demand as a fraction of the workspace's limit. */
  demand: z.number(),
  /** Fraction of the limit that the sender may use. */
  fraction: z.number(),
  /** Names the count of `lent`: the time at which it began at 0, in ms. */
  series: z.number(),
  /** All that the sender has lent to the receiver in this series, as a fraction of the limit. */
  lent: z.number(),
  /** The receiver's incarnation, if the sender has heard it lately; otherwise empty. */
  to: z.string()
})

/** What an entry tells another one about the workspaces that both serve. */
export const limitsMessage = z.object({
  kind: z.literal('limits.shares'),
  incarnation: z.string(),
  shares: z.array(shareNotice)
})

/** One workspace, as the sender sees it. */
export type ShareNotice = z.infer<typeof shareNotice>

/** What an entry tells another one. */
export type LimitsMessage = z.infer<typeof limitsMessage>
