import { authorizeResume, resumeToken, signStreamIdentity, verifyResumeToken } from './resumeToken.js'
import { createRelay, relayEvent } from './streamRelay.js'
import type { ResumePoint, StreamIdentity } from './streamsTypes.js'

const identity: StreamIdentity = {
  workspace: 'listings',
  endpoint: 'nm-derby-w1',
  engineRequest: 'r1',
  incarnation: 'i1',
  weightVersion: '7',
  fingerprint: 'f1',
  arrived: 1000
}

const point = (change: Partial<StreamIdentity> = {}): ResumePoint => ({ identity: { ...identity, ...change }, position: 4 })

const chunk = (content: string, finish?: string): string =>
  JSON.stringify({ id: 'r1', choices: [{ index: 0, delta: { content }, finish_reason: finish ?? null }] })

describe('resume tokens', () => {
  it('verifies under any key in force and under no other', () => {
    const token = resumeToken(signStreamIdentity('old', identity), 4)
    expect(verifyResumeToken(['new', 'old'], token)._unsafeUnwrap()).toEqual(point())
    expect(verifyResumeToken(['new'], token)._unsafeUnwrapErr().kind).toBe('wrongSignature')
  })

  it.each(['', 'a', 'a.b', 'a.b.c', `${'A'.repeat(22)}.${'A'.repeat(22)}.1`])('refuses %p', token => {
    expect(verifyResumeToken(['key'], token).isErr()).toBe(true)
  })

  it('refuses another workspace, another request and an old token', () => {
    const claim = { workspace: 'listings', fingerprint: 'f1', window: 500 }
    expect(authorizeResume(point(), claim, 1400).isOk()).toBe(true)
    expect(authorizeResume(point({ workspace: 'viewings' }), claim, 1400)._unsafeUnwrapErr().kind).toBe('otherWorkspace')
    expect(authorizeResume(point({ fingerprint: 'f2' }), claim, 1400)._unsafeUnwrapErr().kind).toBe('otherRequest')
    expect(authorizeResume(point(), claim, 1501)._unsafeUnwrapErr().kind).toBe('expiredToken')
  })
})

describe('relayEvent', () => {
  it('forwards events in order and gathers text, end and usage', () => {
    const relay = createRelay()
    relayEvent(relay, 'r1', 'r1', 0, chunk('Two'))
    relayEvent(relay, 'r1', 'r1', 1, chunk(' rooms', 'stop'))
    const usage = { prompt_tokens: 9, completion_tokens: 2, prompt_tokens_details: { cached_tokens: 4 } }
    relayEvent(relay, 'r1', 'r1', 2, JSON.stringify({ choices: [], usage }))
    expect(relay).toMatchObject({ next: 3, text: 'Two rooms', tokens: 2, finishReason: 'stop' })
    expect(relay.usage).toEqual({ promptTokens: 9, cachedTokens: 4, completionTokens: 2 })
  })

  it('drops duplicates and names gaps, crossed and garbled events', () => {
    const relay = createRelay()
    relayEvent(relay, 'r1', 'r1', 0, chunk('a'))
    expect(relayEvent(relay, 'r1', 'r1', 0, chunk('a'))).toEqual({ kind: 'duplicate' })
    expect(relayEvent(relay, 'r1', 'r1', 2, chunk('c'))).toEqual({ kind: 'gap', expected: 1 })
    expect(relayEvent(relay, 'r1', 'r2', 1, chunk('b'))).toEqual({ kind: 'crossed' })
    expect(relayEvent(relay, 'r1', 'r1', 1, '{')).toEqual({ kind: 'garbled' })
    expect(relay.text).toBe('a')
  })
})
