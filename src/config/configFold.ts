/**
 * The fold over the `config` stream. A publish is accepted if and only if it
 * names the current version as its base and its patch fits that text; nothing
 * of the rules' meaning is looked at, so readers of every software version
 * accept the same publishes. Snapshots never change the version of a reader
 * that has folded up to them; they let a reader start in the middle.
 */
import { applyPatch } from './configPatch.js'
import { configRecordSchema } from './configTypes.js'
import type { ConfigRecord, Patch, Publication, Revision } from './configTypes.js'
import type { LogRecord } from '../ports/logPort.js'

/** Accepted publishes that a revision remembers. */
export const maxHistory = 256
/** Records between a snapshot's state and its own place, beyond which it counts as late. */
const maxSnapshotLag = 1000

/** A reader's place in the stream. */
export interface Fold {
  readonly revision: Revision
  /** The next offset to read. */
  readonly cursor: number
  /** Whether every record before `cursor` is accounted for in `revision`. */
  readonly anchored: boolean
  /** The log's time of the newest snapshot seen, in ms, or of the first record if there is none. */
  readonly snapshotAt?: number
}

/** A version that a record made. */
export interface Step {
  readonly patch: Patch
  readonly publication: Publication
}

/** A page of the log as the fold takes it. */
export interface Page {
  readonly records: readonly LogRecord[]
  /** The earliest offset still kept. */
  readonly first: number
}

/** What a page did. */
export interface FoldResult {
  readonly fold: Fold
  /** Accepted publishes of this page, in order. */
  readonly steps: readonly Step[]
}

/** The state before the first record of a stream. */
export const emptyFold: Fold = { revision: { version: 0, lines: [], history: [] }, cursor: 0, anchored: true }

/**
 * Builds the next revision.
 *
 * @param revision - the present one
 * @param step - an accepted publish
 * @returns the next one, or undefined if the step does not follow from it
 */
export const applyStep = (revision: Revision, step: Step): Revision | undefined => {
  if (step.publication.version !== revision.version + 1) return undefined
  const lines = applyPatch(revision.lines, step.patch)
  return lines && {
    version: step.publication.version,
    lines,
    history: [...revision.history, step.publication].slice(-maxHistory)
  }
}

const parse = (record: LogRecord): ConfigRecord | undefined => configRecordSchema.safeParse(record.payload).data

const stepOf = (payload: ConfigRecord | undefined, record: LogRecord, current: Revision): Step | undefined => {
  if (payload?.kind !== 'publish' || payload.base !== current.version) return undefined
  const { id, publisher, patch } = payload
  return { patch, publication: { version: payload.base + 1, id, publisher, at: record.at, offset: record.offset } }
}

const snapshotTime = (payload: ConfigRecord | undefined, record: LogRecord, before: number | undefined): number | undefined => {
  if (payload?.kind === 'snapshot' && record.offset - payload.through <= maxSnapshotLag) return Math.max(before ?? -Infinity, record.at)
  return before ?? record.at
}

const foldAnchored = (fold: Fold, records: readonly LogRecord[]): FoldResult => {
  const steps: Step[] = []
  let { revision, cursor, snapshotAt } = fold
  for (const record of records) {
    if (record.offset < cursor) continue
    if (record.offset > cursor) break
    const payload = parse(record)
    const step = stepOf(payload, record, revision)
    const next = step && applyStep(revision, step)
    if (step !== undefined && next !== undefined) steps.push(step)
    revision = next ?? revision
    snapshotAt = snapshotTime(payload, record, snapshotAt)
    cursor = record.offset + 1
  }
  return { fold: { revision, cursor, anchored: true, snapshotAt }, steps }
}

/** A snapshot is true at `through`; with the records after it still kept, the fold can go on from there. */
const anchorOf = (record: LogRecord, first: number, floor: number): Fold | undefined => {
  const payload = parse(record)
  if (payload?.kind !== 'snapshot' || payload.through + 1 < first) return undefined
  const { lines, history, through } = payload
  const version = history[history.length - 1].version
  if (version < floor) return undefined
  return { revision: { version, lines, history }, cursor: through + 1, anchored: true, snapshotAt: record.at }
}

const seekAnchor = (fold: Fold, { records, first }: Page): Fold => {
  let cursor = fold.cursor
  for (const record of records) {
    if (record.offset < cursor) continue
    if (record.offset > cursor) break
    const anchor = anchorOf(record, first, fold.revision.version)
    if (anchor !== undefined) return anchor
    cursor = record.offset + 1
  }
  return { ...fold, cursor }
}

/**
 * Folds a page. Records before the cursor are skipped; a page that does not
 * reach the cursor changes nothing.
 *
 * @param fold - the reader's place
 * @param page - records in order of offset
 * @returns the new place, never with a lower version
 */
export const foldPage = (fold: Fold, page: Page): FoldResult => {
  const start: Fold = page.first > fold.cursor ? { ...fold, cursor: page.first, anchored: false } : fold
  if (start.anchored) return foldAnchored(start, page.records)
  return { fold: seekAnchor(start, page), steps: [] }
}

/**
 * Takes over a revision that a peer had in force.
 *
 * @param fold - the reader's place
 * @param revision - the peer's revision
 * @param through - the last offset that the peer had folded, at least that of the revision's own record
 * @returns the new place, never with a lower version
 */
export const takeRevision = (fold: Fold, revision: Revision, through: number): Fold => {
  if (revision.version < fold.revision.version) return fold
  if (revision.version === fold.revision.version && fold.anchored && through < fold.cursor) return fold
  return { ...fold, revision, cursor: through + 1, anchored: true }
}
