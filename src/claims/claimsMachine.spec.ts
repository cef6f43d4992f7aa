import { decode, encode } from 'cbor-x'
import { createClaims } from './claimsMachine.js'
import { RetentionTooShort } from './claimsErrors.js'
import { claimsMessageSchema } from './claimsMessages.js'
import type { Claim, ClaimsMessage } from './claimsMessages.js'
import { createPartition } from './claimsPartition.js'
import type { PartitionStep } from './claimsPartition.js'
import { partitionOf, streamOf } from './claimsPlacement.js'
import { queuedNoticeInterval } from './claimsTimes.js'
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

/** Creates an instance on a log that answers immediately. */
const createNode = (log: FakeLog, options: Partial<ClaimsOptions> = {}, others: readonly ClaimsInstance[] = []) => {
  const self = createInstance('n1', options.incarnation)
  const claims = createClaims({ self: 'n1', incarnation: '1', hash, random: createRandom(1), retention, ...options })
  const handleWithLog = (input: ClaimsInput, at = now, fault: LogFault = 'none'): ClaimsEffect[] =>
    claims.handle(input, at).flatMap(effect => isLogEffect(effect) ? handleWithLog(log.perform(effect, at, fault), at, fault) : [effect])
  handleWithLog({ kind: 'claims.members', instances: [self, ...others] })
  return { handleWithLog, claims }
}

const isLogEffect = (effect: ClaimsEffect): effect is LogEffect => effect.kind === 'log.append' || effect.kind === 'log.read'

const refusalsIn = (effects: readonly ClaimsEffect[]): Refusal[] =>
  effects.flatMap(effect => effect.kind === 'claims.refused' ? [effect.refusal] : [])

const messagesIn = (effects: readonly ClaimsEffect[]): ClaimsMessage[] =>
  effects.flatMap(effect => effect.kind === 'peer.send' ? [effect.message] : [])

/** Begins a call whose partition is held by another instance. */
const beginHeldBy = (holder: string) => {
  const { handleWithLog } = createNode(createFakeLog(), {}, [createInstance(holder)])
  for (let serial = 1; ; serial++) {
    const [message] = messagesIn(handleWithLog(createBegin(serial, { key: createIdempotencyKey(now, serial) })))
    if (message?.kind !== 'claims.claim') continue
    handleWithLog({ kind: 'claims.abandon', request: serial })
    const [second] = messagesIn(handleWithLog(createBegin(1, { key: message.claim.key })))
    if (second?.kind === 'claims.claim') return { handleWithLog, message: second }
  }
}

describe('claims of one instance', () => {
  it('grant a call after reading back their own claim', () => {
    const log = createFakeLog()
    expect(createNode(log).handleWithLog(createBegin(1))).toEqual([{ kind: 'claims.granted', request: 1 }])
    expect(log.records(streamOf(partitionOf(hash, { workspace: 'w', key: createIdempotencyKey(now, 1) })))).toHaveLength(1)
  })

  it('grant a call although the acknowledgement of the append is lost', () => {
    const { claims, handleWithLog } = createNode(createFakeLog())
    const log = createFakeLog()
    const perform = (effects: readonly ClaimsEffect[]): ClaimsEffect[] => effects.flatMap(effect => isLogEffect(effect)
      ? perform(claims.handle(log.perform(effect, now, effect.kind === 'log.append' ? 'lostAck' : 'none'), now))
      : [effect])
    expect(perform(claims.handle(createBegin(1), now))).toEqual([{ kind: 'claims.granted', request: 1 }])
    expect(handleWithLog({ kind: 'tick' })).toEqual([])
  })

  it('allow one dispatch for a grant, another only if nothing was sent, and none after the deadline', () => {
    const { handleWithLog, claims } = createNode(createFakeLog())
    expect(claims.mayDispatch(1, now)).toBe(false)
    handleWithLog(createBegin(1))
    expect([claims.mayDispatch(1, now), claims.mayDispatch(1, now)]).toEqual([true, false])
    handleWithLog({ kind: 'claims.unsent', request: 1 })
    expect(claims.mayDispatch(1, now + 5_000)).toBe(false)
    expect(refusalsIn(handleWithLog({ kind: 'tick' }, now + 5_000))).toEqual([{ kind: 'notRun', reason: 'deadlinePassed', scope: 'call' }])
    expect(claims.mayDispatch(1, now)).toBe(false)
  })

  it('record that an attempt was given up, and grant the next one', () => {
    const { handleWithLog } = createNode(createFakeLog())
    handleWithLog(createBegin(1))
    expect(refusalsIn(handleWithLog({ kind: 'claims.abandon', request: 1 }))).toMatchObject([{ kind: 'notRun', reason: 'abandoned', scope: 'call' }])
    handleWithLog({ kind: 'tick' }, now + 200)
    expect(handleWithLog(createBegin(2), now + 400)).toEqual([{ kind: 'claims.granted', request: 2 }])
  })

  it('are drained once every close record is on the log', () => {
    const { handleWithLog, claims } = createNode(createFakeLog())
    handleWithLog(createBegin(1))
    claims.mayDispatch(1, now)
    handleWithLog({ kind: 'claims.settle', request: 1, outcome: createAnswer('first') })
    expect(claims.isDrained()).toBe(false)
    for (let at = now; at < now + 2_000; at += 50) handleWithLog({ kind: 'tick' }, at)
    expect(claims.isDrained()).toBe(true)
  })

  it('answer duplicates from memory, and refuse a different request with the same key', () => {
    const { handleWithLog, claims } = createNode(createFakeLog())
    handleWithLog(createBegin(1))
    claims.mayDispatch(1, now)
    expect(refusalsIn(handleWithLog(createBegin(2)))).toMatchObject([{ kind: 'inProgress' }])
    const outcome = createAnswer('first')
    handleWithLog({ kind: 'claims.settle', request: 1, outcome })
    expect(refusalsIn(handleWithLog(createBegin(3)))).toEqual([outcome])
    expect(refusalsIn(handleWithLog(createBegin(4, { fingerprint: 'g' })))).toEqual([{ kind: 'fingerprintMismatch' }])
  })

  it('limit the size of the cached answers and omit bodies from the dump', () => {
    const { handleWithLog, claims } = createNode(createFakeLog(), { answerBytes: 2_000 })
    for (const serial of [1, 2]) {
      handleWithLog(createBegin(serial, { key: createIdempotencyKey(now, serial) }))
      claims.mayDispatch(serial, now)
      handleWithLog({ kind: 'claims.settle', request: serial, outcome: createAnswer('secret'.repeat(200)) })
    }
    expect(refusalsIn(handleWithLog(createBegin(3, { key: createIdempotencyKey(now, 1) })))).toEqual([{ kind: 'ran', answer: undefined }])
    expect(claims.dump().answerBytes).toBeLessThanOrEqual(2_000)
    expect(JSON.stringify(claims.dump())).not.toContain('secret')
  })

  it.each<[string, Partial<BeginInput>, Refusal]>([
    ['a malformed key', { key: 'booking-7' }, { kind: 'notRun', reason: 'keyMalformed', scope: 'call' }],
    ['an expired key', { key: createIdempotencyKey(now - keyWindow - 1) }, { kind: 'unknown', reason: 'keyExpired' }],
    ['a key from the future', { key: createIdempotencyKey(now + clockSkew + 70) }, { kind: 'notRun', reason: 'keyAhead', scope: 'attempt', retryAfter: 70 }],
    ['a deadline that has passed', { deadline: now }, { kind: 'notRun', reason: 'deadlinePassed', scope: 'attempt' }]
  ])('refuse %s without using the log', (_, more, refusal) => {
    expect(createNode(createFakeLog()).handleWithLog(createBegin(1, more))).toEqual([{ kind: 'claims.refused', request: 1, refusal }])
  })

  it('refuse to start on a log whose retention is too short', () => {
    expect(() => createNode(createFakeLog(), { retention: keyWindow + 4 * clockSkew })).toThrow(RetentionTooShort)
  })
})

describe('claims during a log outage', () => {
  it('refuse immediately with a retry delay, and still answer duplicates from memory', () => {
    const { handleWithLog, claims } = createNode(createFakeLog())
    const outcome = createAnswer('first')
    handleWithLog(createBegin(1))
    claims.mayDispatch(1, now)
    handleWithLog({ kind: 'claims.settle', request: 1, outcome })
    const call = { key: createIdempotencyKey(now, 2) }
    const first = refusalsIn(handleWithLog(createBegin(2, call), now + 5, 'outage'))
    expect(first).toMatchObject([{ kind: 'notRun', reason: 'logUnavailable', scope: 'attempt', retryAfter: expect.any(Number) }])
    const second = claims.handle(createBegin(3, call), now + 6)
    expect(second).toMatchObject([{ kind: 'claims.refused', refusal: { kind: 'notRun', reason: 'logUnavailable' } }])
    expect(refusalsIn(handleWithLog(createBegin(4), now + 7, 'outage'))).toEqual([outcome])
  })
})

describe('claims after a restart of the claimant', () => {
  const runFirstIncarnation = (log: FakeLog, isSettled: boolean): void => {
    const { handleWithLog, claims } = createNode(log)
    handleWithLog(createBegin(1))
    claims.mayDispatch(1, now)
    if (isSettled) handleWithLog({ kind: 'claims.settle', request: 1, outcome: createAnswer('first') })
    for (let at = now; at < now + 2_000; at += 50) handleWithLog({ kind: 'tick' }, at)
  }

  it('report that the call ran if that was recorded', () => {
    const log = createFakeLog()
    runFirstIncarnation(log, true)
    expect(refusalsIn(createNode(log, { incarnation: '2' }).handleWithLog(createBegin(1), now + 3_000))).toEqual([{ kind: 'ran' }])
  })

  it('report an unknown outcome if none was recorded', () => {
    const log = createFakeLog()
    runFirstIncarnation(log, false)
    expect(refusalsIn(createNode(log, { incarnation: '2' }).handleWithLog(createBegin(1), now + 3_000))).toEqual([{ kind: 'unknown', reason: 'answerLost' }])
  })
})

describe('claims between instances', () => {
  it('use different attempt ids on instances and incarnations with equal seeds and counters', () => {
    const attemptOf = (self: string, incarnation: string): string | undefined => {
      const claims = createClaims({ self, incarnation, hash, random: createRandom(1), retention })
      claims.handle(createBegin(1), now)
      return claims.dump().attempts[0]?.attempt
    }
    expect(new Set([attemptOf('n1', '1'), attemptOf('n1', '2'), attemptOf('n2', '1')]).size).toBe(3)
  })

  it('apply a verdict once, and only to an attempt in progress', () => {
    const { handleWithLog, message } = beginHeldBy('n2')
    const verdictOn = (attempt: string): ClaimsInput =>
      ({ kind: 'peer.message', from: 'n2', message: { kind: 'claims.verdict', attempt, verdict: { kind: 'won' } } as ClaimsMessage })
    expect(handleWithLog(verdictOn('other'))).toEqual([])
    expect(handleWithLog(verdictOn(message.claim.attempt))).toEqual([{ kind: 'claims.granted', request: 1 }])
    expect(handleWithLog(verdictOn(message.claim.attempt))).toEqual([])
  })

  it('send the claim to no second holder while the first reports it as queued', () => {
    const { handleWithLog, message } = beginHeldBy('n2')
    const queued: ClaimsInput = { kind: 'peer.message', from: 'n2', message: { kind: 'claims.queued', attempt: message.claim.attempt } as ClaimsMessage }
    const sent: ClaimsMessage[] = []
    for (let at = now + 50; at < now + 2_500; at += 50) {
      sent.push(...messagesIn(handleWithLog({ kind: 'tick' }, at)))
      if (at % queuedNoticeInterval === 0) handleWithLog(queued, at)
    }
    expect(sent).toEqual([])
    expect(refusalsIn(handleWithLog({ kind: 'tick' }, now + 3_000))).toMatchObject([{ kind: 'notRun', reason: 'claimTimeout' }])
  })

  it('answer a lookup of an unknown attempt of their own as never run', () => {
    const { handleWithLog } = createNode(createFakeLog(), {}, [createInstance('n2')])
    const owner = createClaim('forgotten')
    const effects = handleWithLog({ kind: 'peer.message', from: 'n2', message: { kind: 'claims.lookup', owner, asker: 'a' } as ClaimsMessage })
    expect(messagesIn(effects)).toContainEqual({ kind: 'claims.found', attempt: 'forgotten', asker: 'a', finding: { kind: 'neverRun' } })
  })

  it('decode messages from CBOR and count malformed ones', () => {
    const message: ClaimsMessage = { kind: 'claims.found', attempt: 'a', asker: 'b', finding: createAnswer('first') }
    const parsed = claimsMessageSchema.parse(decode(encode(message)))
    expect(parsed.kind === 'claims.found' && parsed.finding.kind === 'ran' && Buffer.from(parsed.finding.answer?.body ?? []).toString()).toBe('first')
    const { handleWithLog, claims } = createNode(createFakeLog())
    expect(handleWithLog({ kind: 'peer.message', from: 'n2', message: { kind: 'claims.verdict' } })).toEqual([])
    expect(claims.dump().malformed).toBe(1)
  })
})

/** Creates a partition on a log that answers immediately, and collects its verdicts. */
const createReadingPartition = (log: FakeLog) => {
  let token = 0
  const partition = createPartition({ stream: 's', window: keyWindow, skew: clockSkew, retention: 20 * keyWindow, nextToken: () => token++ })
  const counts = { records: 0 }
  const perform = (step: PartitionStep, at: number): string[] => [
    ...step.replies.flatMap(reply => reply.kind === 'verdict' ? [reply.verdict.kind] : []),
    ...step.effects.flatMap(effect => {
      const input = log.perform(effect, at)
      if (input.kind === 'log.records') counts.records += input.records.length
      return perform(partition.log(input, at), at)
    })
  ]
  return { counts, ask: (claim: Claim, at: number) => perform(partition.claim(claim, 'n1', at), at) }
}

const appendEmpty = (log: FakeLog, at: number): void => {
  log.perform({ kind: 'log.append', owner: 'claims', token: 0, stream: 's', payload: { kind: 'claims.batch', records: [] } }, at)
}

describe('a partition', () => {
  it('reads only the relevant part of a long stream when it is taken over', () => {
    const log = createFakeLog()
    const appends = 20_000
    const oldest = now - 10 * keyWindow
    for (let index = 0; index < appends; index++) appendEmpty(log, oldest + index * 10 * keyWindow / appends)
    const { ask, counts } = createReadingPartition(log)
    expect(ask(createClaim('a'), now)).toEqual(['won'])
    expect(counts.records).toBeLessThan(appends / 5)
  })

  it('restarts at the first retained record after a pause longer than the retention', () => {
    const log = createFakeLog()
    const { ask } = createReadingPartition(log)
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
