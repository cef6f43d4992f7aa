import { decode, encode } from 'cbor-x'
import { createClaims } from './claimsMachine.js'
import { RetentionTooShort } from './claimsErrors.js'
import { claimsMessageSchema } from './claimsMessages.js'
import type { Claim, ClaimsMessage } from './claimsMessages.js'
import { createPartition } from './claimsPartition.js'
import type { PartitionStep } from './claimsPartition.js'
import { partitionOf, streamOf } from './claimsPlacement.js'
import { queuedNotice } from './claimsTimes.js'
import { clockSkew, keyWindow } from './claimsTypes.js'
import type { BeginInput, ClaimsEffect, ClaimsInput, ClaimsInstance, ClaimsOptions, Outcome, Refusal } from './claimsTypes.js'
import { loadHash } from '../hash.js'
import type { Hash } from '../hash.js'
import type { LogEffect } from '../ports/logPort.js'
import { createRandom } from '../random.js'
import { createFakeLog } from '../../test/fakes/fakeLog.js'
import type { FakeLog, LogFault } from '../../test/fakes/fakeLog.js'
import { createIdempotencyKey } from '../../test/fakes/idempotencyKey.js'

const now = 1_700_000_000_000
const retention = 2 * keyWindow
let hash: Hash

beforeAll(async () => {
  hash = await loadHash()
})

const createBegin = (request: number, more: Partial<BeginInput> = {}): BeginInput =>
  ({ kind: 'claims.begin', request, workspace: 'w', key: createIdempotencyKey(now, 1), fingerprint: 'f', deadline: now + 5_000, ...more })

const createClaim = (attempt: string): Claim =>
  ({ kind: 'claim', workspace: 'w', key: createIdempotencyKey(now), attempt, claimant: 'n1', incarnation: '1', fingerprint: 'f', deadline: now + 5_000 })

const createAnswer = (text: string): Outcome & { kind: 'ran' } =>
  ({ kind: 'ran', answer: { status: 200, headers: {}, body: new TextEncoder().encode(text) } })

const createInstance = (id: string, incarnation = '1'): ClaimsInstance => ({ id, incarnation, state: 'live' })

/** One instance over a log that answers at once. */
const createNode = (log: FakeLog, options: Partial<ClaimsOptions> = {}, others: readonly ClaimsInstance[] = []) => {
  const self = createInstance('n1', options.incarnation)
  const claims = createClaims({ self: 'n1', incarnation: '1', hash, random: createRandom(1), retention, ...options })
  const give = (input: ClaimsInput, at = now, fault: LogFault = 'none'): ClaimsEffect[] =>
    claims.handle(input, at).flatMap(effect => isLogEffect(effect) ? give(log.perform(effect, at, fault), at, fault) : [effect])
  give({ kind: 'claims.members', instances: [self, ...others] })
  return { give, claims }
}

const isLogEffect = (effect: ClaimsEffect): effect is LogEffect => effect.kind === 'log.append' || effect.kind === 'log.read'

const refusalsIn = (effects: readonly ClaimsEffect[]): Refusal[] =>
  effects.flatMap(effect => effect.kind === 'claims.refused' ? [effect.refusal] : [])

const messagesIn = (effects: readonly ClaimsEffect[]): ClaimsMessage[] =>
  effects.flatMap(effect => effect.kind === 'peer.send' ? [effect.message] : [])

/** Begins a call whose partition another instance holds. */
const beginAt = (holder: string) => {
  const { give } = createNode(createFakeLog(), {}, [createInstance(holder)])
  for (let serial = 1; ; serial++) {
    const [message] = messagesIn(give(createBegin(serial, { key: createIdempotencyKey(now, serial) })))
    if (message?.kind !== 'claims.claim') continue
    give({ kind: 'claims.abandon', request: serial })
    const [second] = messagesIn(give(createBegin(1, { key: message.claim.key })))
    if (second?.kind === 'claims.claim') return { give, message: second }
  }
}

describe('claims of one instance', () => {
  it('grants a call once it has read its own claim back', () => {
    const log = createFakeLog()
    expect(createNode(log).give(createBegin(1))).toEqual([{ kind: 'claims.granted', request: 1 }])
    expect(log.records(streamOf(partitionOf(hash, { workspace: 'w', key: createIdempotencyKey(now, 1) })))).toHaveLength(1)
  })

  it('grants although the acknowledgement of the append is lost', () => {
    const { claims, give } = createNode(createFakeLog())
    const log = createFakeLog()
    const perform = (effects: readonly ClaimsEffect[]): ClaimsEffect[] => effects.flatMap(effect => isLogEffect(effect)
      ? perform(claims.handle(log.perform(effect, now, effect.kind === 'log.append' ? 'lostAck' : 'none'), now))
      : [effect])
    expect(perform(claims.handle(createBegin(1), now))).toEqual([{ kind: 'claims.granted', request: 1 }])
    expect(give({ kind: 'tick' })).toEqual([])
  })

  it('lets a grant be used once, again only if nothing was sent, and never late', () => {
    const { give, claims } = createNode(createFakeLog())
    expect(claims.mayDispatch(1, now)).toBe(false)
    give(createBegin(1))
    expect([claims.mayDispatch(1, now), claims.mayDispatch(1, now)]).toEqual([true, false])
    give({ kind: 'claims.unsent', request: 1 })
    expect(claims.mayDispatch(1, now + 5_000)).toBe(false)
    expect(refusalsIn(give({ kind: 'tick' }, now + 5_000))).toEqual([{ kind: 'notRun', reason: 'deadlinePassed', scope: 'call' }])
    expect(claims.mayDispatch(1, now)).toBe(false)
  })

  it('records that an attempt was given up, and lets the next one run', () => {
    const { give } = createNode(createFakeLog())
    give(createBegin(1))
    expect(refusalsIn(give({ kind: 'claims.abandon', request: 1 }))).toMatchObject([{ kind: 'notRun', reason: 'abandoned', scope: 'call' }])
    give({ kind: 'tick' }, now + 200)
    expect(give(createBegin(2), now + 400)).toEqual([{ kind: 'claims.granted', request: 2 }])
  })

  it('is quiet once every end is recorded', () => {
    const { give, claims } = createNode(createFakeLog())
    give(createBegin(1))
    claims.mayDispatch(1, now)
    give({ kind: 'claims.settle', request: 1, outcome: createAnswer('first') })
    expect(claims.isQuiet()).toBe(false)
    for (let at = now; at < now + 2_000; at += 50) give({ kind: 'tick' }, at)
    expect(claims.isQuiet()).toBe(true)
  })

  it('answers repeats from memory, and other requests under the same key with a mismatch', () => {
    const { give, claims } = createNode(createFakeLog())
    give(createBegin(1))
    claims.mayDispatch(1, now)
    expect(refusalsIn(give(createBegin(2)))).toMatchObject([{ kind: 'inProgress' }])
    const outcome = createAnswer('first')
    give({ kind: 'claims.settle', request: 1, outcome })
    expect(refusalsIn(give(createBegin(3)))).toEqual([outcome])
    expect(refusalsIn(give(createBegin(4, { fingerprint: 'g' })))).toEqual([{ kind: 'fingerprintMismatch' }])
  })

  it('keeps answers within its bytes and shows no body in its dump', () => {
    const { give, claims } = createNode(createFakeLog(), { answerBytes: 2_000 })
    for (const serial of [1, 2]) {
      give(createBegin(serial, { key: createIdempotencyKey(now, serial) }))
      claims.mayDispatch(serial, now)
      give({ kind: 'claims.settle', request: serial, outcome: createAnswer('secret'.repeat(200)) })
    }
    expect(refusalsIn(give(createBegin(3, { key: createIdempotencyKey(now, 1) })))).toEqual([{ kind: 'ran', answer: undefined }])
    expect(claims.dump().answerBytes).toBeLessThanOrEqual(2_000)
    expect(JSON.stringify(claims.dump())).not.toContain('secret')
  })

  it.each<[string, Partial<BeginInput>, Refusal]>([
    ['a key of another kind', { key: 'booking-7' }, { kind: 'notRun', reason: 'keyMalformed', scope: 'call' }],
    ['an old key', { key: createIdempotencyKey(now - keyWindow - 1) }, { kind: 'unknown', reason: 'keyExpired' }],
    ['a key from ahead', { key: createIdempotencyKey(now + clockSkew + 70) }, { kind: 'notRun', reason: 'keyAhead', scope: 'attempt', retryAfter: 70 }],
    ['a passed deadline', { deadline: now }, { kind: 'notRun', reason: 'deadlinePassed', scope: 'attempt' }]
  ])('refuses %s without the log', (_, more, refusal) => {
    expect(createNode(createFakeLog()).give(createBegin(1, more))).toEqual([{ kind: 'claims.refused', request: 1, refusal }])
  })

  it('refuses to start over a log that forgets too soon', () => {
    expect(() => createNode(createFakeLog(), { retention: keyWindow + 4 * clockSkew })).toThrow(RetentionTooShort)
  })
})

describe('claims while the log is down', () => {
  it('refuses at once, says when to come back, and still answers what it knows', () => {
    const { give, claims } = createNode(createFakeLog())
    const outcome = createAnswer('first')
    give(createBegin(1))
    claims.mayDispatch(1, now)
    give({ kind: 'claims.settle', request: 1, outcome })
    const down = { key: createIdempotencyKey(now, 2) }
    const first = refusalsIn(give(createBegin(2, down), now + 5, 'outage'))
    expect(first).toMatchObject([{ kind: 'notRun', reason: 'logUnavailable', scope: 'attempt', retryAfter: expect.any(Number) }])
    const second = claims.handle(createBegin(3, down), now + 6)
    expect(second).toMatchObject([{ kind: 'claims.refused', refusal: { kind: 'notRun', reason: 'logUnavailable' } }])
    expect(refusalsIn(give(createBegin(4), now + 7, 'outage'))).toEqual([outcome])
  })
})

describe('claims after a restart of the claimant', () => {
  const endFirstLife = (log: FakeLog, settles: boolean): void => {
    const { give, claims } = createNode(log)
    give(createBegin(1))
    claims.mayDispatch(1, now)
    if (settles) give({ kind: 'claims.settle', request: 1, outcome: createAnswer('first') })
    for (let at = now; at < now + 2_000; at += 50) give({ kind: 'tick' }, at)
  }

  it('say that the call ran if that was recorded', () => {
    const log = createFakeLog()
    endFirstLife(log, true)
    expect(refusalsIn(createNode(log, { incarnation: '2' }).give(createBegin(1), now + 3_000))).toEqual([{ kind: 'ran' }])
  })

  it('say that the outcome is unknown if it was not', () => {
    const log = createFakeLog()
    endFirstLife(log, false)
    expect(refusalsIn(createNode(log, { incarnation: '2' }).give(createBegin(1), now + 3_000))).toEqual([{ kind: 'unknown', reason: 'answerLost' }])
  })
})

describe('claims between instances', () => {
  it('names attempts of equal seeds and counts apart', () => {
    const attemptOf = (self: string, incarnation: string): string | undefined => {
      const claims = createClaims({ self, incarnation, hash, random: createRandom(1), retention })
      claims.handle(createBegin(1), now)
      return claims.dump().attempts[0]?.attempt
    }
    expect(new Set([attemptOf('n1', '1'), attemptOf('n1', '2'), attemptOf('n2', '1')]).size).toBe(3)
  })

  it('takes a verdict once, and only on its own attempt', () => {
    const { give, message } = beginAt('n2')
    const verdictOn = (attempt: string): ClaimsInput =>
      ({ kind: 'peer.message', from: 'n2', message: { kind: 'claims.verdict', attempt, verdict: { kind: 'won' } } as ClaimsMessage })
    expect(give(verdictOn('other'))).toEqual([])
    expect(give(verdictOn(message.claim.attempt))).toEqual([{ kind: 'claims.granted', request: 1 }])
    expect(give(verdictOn(message.claim.attempt))).toEqual([])
  })

  it('asks no second holder while the first says that the claim is queued', () => {
    const { give, message } = beginAt('n2')
    const queued: ClaimsInput = { kind: 'peer.message', from: 'n2', message: { kind: 'claims.queued', attempt: message.claim.attempt } as ClaimsMessage }
    const sent: ClaimsMessage[] = []
    for (let at = now + 50; at < now + 2_500; at += 50) {
      sent.push(...messagesIn(give({ kind: 'tick' }, at)))
      if (at % queuedNotice === 0) give(queued, at)
    }
    expect(sent).toEqual([])
    expect(refusalsIn(give({ kind: 'tick' }, now + 3_000))).toMatchObject([{ kind: 'notRun', reason: 'claimTimeout' }])
  })

  it('gives up an attempt of its own that it does not know when asked about it', () => {
    const { give } = createNode(createFakeLog(), {}, [createInstance('n2')])
    const owner = createClaim('forgotten')
    const effects = give({ kind: 'peer.message', from: 'n2', message: { kind: 'claims.lookup', owner, asker: 'a' } as ClaimsMessage })
    expect(messagesIn(effects)).toContainEqual({ kind: 'claims.found', attempt: 'forgotten', asker: 'a', finding: { kind: 'neverRun' } })
  })

  it('carries messages through CBOR and counts malformed ones', () => {
    const message: ClaimsMessage = { kind: 'claims.found', attempt: 'a', asker: 'b', finding: createAnswer('first') }
    const parsed = claimsMessageSchema.parse(decode(encode(message)))
    expect(parsed.kind === 'claims.found' && parsed.finding.kind === 'ran' && Buffer.from(parsed.finding.answer?.body ?? []).toString()).toBe('first')
    const { give, claims } = createNode(createFakeLog())
    expect(give({ kind: 'peer.message', from: 'n2', message: { kind: 'claims.verdict' } })).toEqual([])
    expect(claims.dump().malformed).toBe(1)
  })
})

/** A partition over a log that answers at once; collects its verdicts. */
const createHeld = (log: FakeLog) => {
  let token = 0
  const partition = createPartition({ stream: 's', window: keyWindow, skew: clockSkew, retention: 20 * keyWindow, nextToken: () => token++ })
  const counts = { records: 0 }
  const follow = (step: PartitionStep, at: number): string[] => [
    ...step.replies.flatMap(reply => reply.kind === 'verdict' ? [reply.verdict.kind] : []),
    ...step.effects.flatMap(effect => {
      const input = log.perform(effect, at)
      if (input.kind === 'log.records') counts.records += input.records.length
      return follow(partition.log(input, at), at)
    })
  ]
  return { counts, ask: (claim: Claim, at: number) => follow(partition.claim(claim, 'n1', at), at) }
}

const appendEmpty = (log: FakeLog, at: number): void => {
  log.perform({ kind: 'log.append', owner: 'claims', token: 0, stream: 's', payload: { kind: 'claims.batch', records: [] } }, at)
}

describe('a held partition', () => {
  it('reads what matters of a long stream when it is taken over', () => {
    const log = createFakeLog()
    const appends = 20_000
    const oldest = now - 10 * keyWindow
    for (let index = 0; index < appends; index++) appendEmpty(log, oldest + index * 10 * keyWindow / appends)
    const { ask, counts } = createHeld(log)
    expect(ask(createClaim('a'), now)).toEqual(['won'])
    expect(counts.records).toBeLessThan(appends / 5)
  })

  it('starts anew where the stream begins after it was paused for longer than records are kept', () => {
    const log = createFakeLog()
    const { ask } = createHeld(log)
    expect(ask(createClaim('a'), now)).toEqual(['won'])
    const later = now + 21 * keyWindow
    const late = { ...createClaim('b'), key: createIdempotencyKey(later - 1_000) }
    for (const at of [now + 1, later]) appendEmpty(log, at)
    log.expire('s', 2)
    expect(ask(late, later)).toEqual(['won'])
    expect(ask({ ...createClaim('c'), key: createIdempotencyKey(now + 2 * keyWindow) }, later + 1_000)).toEqual(['expired'])
    expect(ask({ ...createClaim('d'), key: createIdempotencyKey(now) }, later + 2_000)).toEqual(['expired'])
  })
})
