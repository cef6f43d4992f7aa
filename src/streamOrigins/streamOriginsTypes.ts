/** Origins of streams, as instances tell them each other. */
import { z } from 'zod'

/** Schema of a stream's origin. */
export const streamOriginSchema = z.object({
  service: z.string(),
  /** Workspace of the caller; undefined on routes that need no key. */
  workspace: z.string().optional(),
  /** Software version of the worker that began the stream; undefined if the worker reports none. */
  version: z.string().optional(),
  /** The worker that began it; undefined if only the version is known. */
  worker: z.string().optional(),
  /** Start time of that lifetime of the worker. */
  startedAt: z.number().optional()
})

/** Where a stream began. */
export type StreamOrigin = z.infer<typeof streamOriginSchema>

/** Log events about records of streams; each is written as one line. */
export type StreamLogEvent =
  /** The store accepts records of streams again, after it did not. */
  | { readonly kind: 'streamsRecorded', readonly streams: number }
  /** The store has begun not to accept records; `streams` of the first record that failed. */
  | { readonly kind: 'streamsNotRecorded', readonly streams: number }
  /** The instance has read where streams began; malformed records were skipped. */
  | { readonly kind: 'streamRecordsRead', readonly records: number, readonly streams: number, readonly malformed: number }
  /** The records could not be read. */
  | { readonly kind: 'streamRecordsUnread' }
