import { encode } from 'cbor-x'
import type { StreamStoreEffect } from '../ports/feedPort.js'
import type { StreamOrigin } from './streamOriginsTypes.js'
import { createStreamRecorder } from './streamRecorder.js'
import { buildStreamRecord, readStreamRecords, type StreamRecord } from './streamRecords.js'

const wall = 1_000_000
const origin = (version: string, workspace = 'listings'): StreamOrigin => ({ service: 'model', workspace, version, worker: 'w1', startedAt: 5 })
const both = [{ service: 'model', versions: ['v1', 'v2'] }]
const build = (streams: readonly (readonly [string, StreamOrigin])[], at = wall, services = both) => buildStreamRecord(streams, services, at)

describe('a record of streams', () => {
  it('states where they began and which versions ran', () => {
    const { record } = build([['s1', origin('v1')], ['s2', origin('v2')], ['s3', origin('v1')]])
    expect(record.origins).toHaveLength(2)
    const { origins, versions } = readStreamRecords([record], wall + 19_000)
    expect(origins.get('s3')).toEqual({ service: 'model', workspace: 'listings', version: 'v1' })
    expect(versions.get('model')).toEqual(new Set(['v1', 'v2']))
  })

  it('stays under 256 KiB, and leaves the rest for the next one', () => {
    const streams = Array.from({ length: 9_000 }, (_, index): [string, StreamOrigin] => [`${index}`.padStart(36, 'ä'), origin('v1', `workspace${index}`)])
    const { record, included } = build(streams)
    expect(encode(record).length).toBeLessThan(262_144)
    expect(included.size).toBeGreaterThan(500)
    expect(included.size).toBeLessThan(streams.length)
  })

  it('stays under 256 KiB with many services and long versions', () => {
    const services = Array.from({ length: 1_000 }, (_, index) => ({ service: `service${index}`, versions: ['x'.repeat(65_536), 'y', 'z'] }))
    const streams = Array.from({ length: 9_000 }, (_, index): [string, StreamOrigin] => [`stream${index}`.padEnd(60, 'x'), origin('v1')])
    expect(encode(build(streams, wall, services).record).length).toBeLessThan(262_144)
  })

  // A store that was restored from an older copy, or a clock that has jumped, must not bring back old streams.
  it('is ignored if it is old, but its last word on the versions counts for longer', () => {
    const { record } = build([['s1', origin('v1')]])
    const old = readStreamRecords([record], wall + 20_000)
    expect(old.origins.size).toBe(0)
    expect(old.versions.get('model')?.size).toBe(2)
    expect(readStreamRecords([record], wall + 600_000).versions.size).toBe(0)
    const closed = build([], wall + 20_000, [{ service: 'model', versions: ['v2'] }]).record
    expect(readStreamRecords([record, closed], wall + 21_000).versions.size).toBe(0)
  })

  it('proves nothing of a stream that another record says began elsewhere', () => {
    const records = [build([['s1', origin('v1')], ['s2', origin('v1')]]).record, build([['s1', origin('v2')], ['s2', origin('v1')]]).record]
    expect([...readStreamRecords(records, wall).origins.keys()]).toEqual(['s2'])
  })

  it.each<[string, unknown]>([
    ['undecodable', undefined],
    ['of another shape', { at: 'now' }],
    ['with a time that is no number', { ...build([]).record, at: NaN }],
    ['with an index beyond its origins', { ...build([]).record, streams: [['s1', 0]] }],
    ['with a negative index', { ...build([['s1', origin('v1')]]).record, streams: [['s1', -1]] }]
  ])('is skipped if it is %s', (_case, value) => {
    const read = readStreamRecords([value, build([['s2', origin('v1')]]).record], wall)
    expect(read.malformed).toBe(1)
    expect([...read.origins.keys()]).toEqual(['s2'])
  })

  it('reads each origin and each version once, however often a record of another writer names them: one of 140 KB held an instance for 30 s', () => {
    const written = jest.spyOn(JSON, 'stringify')
    const origins = [{ service: 's', version: '1' }, { service: 's', version: '1', worker: 'w' }, { service: 's', version: '2' }]
    const streams = Array.from({ length: 1_000 }, (_, index) => [index < 999 ? 'a' : 'b', index % 2])
    const read = readStreamRecords([{ at: 0, services: [], origins, streams }, { at: 0, services: [], origins, streams: [['b', 2]] }], 1)
    const calls = written.mock.calls.length
    written.mockRestore()
    expect(calls).toBeLessThanOrEqual(2 * origins.length)
    expect([...read.origins.keys()]).toEqual(['a'])
  })

  it('collects the versions of a service without copying those before: a record that named one 8,000 times held an instance for 8 s', () => {
    const services = Array.from({ length: 50 }, (_, index) => ({ service: 's', versions: [`${index}a`, `${index}b`] }))
    const iterated = jest.spyOn(Set.prototype, Symbol.iterator as never)
    const { versions } = readStreamRecords([{ at: 0, services, origins: [], streams: [] }], 1)
    const calls = iterated.mock.calls.length
    iterated.mockRestore()
    expect(versions.get('s')?.size).toBe(100)
    expect(calls).toBeLessThan(10)
  })
})

const buildRecorder = () => {
  const records: StreamRecord[] = []
  const logged: string[] = []
  const recorder = createStreamRecorder({
    emit: (effect: StreamStoreEffect) => { if (effect.kind === 'streams.append') records.push(effect.record as StreamRecord) },
    log: ({ kind }) => logged.push(kind)
  })
  const tick = (now: number, services = both): void => recorder.tick(true, services, () => ['v2'], { steady: now, wall: wall + now })
  const recorded = (): readonly string[] => records.flatMap(({ streams }) => streams.map(([stream]) => stream))
  return { recorder, records, logged, tick, recorded }
}

describe('the recorder of streams', () => {
  it('appends at most one record each 200 ms, and none while one version runs', () => {
    const { recorder, records, tick } = buildRecorder()
    for (let now = 0; now < 10_000; now += 20) tick(now, [])
    expect(records).toEqual([])
    for (let now = 10_000; now < 20_000; now += 20) {
      recorder.add([[`s${now}`, origin('v1')]])
      tick(now)
      recorder.answer(true, now)
    }
    expect(records.length).toBeLessThanOrEqual(50)
    expect(recorder.pending()).toBeLessThan(10)
  })

  it('repeats what the store did not accept, and logs that once', () => {
    const { recorder, logged, tick, recorded } = buildRecorder()
    recorder.add([['s1', origin('v1')]])
    for (let now = 0; now < 5_000; now += 20) {
      tick(now)
      recorder.answer(now >= 4_000, now)
    }
    expect(recorded().length).toBeGreaterThanOrEqual(4)
    expect(recorder.pending()).toBe(0)
    expect(logged).toEqual(['streamsNotRecorded', 'streamsRecorded'])
  })

  it('repeats the newest streams and the versions when the store was restored from a copy', () => {
    const { recorder, records, tick, recorded } = buildRecorder()
    recorder.add([['s1', origin('v1')]])
    tick(0)
    recorder.answer(true, 10)
    recorder.restored(1_000)
    tick(1_000)
    expect(recorded()).toEqual(['s1', 's1'])
    expect(records.at(-1)?.services).toEqual(both)
  })

  it('records versions without streams, and that a service has ceased to run several', () => {
    const { recorder, records, tick } = buildRecorder()
    for (let now = 0; now < 20_000; now += 200) {
      tick(now)
      recorder.answer(true, now)
    }
    expect(records.length).toBe(4)
    tick(20_000, [])
    recorder.answer(false, 20_000)
    tick(21_000, [])
    recorder.answer(true, 21_000)
    tick(40_000, [])
    expect(records.slice(4).map(({ services }) => services)).toEqual([[{ service: 'model', versions: ['v2'] }], [{ service: 'model', versions: ['v2'] }]])
  })

  it('leaves out a stream with an overlong id', () => {
    const { recorder } = buildRecorder()
    recorder.add([['x'.repeat(65_536), origin('v1')]])
    expect(recorder.pending()).toBe(0)
  })
})
