import { createFold } from './claimsFold.js'
import type { Fold } from './claimsFold.js'
import { keyTime } from './claimsKey.js'
import type { Claim, Close, Entry } from './claimsMessages.js'
import { createIdempotencyKey } from '../../test/fakes/idempotencyKey.js'

const window = 10_000
const skew = 500
const made = 1_700_000_000_000

const createClaim = (attempt: string, more: Partial<Claim> = {}): Claim =>
  ({ kind: 'claim', workspace: 'w', key: createIdempotencyKey(made), attempt, claimant: 'n1', incarnation: '1', fingerprint: 'f', deadline: made + 5_000, ...more })

const createClose = (attempt: string, outcome: Close['outcome']): Close =>
  ({ kind: 'close', workspace: 'w', key: createIdempotencyKey(made), attempt, outcome })

const foldOf = (records: readonly Entry[], options: { at?: number, since?: number } = {}): Fold => {
  const fold = createFold({ since: options.since ?? -Infinity, window, skew })
  records.forEach((record, offset) => fold.apply({ offset, at: options.at ?? made, payload: { kind: 'claims.batch', records: [record] } }))
  return fold
}

const verdictOn = (attempt: string, fold: Fold): string => fold.verdictOn(createClaim(attempt))?.kind ?? 'none'

describe('keys', () => {
  it('carry their time', () => {
    expect(keyTime(createIdempotencyKey(made))).toBe(made)
  })

  it.each(['', 'booking-7', '018bcfe5-6800-4000-8000-000000000001', '018BCFE5-6800-7000-8000-000000000001'])('rejects %p', key => {
    expect(keyTime(key)).toBeUndefined()
  })
})

describe('fold of a claims stream', () => {
  it('gives the call to the first claim', () => {
    const fold = foldOf([createClaim('a'), createClaim('b')])
    expect([verdictOn('a', fold), verdictOn('b', fold), verdictOn('c', fold)]).toEqual(['won', 'taken', 'taken'])
  })

  it('opens the call again to later claims only', () => {
    const fold = foldOf([createClaim('a'), createClaim('b'), createClose('a', 'notRun'), createClaim('c')])
    expect([verdictOn('a', fold), verdictOn('b', fold), verdictOn('c', fold)]).toEqual(['taken', 'taken', 'won'])
  })

  it('never revives a spent attempt by a claim that arrives after its end', () => {
    const fold = foldOf([createClose('a', 'notRun'), createClaim('a'), createClaim('b')])
    expect([verdictOn('a', fold), verdictOn('b', fold)]).toEqual(['taken', 'won'])
  })

  it('never revives a lost claim that is appended twice', () => {
    const fold = foldOf([createClaim('a'), createClaim('b'), createClose('a', 'notRun'), createClaim('b')])
    expect(verdictOn('b', fold)).toBe('spent')
  })

  it('ignores the end of an attempt that does not own the call', () => {
    const fold = foldOf([createClaim('a'), createClose('b', 'notRun'), createClaim('c')])
    expect(verdictOn('a', fold)).toBe('won')
  })

  it.each(['ran', 'unknown'] as const)('keeps a call that ended as %s closed', outcome => {
    const fold = foldOf([createClaim('a'), createClose('a', outcome), createClose('a', 'notRun'), createClaim('b')])
    expect(fold.verdictOn(createClaim('b'))).toMatchObject({ kind: 'taken', state: outcome })
  })

  it('keeps a call closed whose claim it has not seen', () => {
    const fold = foldOf([createClose('a', 'ran'), createClaim('b')])
    expect(fold.verdictOn(createClaim('b'))).toMatchObject({ kind: 'taken', state: 'ran' })
  })

  it('accepts no claim that the log took outside the window of the key', () => {
    expect(verdictOn('a', foldOf([createClaim('a')], { at: made + window }))).toBe('won')
    expect(verdictOn('a', foldOf([createClaim('a')], { at: made + window + 1 }))).toBe('expired')
    expect(verdictOn('a', foldOf([createClaim('a')], { at: made - skew - 1 }))).toBe('spent')
  })

  it('decides nothing on a key whose first records may be gone', () => {
    expect(verdictOn('a', foldOf([createClaim('a')], { since: made - skew }))).toBe('won')
    expect(verdictOn('a', foldOf([createClaim('a')], { since: made - skew + 1 }))).toBe('undecided')
  })

  it('forgets calls only when their keys have expired', () => {
    const fold = foldOf([createClaim('a')])
    const pass = (at: number): void => fold.apply({ offset: 1, at, payload: { kind: 'claims.batch', records: [] } })
    pass(made + window + skew)
    fold.sweep()
    expect(fold.size()).toBe(1)
    pass(made + window + skew + 1)
    fold.sweep()
    expect(fold.size()).toBe(0)
    expect(verdictOn('b', fold)).toBe('expired')
  })

  it.each([
    undefined, null, 'text', { kind: 'other' }, { kind: 'claims.batch', records: [{ kind: 'claim' }] },
    { kind: 'claims.batch', records: [createClaim('a', { key: 'no key' })] }
  ])('skips and counts %j', payload => {
    const fold = foldOf([])
    fold.apply({ offset: 0, at: made, payload })
    expect([fold.skipped(), fold.size()]).toEqual([1, 0])
  })

  it('reads the other records of a batch that holds an unknown one', () => {
    const fold = foldOf([])
    fold.apply({ offset: 0, at: made, payload: { kind: 'claims.batch', records: [{ kind: 'later' }, createClaim('a')] } })
    expect([fold.skipped(), verdictOn('a', fold)]).toEqual([1, 'won'])
  })
})
