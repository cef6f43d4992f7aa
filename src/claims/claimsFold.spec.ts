import { createFold } from './claimsFold.js'
import type { Fold } from './claimsFold.js'
import { keyTime } from './claimsKey.js'
import type { Claim, Close, Entry } from './claimsMessages.js'
import { createIdempotencyKey } from '../../test/fakes/idempotencyKey.js'

const window = 10_000
const skew = 500
const keyCreatedAt = 1_700_000_000_000

const createClaim = (attempt: string, more: Partial<Claim> = {}): Claim =>
  ({ kind: 'claim', workspace: 'w', key: createIdempotencyKey(keyCreatedAt), attempt, claimant: 'n1', incarnation: '1', fingerprint: 'f', deadline: keyCreatedAt + 5_000, ...more })

const createClose = (attempt: string, outcome: Close['outcome']): Close =>
  ({ kind: 'close', workspace: 'w', key: createIdempotencyKey(keyCreatedAt), attempt, outcome })

const foldOf = (records: readonly Entry[], options: { at?: number, since?: number } = {}): Fold => {
  const fold = createFold({ since: options.since ?? -Infinity, window, skew })
  records.forEach((record, offset) => fold.apply({ offset, at: options.at ?? keyCreatedAt, payload: { kind: 'claims.batch', records: [record] } }))
  return fold
}

const verdictOn = (attempt: string, fold: Fold): string => fold.verdictOn(createClaim(attempt))?.kind ?? 'none'

describe('keys', () => {
  it('contain their time of creation', () => {
    expect(keyTime(createIdempotencyKey(keyCreatedAt))).toBe(keyCreatedAt)
  })

  it.each(['', 'booking-7', '018bcfe5-6800-4000-8000-000000000001', '018BCFE5-6800-7000-8000-000000000001'])('are rejected if malformed, such as %p', key => {
    expect(keyTime(key)).toBeUndefined()
  })
})

describe('fold of a claims stream', () => {
  it('makes the first claim the owner of the call', () => {
    const fold = foldOf([createClaim('a'), createClaim('b')])
    expect([verdictOn('a', fold), verdictOn('b', fold), verdictOn('c', fold)]).toEqual(['won', 'taken', 'taken'])
  })

  it('lets only later claims own the call after the owner is recorded as not run', () => {
    const fold = foldOf([createClaim('a'), createClaim('b'), createClose('a', 'notRun'), createClaim('c')])
    expect([verdictOn('a', fold), verdictOn('b', fold), verdictOn('c', fold)]).toEqual(['taken', 'taken', 'won'])
  })

  it('does not make an attempt the owner if its claim follows its close record', () => {
    const fold = foldOf([createClose('a', 'notRun'), createClaim('a'), createClaim('b')])
    expect([verdictOn('a', fold), verdictOn('b', fold)]).toEqual(['taken', 'won'])
  })

  it('does not make a lost attempt the owner if its claim is appended twice', () => {
    const fold = foldOf([createClaim('a'), createClaim('b'), createClose('a', 'notRun'), createClaim('b')])
    expect(verdictOn('b', fold)).toBe('spent')
  })

  it('keeps the owner when another attempt is recorded as not run', () => {
    const fold = foldOf([createClaim('a'), createClose('b', 'notRun'), createClaim('c')])
    expect(verdictOn('a', fold)).toBe('won')
  })

  it.each(['ran', 'unknown'] as const)('does not let a call with the outcome %s be claimed again', outcome => {
    const fold = foldOf([createClaim('a'), createClose('a', outcome), createClose('a', 'notRun'), createClaim('b')])
    expect(fold.verdictOn(createClaim('b'))).toMatchObject({ kind: 'taken', state: outcome })
  })

  it('does not let a call be claimed after a close record whose claim was not read', () => {
    const fold = foldOf([createClose('a', 'ran'), createClaim('b')])
    expect(fold.verdictOn(createClaim('b'))).toMatchObject({ kind: 'taken', state: 'ran' })
  })

  it('accepts no claim that was appended outside the window of its key', () => {
    expect(verdictOn('a', foldOf([createClaim('a')], { at: keyCreatedAt + window }))).toBe('won')
    expect(verdictOn('a', foldOf([createClaim('a')], { at: keyCreatedAt + window + 1 }))).toBe('expired')
    expect(verdictOn('a', foldOf([createClaim('a')], { at: keyCreatedAt - skew - 1 }))).toBe('spent')
  })

  it('leaves a claim undecided if earlier records of its call may be missing', () => {
    expect(verdictOn('a', foldOf([createClaim('a')], { since: keyCreatedAt - skew }))).toBe('won')
    expect(verdictOn('a', foldOf([createClaim('a')], { since: keyCreatedAt - skew + 1 }))).toBe('undecided')
  })

  it('drops calls only when their keys have expired', () => {
    const fold = foldOf([createClaim('a')])
    const appendEmptyAt = (at: number): void => fold.apply({ offset: 1, at, payload: { kind: 'claims.batch', records: [] } })
    appendEmptyAt(keyCreatedAt + window + skew)
    fold.sweep()
    expect(fold.size()).toBe(1)
    appendEmptyAt(keyCreatedAt + window + skew + 1)
    fold.sweep()
    expect(fold.size()).toBe(0)
    expect(verdictOn('b', fold)).toBe('expired')
  })

  it.each([
    undefined, null, 'text', { kind: 'other' }, { kind: 'claims.batch', records: [{ kind: 'claim' }] },
    { kind: 'claims.batch', records: [createClaim('a', { key: 'no key' })] }
  ])('skips and counts the malformed payload %j', payload => {
    const fold = foldOf([])
    fold.apply({ offset: 0, at: keyCreatedAt, payload })
    expect([fold.skipped(), fold.size()]).toEqual([1, 0])
  })

  it('applies the other entries of a batch that contains an unknown one', () => {
    const fold = foldOf([])
    fold.apply({ offset: 0, at: keyCreatedAt, payload: { kind: 'claims.batch', records: [{ kind: 'later' }, createClaim('a')] } })
    expect([fold.skipped(), verdictOn('a', fold)]).toEqual([1, 'won'])
  })
})
