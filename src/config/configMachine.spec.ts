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

/** An instance whose log operations a fake log answers at once. */
interface TestInstance {
  readonly config: Config
  readonly log: FakeLog
  readonly sent: ConfigMachineEffect[]
  readonly results: PublishResult[]
  readonly handle: (input: ConfigMachineInput, now: number) => void
  readonly run: (from: number, to: number) => void
  fault: LogFault
}

const createTestInstance = (log = createFakeLog(), self = 'n0'): TestInstance => {
  const config = createConfig({ self, hash, random: createRandom(hash.h32(self) | 0), retention: 3_600_000 })
  const instance: TestInstance = {
    config,
    log,
    sent: [],
    results: [],
    fault: 'none',
    handle: (input, now) => {
      for (const effect of config.handle(input, now)) {
        if (effect.kind === 'log.append' || effect.kind === 'log.read') instance.handle(log.perform(effect, now, instance.fault), now)
        if (effect.kind === 'peer.send') instance.sent.push(effect)
        if (effect.kind === 'config.published') instance.results.push(effect.result)
      }
    },
    run: (from, to) => {
      for (let now = from; now < to; now += 50) instance.handle({ kind: 'tick' }, now)
    }
  }
  return instance
}

const text = (extra = ''): string => `workspace a # asked by Ann, A\nworkspace b # asked by Bob, B\n${extra}`

const publishInput = (publishId: string, base: number, extra = '', overrides: Partial<PublishInput> = {}): PublishInput =>
  ({ kind: 'config.publish', request: 1, publishId, base, text: text(extra), publisher: publishId, ...overrides })

const digest = (version: number, answers: number): ConfigDigest =>
  ({ kind: 'config.digest', version, digest: '', cursor: 0, fresh: true, understood: true, snapshotAt: 0, ask: 0, answers })

const lastCorrelationId = (instance: TestInstance): number =>
  instance.sent.flatMap(effect => effect.kind === 'peer.send' && effect.message.kind === 'config.digest' ? [effect.message.ask] : [])
    .findLast(ask => ask > 0) ?? 0

describe('a publish', () => {
  it('becomes the active version when it is accepted', () => {
    const instance = createTestInstance()
    instance.handle(publishInput('Ann', 0), 0)
    instance.run(0, 1000)
    expect(instance.results).toEqual([{ kind: 'accepted', version: 1 }])
    expect(instance.config.current()).toMatchObject({ version: 1, rulesetVersion: 1, publisher: 'Ann', text: text() })
    expect(instance.config.ready(1000)).toBe(true)
  })

  it('names the winner in the conflict when it loses a race', () => {
    const log = createFakeLog()
    const [winner, loser] = [createTestInstance(log, 'n0'), createTestInstance(log, 'n1')]
    winner.handle(publishInput('Ann', 0), 0)
    winner.run(0, 500)
    loser.handle(publishInput('Bob', 0, 'deny workspace=b # asked by Bob, B\n'), 0)
    loser.run(0, 500)
    expect(loser.results).toEqual([{ kind: 'conflict', winner: 'Ann', version: 1 }])
  })

  it('is resolved by reading the log when the answer to the append is lost', () => {
    const instance = createTestInstance()
    instance.run(0, 200)
    instance.fault = 'lostAck'
    instance.handle(publishInput('Ann', 0), 200)
    instance.run(200, 1000)
    instance.fault = 'none'
    instance.run(1000, 3000)
    expect(instance.results).toEqual([{ kind: 'accepted', version: 1 }])
  })

  it('is reported as accepted again when it is repeated after acceptance', () => {
    const instance = createTestInstance()
    instance.handle(publishInput('Ann', 0), 0)
    instance.run(0, 500)
    instance.handle(publishInput('Bob', 1, 'deny workspace=b # asked by Bob, B\n', { request: 2 }), 500)
    instance.run(500, 1000)
    instance.handle(publishInput('Ann', 0, '', { request: 3 }), 1000)
    instance.run(1000, 1500)
    expect(instance.results).toEqual([{ kind: 'accepted', version: 1 }, { kind: 'accepted', version: 2 }, { kind: 'accepted', version: 1 }])
  })

  it('is reported as not run only when nothing was appended', () => {
    const instance = createTestInstance()
    instance.fault = 'outage'
    instance.handle(publishInput('Ann', 0), 0)
    instance.run(0, 12_000)
    expect(instance.results).toEqual([{ kind: 'unavailable', retryAfter: 5000, outcome: 'notRun' }])
    expect(instance.log.records('config')).toEqual([])
  })

  it('is refused without an append when its text is invalid', () => {
    const instance = createTestInstance()
    instance.handle(publishInput('Ann', 0, 'nonsense\n'), 0)
    expect(instance.results[0]).toMatchObject({ kind: 'invalid' })
    expect(instance.log.records('config')).toEqual([])
  })

  it('is refused when it changes another team\'s lines, which the result lists', () => {
    const instance = createTestInstance()
    instance.handle(publishInput('Ann', 0, 'deny workspace=b # asked by Bob, B\n'), 0)
    instance.run(0, 500)
    const operator = { role: 'publish', team: 'A', workspaces: ['a'] } as const
    instance.handle(publishInput('Ann2', 1, 'limit workspace=a -> concurrency=2 # asked by Ann, A\n', { operator }), 500)
    instance.run(500, 1000)
    expect(instance.results[1]).toMatchObject({ kind: 'forbidden', changes: [{ kind: 'removed', rule: { origin: { line: 3, asker: 'Bob', team: 'B' } } }] })
    expect(instance.config.current()?.version).toBe(1)
  })
})

describe('an instance', () => {
  const createReadyInstance = (): TestInstance => {
    const instance = createTestInstance()
    instance.handle({ kind: 'config.peers', peers: ['n0', 'n1', 'n2', 'n3', 'n4'] }, 0)
    instance.handle(publishInput('Ann', 0), 0)
    instance.run(0, 1000)
    instance.fault = 'outage'
    return instance
  }

  it('is not ready after a pause until it has checked for missed versions', () => {
    const instance = createReadyInstance()
    expect(instance.config.ready(950)).toBe(true)
    expect(instance.config.ready(5000)).toBe(false)
    instance.handle({ kind: 'tick' }, 5000)
    expect(instance.config.ready(5000)).toBe(false)
    instance.fault = 'none'
    instance.run(5050, 7200)
    expect(instance.config.ready(7150)).toBe(true)
  })

  it('does not count messages buffered during the pause as replies to its check', () => {
    const instance = createReadyInstance()
    for (const from of ['n1', 'n2', 'n3']) instance.handle({ kind: 'peer.message', from, message: digest(1, 0) }, 5000)
    expect(instance.config.ready(5000)).toBe(false)
    const correlationId = lastCorrelationId(instance)
    for (const from of ['n1', 'n2', 'n3']) instance.handle({ kind: 'peer.message', from, message: digest(1, correlationId) }, 5050)
    expect(instance.config.ready(5050)).toBe(true)
  })

  it('is not ready while a peer has reported a higher version', () => {
    const instance = createReadyInstance()
    instance.handle({ kind: 'tick' }, 5000)
    instance.handle({ kind: 'peer.message', from: 'n1', message: digest(2, 0) }, 5000)
    const correlationId = lastCorrelationId(instance)
    for (const from of ['n1', 'n2', 'n3']) instance.handle({ kind: 'peer.message', from, message: digest(2, correlationId) }, 5050)
    instance.run(5100, 9500)
    expect(instance.config.ready(9450)).toBe(false)
  })

  it('is ready with the version it has when no peer replies', () => {
    const instance = createReadyInstance()
    instance.run(5000, 8100)
    expect(instance.config.ready(8050)).toBe(true)
  })

  it('is not ready while a peer can parse a version that it cannot', () => {
    const instance = createReadyInstance()
    instance.fault = 'none'
    const payload = { kind: 'publish', id: 'x', base: 1, publisher: 'x', patch: [{ at: 0, remove: 0, insert: ['share workspace=a # asked by Ann, A'] }] }
    instance.log.perform({ kind: 'log.append', owner: 'config', token: 0, stream: 'config', payload }, 1000)
    instance.run(1000, 2000)
    expect(instance.config.current()).toMatchObject({ version: 2, rulesetVersion: 1 })
    expect(instance.config.ready(1950)).toBe(true)
    instance.handle({ kind: 'peer.message', from: 'n1', message: digest(2, 0) }, 2000)
    expect(instance.config.ready(2000)).toBe(false)
  })

  it('appends a snapshot of its version from a quarter of the retention on, and not before', () => {
    const instance = createReadyInstance()
    instance.fault = 'none'
    const kinds = (): string[] => instance.log.records('config').map(({ payload }) => (payload as { kind: string }).kind)
    instance.run(1000, 20_000)
    expect(kinds()).toEqual(['publish'])
    for (const now of [900_000, 1_800_000, 2_700_000]) instance.run(now, now + 30_000)
    expect(kinds().slice(0, 2)).toEqual(['publish', 'snapshot'])
  })

  it('drops and counts messages that do not match their schema', () => {
    const instance = createReadyInstance()
    instance.handle({ kind: 'peer.message', from: 'n1', message: { kind: 'config.text' } }, 1000)
    instance.handle({ kind: 'peer.message', from: 'n1', message: { kind: 'config.change' } }, 1000)
    expect(instance.config.dump()).toMatchObject({ dropped: 2, version: 1 })
  })
})
