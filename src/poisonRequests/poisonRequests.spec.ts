import { buildCall } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { Call } from '../ports/forwardPort.js'
import type { FeaturedRequest } from './features.js'
import { createRequestFingerprints } from './requestFingerprint.js'
import type { PoisonLogEvent } from './poisonLog.js'
import { createPoisonRequests, type Block, type PoisonRequests } from './poisonRequests.js'
import type { PoisonAttempt, PoisonMessage } from './poisonRequestsTypes.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const instances = ['a', 'b', 'c']

const buildPrompt = (...ids: string[]) => ({ model: 'llm', inputTokens: 100, maxOutputTokens: 10, parts: ids.map(id => ({ id, tokens: 10 })) })

const buildModelCall = (id: string, ...parts: string[]): Call => buildCall({ id, prompt: buildPrompt(...parts, `own-${id}`), body: Buffer.from(id) })

const attemptAt = (worker: string, begunAt: number): PoisonAttempt => ({ id: 1, worker, workerStartedAt: 1, sentAt: begunAt, answered: true, begunAt })

const requestOf = (call: Call, service = 'model'): FeaturedRequest => ({ call, service, workspace: undefined })

/** Three instances, of which `a` and `b` coordinator; messages arrive at once unless they are dropped. */
const build = (drops: (message: PoisonMessage, to: string) => boolean = () => false) => {
  const nodes = new Map<string, PoisonRequests>()
  const events: { readonly at: string, readonly event: PoisonLogEvent }[] = []
  let now = 0
  const deliver = (from: string, to: string, message: PoisonMessage): void => {
    if (from !== to && !drops(message, to)) nodes.get(to)?.receive(from, message, now)
  }
  const start = (self: string): void => {
    nodes.set(self, createPoisonRequests({
      self,
      fingerprintOf: createRequestFingerprints(hash),
      somePeers: count => instances.filter(id => id !== self).slice(0, count),
      instances: () => instances.length,
      coordinatorsOf: (_model, count) => instances.slice(0, count),
      stateOf: () => 'inService',
      reachOf: () => 'reached',
      probe: () => { /* Reported by the test. */ },
      send: (to, message) => deliver(self, to, message),
      broadcast: message => { for (const to of instances) deliver(self, to, message) },
      onBlocked: () => { /* Not checked. */ },
      log: event => { events.push({ at: self, event }) }
    }))
  }
  instances.forEach(start)
  const at = (id: string): PoisonRequests => {
    const node = nodes.get(id)
    if (node === undefined) throw new RangeError(id)
    return node
  }
  const runTo = (time: number): void => {
    for (; now < time; now += 20) for (const node of nodes.values()) node.tick(now)
  }
  const crash = (instance: string, worker: string, ...calls: Call[]): void => {
    for (const [id, call] of calls.entries()) at(instance).noteCut({ ...attemptAt(worker, now - 50), id }, requestOf(call), now)
    at(instance).noteProbed(worker, { reachable: false, refused: true }, now + 1)
    runTo(now + 100)
  }
  const prove = (instance: string, call: Call): void => {
    at(instance).noteBegun(attemptAt('sound', now), requestOf(call), now)
    runTo(now + 320)
    at(instance).noteHeard('sound', 1, now)
  }
  const crashThrice = (): void => {
    for (const [index, instance] of instances.entries()) crash(instance, `w${index}`, buildModelCall(`r${index}`, `x${index}`, 'p'))
    runTo(now + 200)
  }
  const isBlocked = (instance: string, ...parts: string[]): boolean => at(instance).blockOf(requestOf(buildCall({ id: 'other', prompt: buildPrompt(...parts) })), now) !== undefined
  const blockOf = (instance: string, call: Call, service?: string): Block | undefined => at(instance).blockOf(requestOf(call, service), now)
  return { at, start, blockOf, runTo, crash, prove, crashThrice, isBlocked, events, now: () => now, kinds: (kind: string) => events.filter(({ event }) => event.kind === kind) }
}

describe('poison parts', () => {
  it('are blocked at all instances at once, wherever they stand but at the end, and others are not', () => {
    const { crashThrice, isBlocked } = build()
    crashThrice()
    for (const instance of instances) {
      expect(isBlocked(instance, 'x0', 'p', 'own')).toBe(true)
      expect(isBlocked(instance, 'p', 'own')).toBe(true)
      expect(isBlocked(instance, 'x0', 'p')).toBe(false)
      expect(isBlocked(instance, 'x0', 'own')).toBe(false)
    }
  })

  it('never include the part at the end of prompts', () => {
    const { crash, isBlocked, runTo, now } = build()
    for (const [index, instance] of instances.entries()) crash(instance, `w${index}`, buildCall({ id: `r${index}`, prompt: buildPrompt(`x${index}`, 'session'), body: Buffer.from(`r${index}`) }))
    runTo(now() + 200)
    expect(isBlocked('a', 'session', 'own')).toBe(false)
  })

  it('do not include a part that any instance has seen sound since', () => {
    const { crash, prove, runTo, now, kinds } = build()
    crash('a', 'w0', buildModelCall('r0', 'p'))
    prove('c', buildModelCall('s', 'p'))
    crash('a', 'w1', buildModelCall('r1', 'p'))
    crash('b', 'w2', buildModelCall('r2', 'p'))
    runTo(now() + 200)
    expect(kinds('partBlocked')).toEqual([])
  })

  it('are made known to an instance that lost the message, by repetition', () => {
    let blockMessages = 0
    const { crashThrice, isBlocked, runTo, now } = build(message => message.kind === 'fleet.blockedParts' && ++blockMessages <= 4)
    crashThrice()
    expect(isBlocked('c', 'p', 'own')).toBe(false)
    runTo(now() + 4_100)
    expect(isBlocked('c', 'p', 'own')).toBe(true)
  })

  it('are found by the second coordinator if the first one does not hear of them', () => {
    const { crash, isBlocked, runTo, now } = build((_message, to) => to === 'a')
    for (let index = 0; index < 3; index++) crash('b', `w${index}`, buildModelCall(`r${index}`, 'p'))
    runTo(now() + 200)
    expect(isBlocked('c', 'p', 'own')).toBe(false)
    runTo(now() + 500)
    expect(isBlocked('c', 'p', 'own')).toBe(true)
  })

  it('are tried by one request at the first coordinator, and served again by all once an answer went well', () => {
    const { at, crashThrice, isBlocked, prove, runTo, now, kinds } = build()
    crashThrice()
    runTo(now() + 60_500)
    expect(isBlocked('b', 'p', 'own')).toBe(true)
    expect(isBlocked('a', 'p', 'own')).toBe(false)
    at('a').noteSent(requestOf(buildModelCall('trial', 'p')), now())
    expect(isBlocked('a', 'p', 'own')).toBe(true)
    prove('a', buildModelCall('trial', 'p'))
    for (const instance of instances) expect(isBlocked(instance, 'p', 'own')).toBe(false)
    expect(kinds('partUnblocked')).toHaveLength(instances.length)
  })

  it('that were blocked first are let go at all instances once another part explains their crashes', () => {
    const { crash, isBlocked, runTo, now, kinds } = build()
    for (const [index, instance] of instances.entries()) crash(instance, `w${index}`, buildModelCall(`r${index}`, 'p', 'x'))
    runTo(now() + 200)
    expect(isBlocked('a', 'q', 'x', 'own')).toBe(true)
    for (const [index, instance] of instances.entries()) crash(instance, `v${index}`, buildModelCall(`s${index}`, 'p', `y${index}`))
    runTo(now() + 400)
    for (const instance of instances) {
      expect(isBlocked(instance, 'p', 'own')).toBe(true)
      expect(isBlocked(instance, 'q', 'x', 'own')).toBe(false)
    }
    expect(kinds('partUnblocked')).toHaveLength(instances.length)
  })

  it('stay blocked for longer after a trial that failed', () => {
    const { at, crashThrice, isBlocked, crash, runTo, now } = build()
    crashThrice()
    runTo(now() + 60_500)
    at('a').noteSent(requestOf(buildModelCall('trial', 'p')), now())
    crash('a', 'w9', buildModelCall('trial', 'p'))
    runTo(now() + 100_000)
    expect(isBlocked('a', 'p', 'own')).toBe(true)
    runTo(now() + 25_000)
    expect(isBlocked('a', 'p', 'own')).toBe(false)
  })
})

describe('whole poison requests', () => {
  const guilty = (id: string): Call => buildCall({ id, body: Buffer.from('guilty') })
  const sound = (id: string): Call => buildCall({ id, body: Buffer.from(id) })

  it('are blocked at all instances and services under any id, without a prompt, and others are not', () => {
    const { crash, blockOf, runTo, now } = build()
    for (const [index, instance] of instances.entries()) crash(instance, `w${index}`, guilty(`g${index}`), sound(`s${index}`))
    runTo(now() + 200)
    for (const instance of instances) {
      expect(blockOf(instance, guilty('later'))).toBe('blockedRequest')
      expect(blockOf(instance, guilty('moved'), 'other')).toBe('blockedRequest')
      expect(blockOf(instance, sound('s0'))).toBeUndefined()
    }
  })

  it('are blocked after two crashes if nothing else ran at these workers', () => {
    const { crash, blockOf, runTo, now } = build()
    crash('a', 'w0', guilty('g0'))
    crash('b', 'w1', guilty('g1'))
    runTo(now() + 200)
    expect(blockOf('c', guilty('g2'))).toBe('blockedRequest')
  })

  it('do not include one that any instance has seen answered since', () => {
    const { at, crash, blockOf, runTo, now } = build()
    crash('a', 'w0', guilty('g0'), sound('s0'))
    crash('b', 'w1', guilty('g1'), sound('s1'))
    runTo(now() + 100)
    at('c').noteCompleted(attemptAt('sound', now()), requestOf(guilty('g2')), now())
    crash('c', 'w2', guilty('g3'), sound('s2'))
    runTo(now() + 200)
    expect(blockOf('a', guilty('g4'))).toBeUndefined()
  })

  it('are found by an instance that became coordinator after the crashes were reported', () => {
    const { at, start, crash, blockOf, runTo, now } = build()
    crash('c', 'w0', guilty('g0'), sound('s0'))
    crash('c', 'w1', guilty('g1'), sound('s1'))
    for (const restarted of ['a', 'b']) {
      start(restarted)
      at('c').peerChanged(restarted, 'restarted', now())
    }
    runTo(now() + 200)
    crash('c', 'w2', guilty('g2'), sound('s2'))
    runTo(now() + 200)
    expect(blockOf('a', guilty('g3'))).toBe('blockedRequest')
  })

  it('are known to an instance as soon as it has started and asked', () => {
    const { start, crash, blockOf, runTo, now } = build()
    for (const [index, instance] of instances.entries()) crash(instance, `w${index}`, guilty(`g${index}`), sound(`s${index}`))
    runTo(now() + 200)
    start('c')
    expect(blockOf('c', guilty('g3'))).toBeUndefined()
    runTo(now() + 40)
    expect(blockOf('c', guilty('g3'))).toBe('blockedRequest')
  })

  it('include all that nothing tells apart', () => {
    const { crash, blockOf, runTo, now } = build()
    for (const [index, instance] of instances.entries()) crash(instance, `w${index}`, guilty(`g${index}`), buildCall({ id: `h${index}`, body: Buffer.from('guilty, too') }))
    runTo(now() + 200)
    expect(blockOf('a', guilty('g3'))).toBe('blockedRequest')
    expect(blockOf('a', buildCall({ id: 'h3', body: Buffer.from('guilty, too') }))).toBe('blockedRequest')
  })
})
