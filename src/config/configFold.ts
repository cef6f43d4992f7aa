/**
 * The fold (reducer) over the `config` stream, which turns log records into a
 * revision. A publish is accepted if and only if it names the current version
 * as its base and its patch applies to that text. The rules themselves are not
 * interpreted, so readers of every software version accept the same publishes.
 * Snapshots never change the version of a reader that has folded all records
 * before them; they let a reader start in the middle of the stream.
 */
import { applyPatch } from './configPatch.js'
import { configRecordSchema } from './configTypes.js'
import type { ConfigRecord, Patch, Publication, Revision } from './configTypes.js'
import type { LogRecord } from '../ports/logPort.js'

/** Maximum number of accepted publishes kept in a revision's history. */
export const maxHistory = 256
/** Maximum number of offsets between the state in a snapshot and the snapshot record itself; with more, the snapshot counts as late and does not update `snapshotAt`. */
const maxSnapshotLag = 1000

/** A reader's revision and its position in the stream. */
export interface FoldState {
  readonly revision: Revision
  /** The next offset to read. */
  readonly cursor: number
  /** Whether every record before `cursor` is accounted for in `revision`. False once records expired before they were read; the reader then needs a snapshot or a peer's revision to resume from. */
  readonly anchored: boolean
  /** Log timestamp of the newest snapshot read, in ms, or of the first record if no snapshot was read. */
  readonly snapshotAt?: number
}

/** An accepted publish with its patch: the change from one version to the next. */
export interface VersionStep {
  readonly patch: Patch
  readonly publication: Publication
}

/** A page of log records. */
export interface LogPage {
  /** Records in ascending order of offset. */
  readonly records: readonly LogRecord[]
  /** The earliest offset that the log still retains. */
  readonly first: number
}

/** Result of folding a page. */
export interface FoldResult {
  readonly fold: FoldState
  /** The publishes of this page that were accepted, in ascending order. */
  readonly steps: readonly VersionStep[]
}

/** The fold state before the first record of the stream. */
export const initialFoldState: FoldState = { revision: { version: 0, lines: [], history: [] }, cursor: 0, anchored: true }

/**
 * Applies an accepted publish to a revision.
 *
 * @param revision - the current revision
 * @param step - the accepted publish
 * @returns the next revision, or undefined if the step's version is not the next one or its patch does not apply
 */
export const applyStep = (revision: Revision, step: VersionStep): Revision | undefined => {
  if (step.publication.version !== revision.version + 1) return undefined
  const lines = applyPatch(revision.lines, step.patch)
  return lines && {
    version: step.publication.version,
    lines,
    history: [...revision.history, step.publication].slice(-maxHistory)
  }
}

const parsePayload = (record: LogRecord): ConfigRecord | undefined => configRecordSchema.safeParse(record.payload).data

const stepFromRecord = (payload: ConfigRecord | undefined, record: LogRecord, revision: Revision): VersionStep | undefined => {
  if (payload?.kind !== 'publish' || payload.base !== revision.version) return undefined
  const { id, publisher, patch } = payload
  return { patch, publication: { version: payload.base + 1, id, publisher, at: record.at, offset: record.offset } }
}

const nextSnapshotAt = (payload: ConfigRecord | undefined, record: LogRecord, previous: number | undefined): number | undefined => {
  if (payload?.kind === 'snapshot' && record.offset - payload.through <= maxSnapshotLag) return Math.max(previous ?? -Infinity, record.at)
  return previous ?? record.at
}

const foldAnchored = (fold: FoldState, records: readonly LogRecord[]): FoldResult => {
  const steps: VersionStep[] = []
  let { revision, cursor, snapshotAt } = fold
  for (const record of records) {
    if (record.offset < cursor) continue
    if (record.offset > cursor) break
    const payload = parsePayload(record)
    const step = stepFromRecord(payload, record, revision)
    const next = step && applyStep(revision, step)
    if (step !== undefined && next !== undefined) steps.push(step)
    revision = next ?? revision
    snapshotAt = nextSnapshotAt(payload, record, snapshotAt)
    cursor = record.offset + 1
  }
  return { fold: { revision, cursor, anchored: true, snapshotAt }, steps }
}

/** Returns the fold state that a snapshot describes, or undefined if records after `through` have expired or its version is below `minVersion`. The fold continues at `through + 1`. */
const stateFromSnapshot = (record: LogRecord, first: number, minVersion: number): FoldState | undefined => {
  const payload = parsePayload(record)
  if (payload?.kind !== 'snapshot' || payload.through + 1 < first) return undefined
  const { lines, history, through } = payload
  const version = history[history.length - 1].version
  if (version < minVersion) return undefined
  return { revision: { version, lines, history }, cursor: through + 1, anchored: true, snapshotAt: record.at }
}

const findAnchor = (fold: FoldState, { records, first }: LogPage): FoldState => {
  let cursor = fold.cursor
  for (const record of records) {
    if (record.offset < cursor) continue
    if (record.offset > cursor) break
    const anchor = stateFromSnapshot(record, first, fold.revision.version)
    if (anchor !== undefined) return anchor
    cursor = record.offset + 1
  }
  return { ...fold, cursor }
}

/**
 * Folds a page of records. Records before the cursor are skipped, and folding
 * stops at a gap in the offsets. A reader whose next record has expired keeps
 * its version and searches the page for a snapshot to resume from.
 *
 * @param fold - the reader's fold state
 * @param page - the page, with records in ascending order of offset
 * @returns the new fold state, whose version is never lower, and the accepted publishes
 */
export const foldPage = (fold: FoldState, page: LogPage): FoldResult => {
  const start: FoldState = page.first > fold.cursor ? { ...fold, cursor: page.first, anchored: false } : fold
  if (start.anchored) return foldAnchored(start, page.records)
  return { fold: findAnchor(start, page), steps: [] }
}

/**
 * Adopts a revision received from a peer.
 *
 * @param fold - the reader's fold state
 * @param revision - the peer's revision
 * @param through - the last offset that the peer had folded, at least that of the record that made the revision
 * @returns the new fold state, whose version is never lower
 */
export const adoptRevision = (fold: FoldState, revision: Revision, through: number): FoldState => {
  if (revision.version < fold.revision.version) return fold
  if (revision.version === fold.revision.version && fold.anchored && through < fold.cursor) return fold
  return { ...fold, revision, cursor: through + 1, anchored: true }
}
