import { loadHash } from '../hash.js'
import type { Hash } from '../hash.js'
import { createRandom } from '../random.js'
import { createFakeLog } from '../../test/fakes/fakeLog.js'
import type { FakeLog, LogFault } from '../../test/fakes/fakeLog.js'
import { createConfig } from './configMachine.js'
import type { Config, ConfigMachineEffect, ConfigMachineInput } from './configMachine.js'
import type { ConfigDigest } from './configMessages.js'
import type { PublishInput, PublishResult } from './configTypes.js'

let hash: Hash

beforeAll(async () => {
  hash = await loadHash()
})

/** One instance with the fake log answering at once. */
interface Bench {
  readonly config: Config
  readonly log: FakeLog
  readonly sent: ConfigMachineEffect[]
  readonly results: PublishResult[]
  readonly give: (input: ConfigMachineInput, now: number) => void
  readonly run: (from: number, to: number) => void
  fault: LogFault
}

const createBench = (log = createFakeLog(), self = 'n0'): Bench => {
  const config = createConfig({ self, hash, random: createRandom(hash.h32(self) | 0), retention: 3_600_000 })
  const bench: Bench = {
    config,
    log,
    sent: [],
    results: [],
    fault: 'none',
    give: (input, now) => {
      for (const effect of config.handle(input, now)) {
        if (effect.kind === 'log.append' || effect.kind === 'log.read') bench.give(log.perform(effect, now, bench.fault), now)
        if (effect.kind === 'peer.send') bench.sent.push(effect)
        if (effect.kind === 'config.published') bench.results.push(effect.result)
      }
    },
    run: (from, to) => {
      for (let now = from; now < to; now += 50) bench.give({ kind: 'tick' }, now)
    }
  }
  return bench
}

const text = (extra = ''): string => `workspace a # asked by Ann, A\nworkspace b # asked by Bob, B\n${extra}`

const publishing = (publishId: string, base: number, extra = '', more: Partial<PublishInput> = {}): PublishInput =>
  ({ kind: 'config.publish', request: 1, publishId, base, text: text(extra), publisher: publishId, ...more })

const digest = (version: number, answers: number): ConfigDigest =>
  ({ kind: 'config.digest', version, digest: '', cursor: 0, fresh: true, understood: true, snapshotAt: 0, ask: 0, answers })

const lastQuestion = (bench: Bench): number =>
  bench.sent.flatMap(effect => effect.kind === 'peer.send' && effect.message.kind === 'config.digest' ? [effect.message.ask] : [])
    .findLast(ask => ask > 0) ?? 0

describe('publishing', () => {
  it('accepts a publish and puts it in force', () => {
    const bench = createBench()
    bench.give(publishing('Ann', 0), 0)
    bench.run(0, 1000)
    expect(bench.results).toEqual([{ kind: 'accepted', version: 1 }])
    expect(bench.config.current()).toMatchObject({ version: 1, rulesetVersion: 1, publisher: 'Ann', text: text() })
    expect(bench.config.ready(1000)).toBe(true)
  })

  it('tells the loser of a race who won', () => {
    const log = createFakeLog()
    const [winner, loser] = [createBench(log, 'n0'), createBench(log, 'n1')]
    winner.give(publishing('Ann', 0), 0)
    winner.run(0, 500)
    loser.give(publishing('Bob', 0, 'deny workspace=b # asked by Bob, B\n'), 0)
    loser.run(0, 500)
    expect(loser.results).toEqual([{ kind: 'conflict', winner: 'Ann', version: 1 }])
  })

  it('resolves a lost answer by reading', () => {
    const bench = createBench()
    bench.run(0, 200)
    bench.fault = 'lostAck'
    bench.give(publishing('Ann', 0), 200)
    bench.run(200, 1000)
    bench.fault = 'none'
    bench.run(1000, 3000)
    expect(bench.results).toEqual([{ kind: 'accepted', version: 1 }])
  })

  it('answers a repeat of an accepted publish as accepted', () => {
    const bench = createBench()
    bench.give(publishing('Ann', 0), 0)
    bench.run(0, 500)
    bench.give(publishing('Bob', 1, 'deny workspace=b # asked by Bob, B\n', { request: 2 }), 500)
    bench.run(500, 1000)
    bench.give(publishing('Ann', 0, '', { request: 3 }), 1000)
    bench.run(1000, 1500)
    expect(bench.results).toEqual([{ kind: 'accepted', version: 1 }, { kind: 'accepted', version: 2 }, { kind: 'accepted', version: 1 }])
  })

  it('says not run only when nothing was appended', () => {
    const bench = createBench()
    bench.fault = 'outage'
    bench.give(publishing('Ann', 0), 0)
    bench.run(0, 12_000)
    expect(bench.results).toEqual([{ kind: 'unavailable', retryAfter: 5000, outcome: 'notRun' }])
    expect(bench.log.records('config')).toEqual([])
  })

  it('refuses invalid text without an append', () => {
    const bench = createBench()
    bench.give(publishing('Ann', 0, 'nonsense\n'), 0)
    expect(bench.results[0]).toMatchObject({ kind: 'invalid' })
    expect(bench.log.records('config')).toEqual([])
  })

  it('refuses a publish that touches another team\'s lines, and names them', () => {
    const bench = createBench()
    bench.give(publishing('Ann', 0, 'deny workspace=b # asked by Bob, B\n'), 0)
    bench.run(0, 500)
    const operator = { role: 'publish', team: 'A', workspaces: ['a'] } as const
    bench.give(publishing('Ann2', 1, 'limit workspace=a -> concurrency=2 # asked by Ann, A\n', { operator }), 500)
    bench.run(500, 1000)
    expect(bench.results[1]).toMatchObject({ kind: 'forbidden', changes: [{ kind: 'removed', rule: { origin: { line: 3, asker: 'Bob', team: 'B' } } }] })
    expect(bench.config.current()?.version).toBe(1)
  })
})

describe('start and pause', () => {
  const startPaused = (): Bench => {
    const bench = createBench()
    bench.give({ kind: 'config.peers', peers: ['n0', 'n1', 'n2', 'n3', 'n4'] }, 0)
    bench.give(publishing('Ann', 0), 0)
    bench.run(0, 1000)
    bench.fault = 'outage'
    return bench
  }

  it('is not ready after a pause until it has checked', () => {
    const bench = startPaused()
    expect(bench.config.ready(950)).toBe(true)
    expect(bench.config.ready(5000)).toBe(false)
    bench.give({ kind: 'tick' }, 5000)
    expect(bench.config.ready(5000)).toBe(false)
    bench.fault = 'none'
    bench.run(5050, 7200)
    expect(bench.config.ready(7150)).toBe(true)
  })

  it('does not take messages that waited through the pause for answers', () => {
    const bench = startPaused()
    for (const from of ['n1', 'n2', 'n3']) bench.give({ kind: 'peer.message', from, message: digest(1, 0) }, 5000)
    expect(bench.config.ready(5000)).toBe(false)
    const question = lastQuestion(bench)
    for (const from of ['n1', 'n2', 'n3']) bench.give({ kind: 'peer.message', from, message: digest(1, question) }, 5050)
    expect(bench.config.ready(5050)).toBe(true)
  })

  it('waits for a version that a peer has answered to have', () => {
    const bench = startPaused()
    bench.give({ kind: 'tick' }, 5000)
    bench.give({ kind: 'peer.message', from: 'n1', message: digest(2, 0) }, 5000)
    const question = lastQuestion(bench)
    for (const from of ['n1', 'n2', 'n3']) bench.give({ kind: 'peer.message', from, message: digest(2, question) }, 5050)
    bench.run(5100, 9500)
    expect(bench.config.ready(9450)).toBe(false)
  })

  it('serves what it knows when nobody answers', () => {
    const bench = startPaused()
    bench.run(5000, 8100)
    expect(bench.config.ready(8050)).toBe(true)
  })

  it('stands aside while a peer can read a version that it cannot', () => {
    const bench = startPaused()
    bench.fault = 'none'
    const payload = { kind: 'publish', id: 'x', base: 1, publisher: 'x', patch: [{ at: 0, remove: 0, insert: ['share workspace=a # asked by Ann, A'] }] }
    bench.log.perform({ kind: 'log.append', owner: 'config', token: 0, stream: 'config', payload }, 1000)
    bench.run(1000, 2000)
    expect(bench.config.current()).toMatchObject({ version: 2, rulesetVersion: 1 })
    expect(bench.config.ready(1950)).toBe(true)
    bench.give({ kind: 'peer.message', from: 'n1', message: digest(2, 0) }, 2000)
    expect(bench.config.ready(2000)).toBe(false)
  })

  it('re-appends its version by a quarter of the retention, and not before', () => {
    const bench = startPaused()
    bench.fault = 'none'
    const kinds = (): string[] => bench.log.records('config').map(({ payload }) => (payload as { kind: string }).kind)
    bench.run(1000, 20_000)
    expect(kinds()).toEqual(['publish'])
    for (const now of [900_000, 1_800_000, 2_700_000]) bench.run(now, now + 30_000)
    expect(kinds().slice(0, 2)).toEqual(['publish', 'snapshot'])
  })

  it('drops what does not fit its schema', () => {
    const bench = startPaused()
    bench.give({ kind: 'peer.message', from: 'n1', message: { kind: 'config.text' } }, 1000)
    bench.give({ kind: 'peer.message', from: 'n1', message: { kind: 'config.change' } }, 1000)
    expect(bench.config.dump()).toMatchObject({ dropped: 2, version: 1 })
  })
})
