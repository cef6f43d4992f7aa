import type { Moment } from '../lease/readLease.js'
import type { ClaimEffect, ClaimInput } from '../ports/claimPort.js'
import { createRolloutLease, type RolloutLease } from './rolloutLease.js'

const at = (steady: number, wall = steady): Moment => ({ steady, wall })

/** A stream in memory whose answers come at once. */
const buildStream = () => {
  const records: unknown[] = []
  const answer = (effect: ClaimEffect): ClaimInput => {
    if (effect.kind === 'claim.read') {
      return { kind: 'claim.records', token: effect.token, records: records.slice(effect.from).map((claim, index) => ({ offset: effect.from + index, claim })), end: records.length }
    }
    if (effect.at !== records.length) return { kind: 'claim.refused', token: effect.token, end: records.length }
    records.push(effect.claim)
    return { kind: 'claim.accepted', token: effect.token }
  }
  return { records, answer }
}

type Stream = ReturnType<typeof buildStream>

const buildInstance = (stream: Stream, id: string, options: { readonly rank?: number, readonly able?: () => boolean } = {}) => {
  const effects: ClaimEffect[] = []
  const lease = createRolloutLease({ id, incarnation: `${id}-1` }, { canHoldLease: options.able ?? (() => true), rank: () => options.rank ?? 0 }, effect => effects.push(effect))
  const settle = (now: Moment): void => {
    for (let effect = effects.shift(); effect !== undefined; effect = effects.shift()) lease.answer(stream.answer(effect), now)
  }
  const pursue = (now: Moment): void => {
    lease.acquireOrRenew(now)
    settle(now)
  }
  return { lease, pursue, settle }
}

/** Pursues the duty every 50 ms until it may be used. */
const pursueUntilHeld = ({ lease, pursue }: { readonly lease: RolloutLease, readonly pursue: (now: Moment) => void }, from: number, limit: number): number | undefined => {
  for (let now = from; now <= from + limit; now += 50) {
    pursue(at(now))
    if (lease.fence(at(now)) !== undefined) return now
  }
  return undefined
}

describe('the duty of ordering weights', () => {
  it('goes to the first that claims it', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.pursue(at(0))
    expect(first.lease.fence(at(10))).toBe(1)
  })

  it('is looked at by few of a large fleet while its holder renews it, and passes on when these are gone, too', () => {
    const stream = buildStream()
    let reads = 0
    const counted: Stream = { ...stream, answer: effect => { if (effect.kind === 'claim.read') reads++; return stream.answer(effect) } }
    const instances = Array.from({ length: 60 }, (_, rank) => buildInstance(counted, `i${rank}`, { rank, able: () => false }))
    for (let now = 0; now < 2_000; now += 50) instances.forEach(({ pursue }) => pursue(at(now)))
    // One of three reads each 250 ms, the holder none.
    expect(reads).toBeLessThan(30)
    const late = instances.slice(3)
    let held: number | undefined
    for (let now = 2_000; now < 9_000 && held === undefined; now += 50) {
      late.forEach(({ pursue }) => pursue(at(now)))
      if (late.some(({ lease }) => lease.fence(at(now)) !== undefined)) held = now
    }
    expect(held).toBeLessThan(6_000)
  })

  it('stays with a holder that renews it', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    const second = buildInstance(stream, 'b', { rank: 1, able: () => false })
    for (let now = 0; now < 5_000; now += 50) {
      first.pursue(at(now))
      second.pursue(at(now))
    }
    expect(first.lease.fence(at(5_000))).toBe(1)
    expect(second.lease.fence(at(5_000))).toBeUndefined()
  })

  it('does not pass to and fro between two that take each other for dead', () => {
    const stream = buildStream()
    const instances = [buildInstance(stream, 'a', { able: () => false }), buildInstance(stream, 'b', { able: () => false })]
    const fences = new Set<number>()
    for (let now = 0; now < 5_000; now += 50) {
      for (const { lease, pursue } of instances) {
        pursue(at(now))
        const fence = lease.fence(at(now))
        if (fence !== undefined) fences.add(fence)
      }
    }
    expect(fences.size).toBe(1)
  })

  it('passes on when the holder stands still, after the time in which it may act', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.pursue(at(0))
    const second = buildInstance(stream, 'b', { able: () => false })
    const taken = pursueUntilHeld(second, 100, 3_000)
    expect(taken).toBeGreaterThanOrEqual(900)
    expect(taken).toBeLessThanOrEqual(2_000)
    expect(first.lease.fence(at(taken ?? 0))).toBeUndefined()
  })

  it('passes on without delay when it was released', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.pursue(at(0))
    first.lease.release(at(100))
    first.settle(at(100))
    const second = buildInstance(stream, 'b')
    second.pursue(at(110))
    expect(second.lease.fence(at(110))).toBe(3)
    expect(first.lease.fence(at(110))).toBeUndefined()
  })

  it('is not used by a holder that was suspended until it has asked', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.pursue(at(0, 0))
    expect(first.lease.fence(at(10, 5_000))).toBeUndefined()
    const second = buildInstance(stream, 'b', { able: () => false })
    pursueUntilHeld(second, 100, 3_000)
    first.pursue(at(20, 5_010))
    expect(first.lease.fence(at(30, 5_020))).toBeUndefined()
  })

  it('gives one number to a holder that renews and a higher one to the next', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    for (let now = 0; now < 2_000; now += 50) first.pursue(at(now))
    expect(first.lease.fence(at(2_000))).toBe(1)
    const second = buildInstance(stream, 'b', { able: () => false })
    const taken = pursueUntilHeld(second, 2_000, 4_000) ?? Infinity
    expect(second.lease.fence(at(taken))).toBe(stream.records.length)
  })
})
