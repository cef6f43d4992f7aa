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

const resumePoint = (overrides: Partial<StreamIdentity> = {}): ResumePoint => ({ identity: { ...identity, ...overrides }, position: 4 })

const chunk = (content: string, finish?: string): string =>
  JSON.stringify({ id: 'r1', choices: [{ index: 0, delta: { content }, finish_reason: finish ?? null }] })

describe('a resume token', () => {
  it('is valid with any accepted key and with no other', () => {
    const token = resumeToken(signStreamIdentity('old', identity), 4)
    expect(verifyResumeToken(['new', 'old'], token)._unsafeUnwrap()).toEqual(resumePoint())
    expect(verifyResumeToken(['new'], token)._unsafeUnwrapErr().kind).toBe('wrongSignature')
  })

  it.each(['', 'a', 'a.b', 'a.b.c', `${'A'.repeat(22)}.${'A'.repeat(22)}.1`])('is rejected if it is %p', token => {
    expect(verifyResumeToken(['key'], token).isErr()).toBe(true)
  })

  it('is rejected for another workspace or request, and when it has expired', () => {
    const conditions = { workspace: 'listings', fingerprint: 'f1', window: 500 }
    expect(authorizeResume(resumePoint(), conditions, 1400).isOk()).toBe(true)
    expect(authorizeResume(resumePoint({ workspace: 'viewings' }), conditions, 1400)._unsafeUnwrapErr().kind).toBe('otherWorkspace')
    expect(authorizeResume(resumePoint({ fingerprint: 'f2' }), conditions, 1400)._unsafeUnwrapErr().kind).toBe('otherRequest')
    expect(authorizeResume(resumePoint(), conditions, 1501)._unsafeUnwrapErr().kind).toBe('expiredToken')
  })
})

describe('relayEvent', () => {
  it('forwards events in order and accumulates text, finish reason and usage', () => {
    const relay = createRelay()
    relayEvent(relay, 'r1', 'r1', 0, chunk('Two'))
    relayEvent(relay, 'r1', 'r1', 1, chunk(' rooms', 'stop'))
    const usage = { prompt_tokens: 9, completion_tokens: 2, prompt_tokens_details: { cached_tokens: 4 } }
    relayEvent(relay, 'r1', 'r1', 2, JSON.stringify({ choices: [], usage }))
    expect(relay).toMatchObject({ next: 3, text: 'Two rooms', tokens: 2, finishReason: 'stop' })
    expect(relay.usage).toEqual({ promptTokens: 9, cachedTokens: 4, completionTokens: 2 })
  })

  it('drops duplicates and reports gaps, crossed and garbled events', () => {
    const relay = createRelay()
    relayEvent(relay, 'r1', 'r1', 0, chunk('a'))
    expect(relayEvent(relay, 'r1', 'r1', 0, chunk('a'))).toEqual({ kind: 'duplicate' })
    expect(relayEvent(relay, 'r1', 'r1', 2, chunk('c'))).toEqual({ kind: 'gap', expected: 1 })
    expect(relayEvent(relay, 'r1', 'r2', 1, chunk('b'))).toEqual({ kind: 'crossed' })
    expect(relayEvent(relay, 'r1', 'r1', 1, '{')).toEqual({ kind: 'garbled' })
    expect(relay.text).toBe('a')
  })
})
