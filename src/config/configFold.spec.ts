import fc from 'fast-check'
import { adoptRevision, foldPage, initialFoldState } from './configFold.js'
import { applyPatch, diffLines } from './configPatch.js'
import type { FoldState } from './configFold.js'
import type { LogRecord } from '../ports/logPort.js'

const publish = (offset: number, id: string, base: number, line: string): LogRecord => ({
  offset, at: offset * 1000, payload: { kind: 'publish', id, base, publisher: id, patch: [{ at: 0, remove: base === 0 ? 0 : 1, insert: [line] }] }
})

const snapshot = (offset: number, version: number, through: number): LogRecord => ({
  offset,
  at: offset * 1000,
  payload: { kind: 'snapshot', lines: [`v${version}`], through, history: [{ version, id: `p${version}`, publisher: `p${version}`, at: 0, offset: through }] }
})

const foldAll = (records: readonly LogRecord[], first = 0): FoldState => {
  let fold = initialFoldState
  for (let page = 0; page < 4; page++) fold = foldPage(fold, { records: records.filter(record => record.offset >= Math.max(fold.cursor, first)), first }).fold
  return fold
}

describe('configuration patch', () => {
  it('turns any text into any other text when applied', () => {
    const text = fc.array(fc.constantFrom('a', 'b', 'c', 'd', ''), { maxLength: 30 })
    fc.assert(fc.property(text, text, (before, after) => {
      expect(applyPatch(before, diffLines(before, after))).toEqual(after)
    }), { seed: 1, numRuns: 300 })
  })

  it('replaces the whole range when nearly every line differs', () => {
    const before = Array.from({ length: 900 }, (_, index) => `a${index}`)
    const after = Array.from({ length: 900 }, (_, index) => `b${index}`)
    expect(diffLines(before, after)).toEqual([{ at: 0, remove: 900, insert: after }])
  })

  it('contains only the lines that differ', () => {
    const before = Array.from({ length: 10_000 }, (_, index) => `line ${index}`)
    const after = before.with(10, 'x').with(9000, 'y')
    expect(diffLines(before, after)).toEqual([{ at: 10, remove: 1, insert: ['x'] }, { at: 9000, remove: 1, insert: ['y'] }])
  })

  it('is rejected if hunks overlap or reach beyond the text', () => {
    expect(applyPatch(['a'], [{ at: 1, remove: 1, insert: [] }])).toBeUndefined()
    expect(applyPatch(['a', 'b'], [{ at: 1, remove: 1, insert: [] }, { at: 0, remove: 1, insert: [] }])).toBeUndefined()
  })
})

describe('configuration fold', () => {
  const publishes = [publish(0, 'p1', 0, 'v1'), publish(1, 'p2', 1, 'v2'), publish(2, 'late', 1, 'lost'), publish(3, 'p2', 1, 'v2'), publish(4, 'p3', 2, 'v3')]

  it('accepts exactly one publish for each base', () => {
    const fold = foldAll(publishes)
    expect(fold.revision).toMatchObject({ version: 3, lines: ['v3'] })
    expect(fold.revision.history.map(({ id }) => id)).toEqual(['p1', 'p2', 'p3'])
  })

  it('ignores records of unknown kinds and patches that do not apply', () => {
    const unreadable: LogRecord[] = [
      { offset: 0, at: 0, payload: { kind: 'merge', from: 7 } },
      { offset: 1, at: 0, payload: { kind: 'publish', id: 'x', base: 0, publisher: 'x', patch: [{ at: 5, remove: 1, insert: [] }] } },
      publish(2, 'p1', 0, 'v1')
    ]
    expect(foldAll(unreadable)).toMatchObject({ cursor: 3, revision: { version: 1 } })
  })

  it('never lowers the version because of a snapshot of an older version', () => {
    const records = [...publishes, snapshot(5, 1, 0), snapshot(6, 2, 1)]
    expect(foldAll(records)).toMatchObject({ cursor: 7, revision: { version: 3 } })
  })

  it('starts from a snapshot and folds the records between the snapshot\'s state and the snapshot', () => {
    const records = [publish(0, 'p1', 0, 'v1'), publish(1, 'p2', 1, 'v2'), publish(2, 'p3', 2, 'v3'), snapshot(3, 2, 1), publish(4, 'p4', 3, 'v4')]
    expect(foldAll(records, 2)).toMatchObject({ anchored: true, cursor: 5, revision: { version: 4, lines: ['v4'] } })
  })

  it('does not start from a snapshot if records after the snapshot\'s state have expired', () => {
    const records = [publish(0, 'p1', 0, 'v1'), publish(1, 'p2', 1, 'v2'), publish(2, 'p3', 2, 'v3'), snapshot(3, 1, 0)]
    expect(foldAll(records, 3)).toMatchObject({ anchored: false, revision: { version: 0 } })
  })

  it('ignores a page that starts after the cursor and records that are already folded', () => {
    const fold = foldPage(initialFoldState, { records: publishes.slice(1), first: 0 }).fold
    expect(fold.cursor).toBe(0)
    const all = foldAll(publishes)
    expect(foldPage(all, { records: publishes, first: 0 })).toEqual({ fold: all, steps: [] })
  })

  it('adopts a peer\'s revision with a higher version and ignores one with a lower version', () => {
    const fold = foldAll(publishes)
    const lower = { version: 2, lines: ['v2'], history: [] }
    expect(adoptRevision(fold, lower, 9)).toBe(fold)
    expect(adoptRevision(fold, { ...lower, version: 5 }, 9)).toMatchObject({ cursor: 10, anchored: true, revision: { version: 5 } })
  })
})
