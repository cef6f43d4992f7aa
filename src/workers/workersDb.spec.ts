import { buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import { createWorkersDb } from './workersDb.js'

const present = (id: string, over = {}) => ({ kind: 'present', worker: buildWorker(id, over) } as const)
const absent = (id: string) => ({ kind: 'absent', id } as const)

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

describe('the list of workers', () => {
  it('takes over the conclusions of an instance that reads the source, and then has the same digest', () => {
    const reader = createWorkersDb()
    const other = createWorkersDb()
    reader.apply([present('a'), present('b')], true, 0)
    expect(other.digest(hash)).not.toBe(reader.digest(hash))
    expect(other.applyFromPeer([present('a'), present('b')]).map(({ kind }) => kind)).toEqual(['joined', 'joined'])
    expect(other.digest(hash)).toBe(reader.digest(hash))
    reader.apply([present('a', { state: 'draining' }), absent('b')], false, 500)
    expect(other.digest(hash)).not.toBe(reader.digest(hash))
    other.applyFromPeer([present('a', { state: 'draining' }), absent('b')])
    expect(other.live('desk')).toEqual([])
    expect(other.digest(hash)).toBe(reader.digest(hash))
  })

  it('does not go back to an earlier lifetime that an instance behind tells of', () => {
    const db = createWorkersDb()
    db.applyFromPeer([present('a', { startedAt: 2 })])
    expect(db.applyFromPeer([present('a', { startedAt: 1 })])).toEqual([])
    expect(db.get('a')?.startedAt).toBe(2)
  })

  it('gives no grace to those that lapsed while others read the source', () => {
    const db = createWorkersDb()
    db.applyFromPeer([present('a')])
    for (let now = 0; now <= 60_000; now += 500) db.noteRead(now)
    expect(db.apply([], true, 60_400).map(({ kind }) => kind)).toEqual(['left'])
  })

  it('says of an update whether it makes a difference', () => {
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

  it('notices that a worker came back under its old name', () => {
    const db = createWorkersDb()
    db.apply([present('a')], false, 0)
    expect(db.apply([present('a', { startedAt: 2 })], false, 800).map(({ kind }) => kind)).toEqual(['restarted'])
  })

  it('keeps workers that lapsed while the source was away for two seconds after its return', () => {
    const db = createWorkersDb()
    db.apply([present('a'), present('b')], true, 0)
    expect(db.apply([absent('a')], false, 10_000).map(({ kind }) => kind)).toEqual(['lapsed'])
    expect(db.live('desk')).toHaveLength(2)
    db.apply([present('a')], false, 11_000)
    db.apply([], false, 11_800)
    expect(db.expire(12_100)).toEqual([])
    expect(db.live('desk')).toHaveLength(2)
  })

  it('takes those that do not come back as gone', () => {
    const db = createWorkersDb()
    db.apply([present('a')], true, 0)
    db.apply([], true, 10_000)
    expect(db.expire(11_900)).toEqual([])
    expect(db.expire(12_000).map(({ kind }) => kind)).toEqual(['left'])
    expect(db.live('desk')).toEqual([])
  })

  it('removes a draining worker at once, also after the source was away', () => {
    const db = createWorkersDb()
    db.apply([present('a', { state: 'draining' })], true, 0)
    expect(db.apply([absent('a')], false, 10_000).map(({ kind }) => kind)).toEqual(['left'])
  })
})
