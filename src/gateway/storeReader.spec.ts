import type { ReadingSituation } from '../fleet/reading.js'
import type { FeedEffect } from '../ports/feedPort.js'
import { createStoreReader } from './storeReader.js'

const build = () => {
  const effects: FeedEffect[] = []
  const reach: boolean[] = []
  const situation: { now: ReadingSituation } = { now: { size: 60, readersBefore: 3, proofAge: 100, holding: false } }
  const reading = createStoreReader({
    situation: () => situation.now,
    digest: () => 7,
    emit: effect => effects.push(effect),
    onModeChange: () => { /* Not looked at. */ },
    onPartStoreReachable: inReach => reach.push(inReach),
    onWorkersRead: () => { /* Not looked at. */ }
  })
  reading.tick({ steady: 0, wall: 0 })
  return { reading, effects, reach, situation, repairs: () => effects.filter(({ kind }) => kind === 'workers.read').length }
}

const state = (workers: number) => ({ workers, partStore: true, silent: [] })

describe('an instance for which others read', () => {
  it('says so once', () => {
    const { reading, effects } = build()
    reading.tick({ steady: 200, wall: 200 })
    expect(effects).toEqual([{ kind: 'store.read', reading: 'throughPeers' }])
  })

  it('reads all workers once when it has disagreed with the others for a second', () => {
    const { reading, repairs } = build()
    for (let now = 0; now <= 900; now += 100) reading.handleReaderState(state(8), now)
    expect(repairs()).toBe(0)
    for (let now = 1_000; now <= 2_000; now += 100) reading.handleReaderState(state(8), now)
    expect(repairs()).toBe(1)
  })

  it('reads nothing while one of the others believes the same', () => {
    const { reading, repairs } = build()
    for (let now = 0; now <= 9_000; now += 100) reading.handleReaderState(state(now % 500 === 0 ? 7 : 8), now)
    expect(repairs()).toBe(0)
  })

  it('hears whether the part store is in reach', () => {
    const { reading, reach } = build()
    reading.handleReaderState({ workers: 7, partStore: false, silent: [] }, 100)
    reading.handleReaderState({ workers: 7, partStore: true, silent: [] }, 200)
    expect(reach).toEqual([false, true])
  })

  it('turns to the store itself when their proofs get old', () => {
    const { reading, effects, situation } = build()
    situation.now = { ...situation.now, proofAge: 2_700 }
    reading.tick({ steady: 200, wall: 200 })
    expect(effects.at(-1)).toEqual({ kind: 'store.read', reading: 'inReserve' })
  })
})
