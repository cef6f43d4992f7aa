/**
 * The records of the store's topic in which instances write down where streams
 * began. A record is a batch: the time at which it was made, the versions of the
 * services that run several, and streams with an index into a list of origins,
 * since many streams share one. Instances read the newest records after a start.
 */
import { z } from 'zod'
import { listOf } from '../listSchema.js'
import { streamOriginSchema, type StreamOrigin } from './streamOriginsTypes.js'
import { versionMemory } from './versionHistory.js'

/** The versions that the workers of a service have run within `versionMemory`; an empty text stands for workers without one. */
export interface ServiceVersions {
  readonly service: string
  readonly versions: readonly string[]
}

const streamRecordSchema = z.object({
  /** Time at which the record was made, in Unix ms. */
  at: z.number(),
  /** Services that run several versions; one with a single version has ceased to. */
  services: listOf(z.object({ service: z.string(), versions: listOf(z.string()) })),
  origins: listOf(streamOriginSchema),
  /** Id of each stream and the index of its origin. */
  streams: listOf(z.tuple([z.string(), z.number().int().min(0)]))
})

/** A record of the topic. */
export type StreamRecord = z.infer<typeof streamRecordSchema>

/** What the newest records state. */
export interface RecordedStreams {
  readonly origins: ReadonlyMap<string, StreamOrigin>
  /** Versions that a service has run lately, by service; a service that ran one version only is absent. */
  readonly versions: ReadonlyMap<string, ReadonlySet<string>>
  readonly malformed: number
}

/** Bound of the streams and origins of a record, in bytes; with the versions and the encoding it stays under 256 KiB. */
const maxStreamBytes = 163_840
/** Longest id or origin that is recorded, in bytes. */
const maxEntryBytes = 1_024
/** Bytes that an entry takes beyond its texts. */
const entryOverhead = 16
/** Largest number of services in a record. */
const maxServices = 256
/** Number of versions that are recorded of a service; two say that there were several. */
const maxVersions = 2
/** Longest text of a version, in characters. */
const maxTextLength = 32
/** Time for which the last word on a service counts if it says that several versions run, in ms: as long as the store may be away without the rule that follows from it being lost. */
const openMemory = 600_000

const bytesOf = (text: string): number => Buffer.byteLength(text) + entryOverhead

/** The part of an origin that says where its stream may go on. */
export const compactOrigin = ({ service, workspace, version, worker, startedAt }: StreamOrigin): StreamOrigin => ({
  service,
  ...(workspace === undefined ? {} : { workspace }),
  ...(version === undefined ? { worker, startedAt } : { version })
})

/** Whether a stream can be recorded: neither its id nor its origin is overlong. */
export const isRecordable = (stream: string, origin: StreamOrigin): boolean =>
  bytesOf(stream) <= maxEntryBytes && bytesOf(JSON.stringify(compactOrigin(origin))) <= maxEntryBytes

/** A text that is too long is cut, so that it equals no version of a worker: then the service has run several. */
const cutText = (text: string): string => text.length > maxTextLength ? `${text.slice(0, maxTextLength)}...` : text

/**
 * Builds a record with as many of the streams as fit.
 *
 * @param pending - streams that are not recorded yet
 * @param services - the versions of services that run several
 * @param at - time of day, in ms
 * @returns the record and the streams that it holds
 */
export const buildStreamRecord = (pending: Iterable<readonly [string, StreamOrigin]>, services: readonly ServiceVersions[], at: number): { readonly record: StreamRecord, readonly included: ReadonlyMap<string, StreamOrigin> } => {
  const origins = new Map<string, { readonly index: number, readonly origin: StreamOrigin }>()
  const streams: [string, number][] = []
  const included = new Map<string, StreamOrigin>()
  let bytes = 0
  for (const [stream, origin] of pending) {
    const compact = compactOrigin(origin)
    const key = JSON.stringify(compact)
    bytes += bytesOf(stream) + (origins.has(key) ? 0 : bytesOf(key))
    if (bytes > maxStreamBytes) break
    const { index } = origins.get(key) ?? { index: origins.size }
    origins.set(key, { index, origin: compact })
    streams.push([stream, index])
    included.set(stream, origin)
  }
  return {
    record: {
      at,
      services: services.slice(0, maxServices).map(({ service, versions }) => ({ service, versions: versions.slice(0, maxVersions).map(cutText) })),
      origins: [...origins.values()].map(({ origin }) => origin),
      streams
    },
    included
  }
}

/**
 * Reads records. A stream of which they state two origins is left out, as are
 * records older than `versionMemory`: their callers have left, or the store was
 * restored from an older copy.
 *
 * @param records - decoded records, oldest first
 * @param wall - time of day, in ms
 */
export const readStreamRecords = (records: readonly unknown[], wall: number): RecordedStreams => {
  const origins = new Map<string, StreamOrigin>()
  const distinct = new Map<string, StreamOrigin>()
  const contradicted = new Set<string>()
  const versions = new Map<string, Set<string>>()
  const lastWord = new Map<string, { readonly at: number, readonly versions: readonly string[] }>()
  let malformed = 0

  const addVersions = (service: string, added: readonly string[]): void => {
    const known = versions.get(service) ?? new Set()
    versions.set(service, known)
    for (const version of added) known.add(version)
  }

  /** Returns the first origin that says the same, so that the origins of a stream are compared without reading their texts. */
  const firstSame = (origin: StreamOrigin): StreamOrigin => {
    const key = JSON.stringify(compactOrigin(origin))
    const first = distinct.get(key) ?? origin
    distinct.set(key, first)
    return first
  }

  const addStream = (stream: string, origin: StreamOrigin): void => {
    const known = origins.get(stream)
    if (known !== undefined && known !== origin) contradicted.add(stream)
    origins.set(stream, origin)
  }

  for (const value of records) {
    const parsed = streamRecordSchema.safeParse(value)
    if (!parsed.success || parsed.data.streams.some(([, index]) => index >= parsed.data.origins.length)) {
      malformed++
      continue
    }
    const { at, services, origins: listed, streams } = parsed.data
    for (const { service, versions: stated } of services) lastWord.set(service, { at, versions: stated })
    if (wall - at >= versionMemory) continue
    for (const { service, versions: stated } of services) if (stated.length > 1) addVersions(service, stated)
    const firsts = listed.map(firstSame)
    for (const [stream, index] of streams) addStream(stream, firsts[index])
  }
  for (const [service, { at, versions: stated }] of lastWord) {
    if (stated.length > 1 && wall - at < openMemory) addVersions(service, stated)
  }
  for (const stream of contradicted) origins.delete(stream)
  return { origins, versions, malformed }
}
