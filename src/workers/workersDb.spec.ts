import { buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import { createWorkersDb } from './workersDb.js'

const present = (id: string, over = {}) => ({ kind: 'present', worker: buildWorker(id, over) } as const)
const absent = (id: string) => ({ kind: 'absent', id } as const)

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

describe('the list of workers', () => {
  it('applies the records of an instance that reads the source and then has the same digest', () => {
    const reader = createWorkersDb()
    const follower = createWorkersDb()
    reader.apply([present('a'), present('b')], true, 0)
    expect(follower.digest(hash)).not.toBe(reader.digest(hash))
    expect(follower.applyFromPeer([present('a'), present('b')]).map(({ kind }) => kind)).toEqual(['joined', 'joined'])
    expect(follower.digest(hash)).toBe(reader.digest(hash))
    reader.apply([present('a', { state: 'draining' }), absent('b')], false, 500)
    expect(follower.digest(hash)).not.toBe(reader.digest(hash))
    follower.applyFromPeer([present('a', { state: 'draining' }), absent('b')])
    expect(follower.live('desk')).toEqual([])
    expect(follower.digest(hash)).toBe(reader.digest(hash))
  })

  it('ignores an earlier lifetime of a worker in the records of an instance that is behind', () => {
    const db = createWorkersDb()
    db.applyFromPeer([present('a', { startedAt: 2 })])
    expect(db.applyFromPeer([present('a', { startedAt: 1 })])).toEqual([])
    expect(db.get('a')?.startedAt).toBe(2)
  })

  it('grants no grace period to entries that expired while other instances read the source', () => {
    const db = createWorkersDb()
    db.applyFromPeer([present('a')])
    for (let now = 0; now <= 60_000; now += 500) db.noteRead(now)
    expect(db.apply([], true, 60_400).map(({ kind }) => kind)).toEqual(['left'])
  })

  it('reports whether an update changes a property that users of the worker depend on', () => {
    const db = createWorkersDb()
    db.apply([present('a', { models: [{ name: 'llm', version: 1 }] })], false, 0)
    expect(db.apply([present('a', { models: [{ name: 'llm', version: 1 }] })], false, 1)).toMatchObject([{ kind: 'updated', differs: false }])
    expect(db.apply([present('a', { models: [{ name: 'llm', version: 2 }] })], false, 2)).toMatchObject([{ kind: 'updated', differs: true }])
  })

  it('adds, drains and removes workers', () => {
    const db = createWorkersDb()
    expect(db.apply([present('a')], false, 0).map(({ kind }) => kind)).toEqual(['joined'])
    expect(db.apply([present('a', { state: 'draining' })], false, 800).map(({ kind }) => kind)).toEqual(['draining'])
    expect(db.live('desk')).toEqual([])
    expect(db.apply([absent('a')], false, 1_600).map(({ kind }) => kind)).toEqual(['left'])
  })

  it('reports a restart when a worker returns under its old id with a later start', () => {
    const db = createWorkersDb()
    db.apply([present('a')], false, 0)
    expect(db.apply([present('a', { startedAt: 2 })], false, 800).map(({ kind }) => kind)).toEqual(['restarted'])
  })

  it('keeps workers whose entries expired during an outage of the source for two seconds after it', () => {
    const db = createWorkersDb()
    db.apply([present('a'), present('b')], true, 0)
    expect(db.apply([absent('a')], false, 10_000).map(({ kind }) => kind)).toEqual(['lapsed'])
    expect(db.live('desk')).toHaveLength(2)
    db.apply([present('a')], false, 11_000)
    db.apply([], false, 11_800)
    expect(db.expire(12_100)).toEqual([])
    expect(db.live('desk')).toHaveLength(2)
  })

  it('removes workers that do not return within the grace period', () => {
    const db = createWorkersDb()
    db.apply([present('a')], true, 0)
    db.apply([], true, 10_000)
    expect(db.expire(11_900)).toEqual([])
    expect(db.expire(12_000).map(({ kind }) => kind)).toEqual(['left'])
    expect(db.live('desk')).toEqual([])
  })

  it('removes a draining worker immediately, even after an outage of the source', () => {
    const db = createWorkersDb()
    db.apply([present('a', { state: 'draining' })], true, 0)
    expect(db.apply([absent('a')], false, 10_000).map(({ kind }) => kind)).toEqual(['left'])
  })

  it('does not make a draining worker live again when the source is restored from a copy', () => {
    const db = createWorkersDb()
    db.apply([present('a', { writes: 7 })], true, 0)
    db.apply([present('a', { writes: 9, state: 'draining' })], false, 800)
    db.noteOutage(1_600)
    expect(db.apply([present('a', { writes: 7 })], true, 1_600)).toEqual([])
    db.apply([present('a', { writes: 10 })], false, 2_400)
    expect(db.live('desk')).toEqual([])
  })

  it('does not bring back a worker that has left when the source is restored from a copy, unless it writes again', () => {
    const db = createWorkersDb()
    db.apply([present('a', { writes: 7 })], true, 0)
    db.apply([absent('a')], false, 800)
    db.noteOutage(1_600)
    expect(db.apply([present('a', { writes: 7 })], true, 1_600)).toEqual([])
    expect(db.apply([present('a', { writes: 8 })], false, 2_400).map(({ kind }) => kind)).toEqual(['joined'])
  })

  it('accepts a worker without a start time again after it has drained, left or stated that it is leaving, since it may have restarted', () => {
    const db = createWorkersDb()
    db.apply([present('a', { startedAt: 0, writes: 7, state: 'draining' }), present('b', { startedAt: 0, writes: 7 })], true, 0)
    db.noteLeaving('b', 0)
    db.apply([absent('b')], false, 800)
    db.apply([present('a', { startedAt: 0, writes: 1 }), present('b', { startedAt: 0, writes: 1 })], false, 1_600)
    expect(db.live('desk').map(({ id }) => id).sort()).toEqual(['a', 'b'])
  })

  it('keeps a worker that is missing from a restored source for two seconds', () => {
    const db = createWorkersDb()
    db.apply([present('a')], true, 0)
    db.noteOutage(800)
    expect(db.apply([], true, 800).map(({ kind }) => kind)).toEqual(['lapsed'])
    expect(db.live('desk')).toHaveLength(1)
    expect(db.expire(2_800).map(({ kind }) => kind)).toEqual(['left'])
  })

  it('gives no requests to a worker that stated that it is leaving, until it has restarted', () => {
    const db = createWorkersDb()
    db.apply([present('a'), present('b')], true, 0)
    const before = db.digest(hash)
    expect(db.noteLeaving('a', 1)).toBe(true)
    expect(db.noteLeaving('a', 1)).toBe(false)
    expect(db.live('desk').map(({ id }) => id)).toEqual(['b'])
    expect(db.digest(hash)).toBe(before)
    db.apply([present('a', { writes: 3 })], false, 800)
    expect(db.live('desk').map(({ id }) => id)).toEqual(['b'])
    db.apply([present('a', { startedAt: 2 })], false, 1_600)
    expect(db.live('desk')).toHaveLength(2)
  })
})
