import { buildWorker } from '../../test/fixtures/forwarding.js'
import { createWorkersDb } from './workersDb.js'

const present = (id: string, over = {}) => ({ kind: 'present', worker: buildWorker(id, over) } as const)
const absent = (id: string) => ({ kind: 'absent', id } as const)

describe('the list of workers', () => {
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
