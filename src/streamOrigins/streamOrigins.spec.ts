import { buildWorker } from '../../test/fixtures/forwarding.js'
import type { Moment } from '../lease/readLease.js'
import type { StreamMessage } from './streamLookups.js'
import { createStreamOrigins, type StreamOrigins } from './streamOrigins.js'
import { buildStreamRecord } from './streamRecords.js'
import { versionMemory } from './versionHistory.js'

const at = (steady: number): Moment => ({ steady, wall: steady + 1_000_000 })

/** Instances that deliver each other's messages at once, unless these are held back. */
const buildInstances = (ids: readonly string[], records: readonly unknown[] = []) => {
  const origins = new Map<string, StreamOrigins>()
  const sent: StreamMessage[] = []
  const cutOff = new Set<string>()
  const reads: number[] = []
  let now = 0
  let observed: readonly (string | undefined)[] | undefined
  for (const self of ids) {
    origins.set(self, createStreamOrigins({
      self,
      keepersOf: (_stream, count) => ids.slice(-count),
      hasPeers: () => ids.length > 1,
      liveShare: () => cutOff.has(self) ? 1 / ids.length : 1,
      send: (to, message) => {
        sent.push(message)
        if (!cutOff.has(self) && !cutOff.has(to)) origins.get(to)?.receive(self, message, now)
      },
      recorder: () => ids[0],
      emit: effect => {
        if (effect.kind !== 'streams.read') return
        reads.push(now)
        origins.get(self)?.handleStore({ kind: 'streams.records', records }, at(now))
      },
      log: () => { /* Not checked. */ },
      onAnswer: () => { /* The test looks it up again. */ }
    }))
  }
  /** Observes these workers at a time, and the ones of before every second until then. */
  const observe = (versions: readonly (string | undefined)[], time: number): void => {
    if (observed !== undefined && time - now > 1_000) observe(observed, now + 1_000)
    if (observed !== undefined && time - now > 1_000) return observe(versions, time)
    observed = versions
    now = time
    const workers = versions.map((softwareVersion, index) => buildWorker(`w${index}`, { service: 'model', softwareVersion, startedAt: 1_000_000 }))
    for (const instance of origins.values()) instance.observe(workers, at(time))
  }
  const lookUp = (instance: string, stream: string | undefined, workspace?: string) => {
    const resumption = { stream, service: 'model', workspace }
    const first = origins.get(instance)?.lookUp(resumption, now)
    return first?.kind === 'asked' ? origins.get(instance)?.lookUp(resumption, now) : first
  }
  const begin = (instance: string, stream: string, version: string | undefined, workspace?: string): void =>
    origins.get(instance)?.begin(stream, { service: 'model', worker: 'w0', startedAt: 1_000_000, ...(version === undefined ? {} : { version }), ...(workspace === undefined ? {} : { workspace }) }, now)
  return { origins, sent, cutOff, reads, observe, lookUp, begin, wait: (time: number) => { now = time } }
}

const ids = ['a', 'b', 'c', 'd', 'e']
const late = versionMemory + 15_000

describe('where a stream began', () => {
  it('is known at another instance after the first one is gone, while a service runs several versions', () => {
    const { observe, begin, lookUp, cutOff } = buildInstances(ids)
    observe(['v1', 'v2'], 0)
    begin('a', 's1', 'v2')
    cutOff.add('a')
    expect(lookUp('b', 's1')).toMatchObject({ kind: 'known', origin: { version: 'v2' } })
  })

  it('costs no message while a service has run one version for long, and follows from that', () => {
    const { observe, begin, lookUp, sent } = buildInstances(ids)
    observe(['v1'], 0)
    observe(['v1'], late)
    begin('a', 's1', 'v1')
    expect(sent).toEqual([])
    expect(lookUp('b', 's1')).toEqual({ kind: 'known', origin: { service: 'model', version: 'v1' } })
    expect(lookUp('b', undefined)).toMatchObject({ kind: 'known' })
  })

  it('is told of streams in progress when a second version appears', () => {
    const { observe, begin, lookUp, cutOff } = buildInstances(ids)
    observe(['v1'], 0)
    observe(['v1'], late)
    begin('a', 's1', 'v1')
    observe(['v1', 'v2'], late + 300)
    cutOff.add('a')
    expect(lookUp('b', 's1')).toMatchObject({ kind: 'known', origin: { version: 'v1' } })
  })

  it('stays unknown if several versions are in use and no instance knows it, or if it belongs to another workspace', () => {
    const { observe, begin, lookUp } = buildInstances(ids)
    observe(['v1', 'v2'], 0)
    begin('a', 's1', 'v1', 'listings')
    expect(lookUp('b', 'never-begun')).toEqual({ kind: 'unknown' })
    expect(lookUp('b', undefined)).toEqual({ kind: 'unknown' })
    expect(lookUp('b', 's1', 'sales')).toEqual({ kind: 'unknown' })
    expect(lookUp('a', 's1', 'sales')).toEqual({ kind: 'unknown' })
    expect(lookUp('b', 's1', 'listings')).toMatchObject({ kind: 'known' })
  })

  it('stays unknown to an instance that reaches no other, whatever it has seen itself', () => {
    const { observe, cutOff, origins, wait } = buildInstances(ids)
    observe(['v1'], 0)
    observe(['v1'], late)
    cutOff.add('a')
    const resumption = { stream: 's1', service: 'model', workspace: undefined }
    expect(origins.get('a')?.lookUp(resumption, late)).toEqual({ kind: 'asked' })
    wait(late + 260)
    expect(origins.get('a')?.lookUp(resumption, late + 260)).toEqual({ kind: 'unknown' })
  })

  it('is looked up in the store, few times for many streams, if most of the instances that were asked do not answer', () => {
    const { observe, lookUp, cutOff, reads, wait } = buildInstances(ids)
    observe(['v1'], 0)
    observe(['v1'], late)
    cutOff.add('c')
    cutOff.add('d')
    const streams = Array.from({ length: 10 }, (_, index) => `s${index}`)
    const results = new Map<string, unknown>()
    for (let time = 0; time <= 1_200; time += 20) {
      wait(late + time)
      for (const stream of streams.slice(0, time / 20 + 1)) {
        if (!results.has(stream)) {
          const result = lookUp('a', stream)
          if (result?.kind !== 'asked') results.set(stream, result)
        }
      }
    }
    expect([...results.values()]).toEqual(streams.map(() => ({ kind: 'known', origin: { service: 'model', version: 'v1' } })))
    expect(reads.length).toBeGreaterThan(0)
    expect(reads.length).toBeLessThanOrEqual(3)
  })

  it('stays unknown while every instance has just started and a worker has, too', () => {
    const { observe, lookUp } = buildInstances(ids)
    observe(['v1'], 5_000)
    expect(lookUp('b', 's1')).toEqual({ kind: 'unknown' })
  })

  it('is the only version in use if instances have just started before workers that have run for long', () => {
    const { observe, lookUp } = buildInstances(ids)
    observe(['v1'], versionMemory + 100)
    expect(lookUp('b', 's1')).toMatchObject({ kind: 'known', origin: { version: 'v1' } })
  })

  // Workers of both versions ran side by side for long, so that those that are left started long ago.
  it('stays unknown if all instances have just started and the workers of another version have just left, by the records', () => {
    const record = buildStreamRecord([['s2', { service: 'model', version: 'v1' }]], [{ service: 'model', versions: ['v1', 'v2'] }], at(versionMemory).wall).record
    const { observe, lookUp } = buildInstances(ids, [record])
    observe(['v2'], versionMemory + 100)
    expect(lookUp('b', 's1')).toEqual({ kind: 'unknown' })
    expect(lookUp('b', 's2')).toMatchObject({ kind: 'known', origin: { version: 'v1' } })
    expect(lookUp('b', 's2', 'sales')).toEqual({ kind: 'unknown' })
  })

  it('stays unknown if a record that may name another version cannot be decoded', () => {
    const { observe, lookUp } = buildInstances(ids, [undefined])
    observe(['v2'], versionMemory + 100)
    expect(lookUp('b', 's1')).toEqual({ kind: 'unknown' })
  })

  it('stays unknown if an instance has not seen the workers for a while', () => {
    const { origins, observe, lookUp } = buildInstances(['a'])
    observe(['v1'], 0)
    observe(['v1'], late)
    expect(lookUp('a', 's2')).toMatchObject({ kind: 'known' })
    origins.get('a')?.observe([buildWorker('w1', { service: 'model', softwareVersion: 'v2', startedAt: 1_000_000 + 2 * late })], at(late + versionMemory + 1_000))
    expect(origins.get('a')?.lookUp({ stream: 's1', service: 'model', workspace: undefined }, late + versionMemory + 1_100)).toEqual({ kind: 'unknown' })
  })

  it('is recorded again while the stream goes on, and at once by the next recorder', () => {
    let recorder = 'b'
    const sent: (readonly [string, StreamMessage])[] = []
    const instance = createStreamOrigins({ self: 'a', keepersOf: () => [], hasPeers: () => true, liveShare: () => 1, recorder: () => recorder, emit: () => {}, log: () => {}, send: (...message) => sent.push(message), onAnswer: () => {} })
    const run = (from: number, to: number): void => {
      for (let now = from; now < to; now += 200) instance.observe(['v1', 'v2'].map(softwareVersion => buildWorker(softwareVersion, { service: 'model', softwareVersion })), at(now))
    }
    run(0, 2_000)
    instance.begin('s1', { service: 'model', version: 'v1' }, 2_000)
    run(2_000, 12_400)
    expect(sent.filter(([to, { kind }]) => to === 'b' && kind === 'fleet.streams')).toHaveLength(3)
    recorder = 'c'
    run(12_400, 12_800)
    expect(sent.at(-1)).toMatchObject(['c', { kind: 'fleet.streams', record: true, streams: [{ id: 's1' }] }])
    instance.end('s1', true, 12_800)
    run(12_800, 30_000)
    expect(sent).toHaveLength(4)
  })

  it('is the same lifetime of a worker that reports no version, unless none of its service does', () => {
    const { observe, begin, lookUp, origins } = buildInstances(ids)
    const begun = buildWorker('w0', { service: 'model', startedAt: 1_000_000 })
    const other = buildWorker('w1', { service: 'model', startedAt: 1_000_000 })
    observe([undefined, 'v1'], 0)
    begin('a', 's1', undefined)
    const lookup = lookUp('b', 's1')
    const fits = (worker: typeof begun, now: number) => lookup?.kind === 'known' && origins.get('b')?.fits(lookup.origin, worker, now)
    expect(fits(begun, 0)).toBe(true)
    expect(fits(other, 0)).toBe(false)
    expect(fits({ ...begun, startedAt: 1_000_001 }, 0)).toBe(false)
    observe([undefined], 100)
    observe([undefined], versionMemory + 200)
    expect(fits(other, versionMemory + 200)).toBe(true)
  })
})
