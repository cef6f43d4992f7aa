import type { Moment } from '../lease/readLease.js'
import type { ClaimEffect, ClaimInput } from '../ports/claimPort.js'
import type { LeaseEvent } from './leaseEvents.js'
import { createRolloutLease } from './rolloutLease.js'
import type { RolloutLease } from './rolloutLeaseTypes.js'

const at = (steady: number, wall = steady): Moment => ({ steady, wall })

/** Builds a stream in memory that responds without delay. */
const buildStream = () => {
  const records: unknown[] = []
  let era = 0
  /** Offset of the oldest record that the stream still has. */
  let first = 0
  const answer = (effect: ClaimEffect): ClaimInput => {
    const { token } = effect
    if (effect.kind === 'claim.read') {
      const from = Math.max(effect.from, first)
      return { kind: 'claim.records', token, records: records.slice(from).map((claim, index) => ({ offset: from + index, claim })), end: records.length, era }
    }
    if (effect.at !== records.length) return { kind: 'claim.refused', token, end: records.length, era }
    records.push(effect.claim)
    return { kind: 'claim.accepted', token, era }
  }
  /** Restores the stream from a copy that holds its first `length` records. */
  const restore = (length: number): void => {
    records.length = length
    era++
  }
  const forget = (): void => { first = records.length }
  return { records, answer, restore, forget }
}

type Stream = ReturnType<typeof buildStream>

const buildInstance = (stream: Stream, id: string, options: { readonly rank?: number, readonly canHoldLease?: () => boolean } = {}) => {
  const effects: ClaimEffect[] = []
  const events: LeaseEvent[] = []
  const lease = createRolloutLease({
    self: { id, incarnation: `${id}-1` },
    reacquireAfter: () => 3_000,
    peers: { canHoldLease: options.canHoldLease ?? (() => true), rank: () => options.rank ?? 0 },
    emit: effect => effects.push(effect),
    notify: event => events.push(event)
  })
  const answerEffects = (now: Moment): void => {
    for (let effect = effects.shift(); effect !== undefined; effect = effects.shift()) lease.answer(stream.answer(effect), now)
  }
  const acquireOrRenew = (now: Moment): void => {
    lease.acquireOrRenew(now)
    answerEffects(now)
  }
  return { lease, acquireOrRenew, answerEffects, events }
}

/** Tries to acquire the lease every 50 ms; returns the time at which orders may first be given, or undefined if that is not within `limit` ms. */
const acquireWithin = ({ lease, acquireOrRenew }: { readonly lease: RolloutLease, readonly acquireOrRenew: (now: Moment) => void }, from: number, limit: number): number | undefined => {
  for (let now = from; now <= from + limit; now += 50) {
    acquireOrRenew(at(now))
    if (lease.fence(at(now)) !== undefined) return now
  }
  return undefined
}

describe('the rollout lease', () => {
  it.each([1e308, 1, 0.5, -1e308])('is acquired although another writer has left a claim of era %d, which the stream has not reached', era => {
    const stream = buildStream()
    stream.records.push({ holder: 'x', incarnation: 'x-1', released: false, era })
    const instance = buildInstance(stream, 'a', { canHoldLease: () => false })
    expect(acquireWithin(instance, 0, 5_000)).toBeDefined()
  })

  it.each([null, 7, [], {}, { holder: 1 }, { holder: 'a', incarnation: 'a-1', released: 'no', era: 0 }, { holder: '__proto__', incarnation: '', released: false, era: '0' }])('is acquired although a record is %j', record => {
    const stream = buildStream()
    stream.records.push(record, record)
    expect(acquireWithin(buildInstance(stream, 'a'), 0, 5_000)).toBeDefined()
  })

  it('goes to the first instance that claims it', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    expect(first.lease.fence(at(10))).toBe(1)
  })

  it('is read by few instances of a large fleet while its holder renews it, and is taken over by another instance when all of these are gone', () => {
    const stream = buildStream()
    let reads = 0
    const counted: Stream = { ...stream, answer: effect => { if (effect.kind === 'claim.read') reads++; return stream.answer(effect) } }
    const instances = Array.from({ length: 60 }, (_, rank) => buildInstance(counted, `i${rank}`, { rank, canHoldLease: () => false }))
    for (let now = 0; now < 2_000; now += 50) instances.forEach(({ acquireOrRenew }) => acquireOrRenew(at(now)))
    // Two of the first three instances read every 250 ms; the third is the holder and does not read.
    expect(reads).toBeLessThan(30)
    const late = instances.slice(3)
    let held: number | undefined
    for (let now = 2_000; now < 9_000 && held === undefined; now += 50) {
      late.forEach(({ acquireOrRenew }) => acquireOrRenew(at(now)))
      if (late.some(({ lease }) => lease.fence(at(now)) !== undefined)) held = now
    }
    expect(held).toBeLessThan(6_000)
  })

  it('stays with a holder that renews it even if another instance considers the holder dead', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    const second = buildInstance(stream, 'b', { rank: 1, canHoldLease: () => false })
    for (let now = 0; now < 5_000; now += 50) {
      first.acquireOrRenew(at(now))
      second.acquireOrRenew(at(now))
    }
    expect(first.lease.fence(at(5_000))).toBe(1)
    expect(second.lease.fence(at(5_000))).toBeUndefined()
  })

  it('does not alternate between two instances that consider each other dead', () => {
    const stream = buildStream()
    const instances = [buildInstance(stream, 'a', { canHoldLease: () => false }), buildInstance(stream, 'b', { canHoldLease: () => false })]
    const fences = new Set<number>()
    for (let now = 0; now < 5_000; now += 50) {
      for (const { lease, acquireOrRenew } of instances) {
        acquireOrRenew(at(now))
        const fence = lease.fence(at(now))
        if (fence !== undefined) fences.add(fence)
      }
    }
    expect(fences.size).toBe(1)
  })

  it('is taken over from a holder that stops renewing it, but only after the time in which the holder may act', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    const second = buildInstance(stream, 'b', { canHoldLease: () => false })
    const taken = acquireWithin(second, 100, 3_000)
    expect(taken).toBeGreaterThanOrEqual(900)
    expect(taken).toBeLessThanOrEqual(2_000)
    expect(first.lease.fence(at(taken ?? 0))).toBeUndefined()
  })

  it('can be acquired without delay once it is released', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    first.lease.release(at(100))
    first.answerEffects(at(100))
    const second = buildInstance(stream, 'b')
    second.acquireOrRenew(at(110))
    expect(second.lease.fence(at(110))).toBe(3)
    expect(first.lease.fence(at(110))).toBeUndefined()
  })

  it('allows no orders by a holder that was suspended until it has renewed', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0, 0))
    expect(first.lease.fence(at(10, 5_000))).toBeUndefined()
    const second = buildInstance(stream, 'b', { canHoldLease: () => false })
    acquireWithin(second, 100, 3_000)
    first.acquireOrRenew(at(20, 5_010))
    expect(first.lease.fence(at(30, 5_020))).toBeUndefined()
  })

  it('keeps its fencing token while it is renewed and has a higher one for the next holder', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    for (let now = 0; now < 2_000; now += 50) first.acquireOrRenew(at(now))
    expect(first.lease.fence(at(2_000))).toBe(1)
    const second = buildInstance(stream, 'b', { canHoldLease: () => false })
    const taken = acquireWithin(second, 2_000, 4_000) ?? Infinity
    expect(second.lease.fence(at(taken))).toBe(stream.records.length)
  })

  it('has a higher fencing token after the stream was restored, although offsets are assigned again', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    for (let now = 0; now < 2_000; now += 50) first.acquireOrRenew(at(now))
    stream.restore(0)
    const taken = acquireWithin(buildInstance(stream, 'b', { canHoldLease: () => false }), 2_000, 4_000)
    expect(taken).toBeDefined()
    const third = buildInstance(stream, 'c', { canHoldLease: () => false })
    const takenAgain = acquireWithin(third, 3_000, 9_000) ?? 0
    expect(third.lease.fence(at(takenAgain))).toBeGreaterThan(2 ** 24)
  })

  it('is not acquired after a restoration that lost the claims while the former holder may still act', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    stream.restore(0)
    const second = buildInstance(stream, 'b')
    const taken = acquireWithin(second, 10, 4_000) ?? 0
    expect(first.lease.fence(at(690))).toBe(1)
    expect(taken).toBeGreaterThanOrEqual(900)
    expect(first.lease.fence(at(taken))).toBeUndefined()
  })

  it('is lost by a holder whose renewal is accepted only after the stream was restored and others have claimed it', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    for (let now = 0; now < 1_000; now += 50) first.acquireOrRenew(at(now))
    const renewals = stream.records.length
    stream.restore(0)
    const second = buildInstance(stream, 'b', { canHoldLease: () => false })
    for (let now = 1_000; stream.records.length < renewals; now += 50) second.acquireOrRenew(at(now))
    // The former holder, which was suspended, appends at an offset that the stream has reached again.
    first.acquireOrRenew(at(9_000))
    expect(first.lease.fence(at(9_000))).toBeUndefined()
    second.acquireOrRenew(at(9_050))
    first.acquireOrRenew(at(9_100))
    expect([first, second].filter(({ lease }) => lease.fence(at(9_100)) !== undefined).length).toBeLessThanOrEqual(1)
    expect(first.lease.fence(at(9_100))).toBeUndefined()
  })

  // Guards against orders with a lower fencing token after a higher one, as the store had forgotten the successor's claims.
  it('is not renewed with its former token by an instance that missed the claims of its successor, as the stream has forgotten them', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    const second = buildInstance(stream, 'b', { canHoldLease: () => false })
    const taken = acquireWithin(second, 100, 3_000) ?? 0
    stream.forget()
    first.acquireOrRenew(at(taken + 50))
    first.acquireOrRenew(at(taken + 100))
    expect(first.lease.fence(at(taken + 100))).toBeUndefined()
    expect(second.lease.fence(at(taken + 100))).toBe(2)
    expect(first.events.at(-1)).toMatchObject({ kind: 'leaseLost', fence: 1, reason: 'claimsMissing' })
  })

  it('is not acquired while its holder may act, although the stream has forgotten all claims', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    stream.forget()
    const taken = acquireWithin(buildInstance(stream, 'b'), 10, 8_000) ?? 0
    expect(taken).toBeGreaterThanOrEqual(910)
    expect(first.lease.fence(at(taken))).toBeUndefined()
  })

  it('is given up even if a renewal that was on its way comes first', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    first.lease.acquireOrRenew(at(400))
    first.lease.release(at(410))
    first.answerEffects(at(420))
    expect(stream.records.at(-1)).toMatchObject({ holder: 'a', released: true })
  })

  it('is not acquired by an instance that gave it up and does not want it again', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    const second = buildInstance(stream, 'b', { canHoldLease: () => false })
    acquireWithin(second, 100, 3_000)
    second.lease.release(at(3_000))
    second.answerEffects(at(3_000))
    first.lease.release(at(9_000))
    first.answerEffects(at(9_000))
    expect(stream.records.at(-1)).toMatchObject({ holder: 'b', released: true })
  })

  it('is not renewed again at once after a failure of the stream', () => {
    const stream = buildStream()
    const first = buildInstance({ ...stream, answer: effect => effect.kind === 'claim.append' && appends++ > 0 ? { kind: 'claim.failed', token: effect.token } : stream.answer(effect) }, 'a')
    let appends = 0
    for (let now = 0; now < 2_000; now += 20) first.acquireOrRenew(at(now))
    expect(appends).toBeLessThan(20)
  })

  it('reports who held it before, why it was free and for how long it was held', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    for (let now = 0; now < 500; now += 50) first.acquireOrRenew(at(now))
    const second = buildInstance(stream, 'b', { canHoldLease: () => false })
    acquireWithin(second, 500, 3_000)
    first.acquireOrRenew(at(3_000))
    expect(first.events).toEqual([
      { kind: 'leaseAcquired', fence: 1, reason: 'unclaimed', previous: undefined, silence: 0 },
      { kind: 'leaseLost', fence: 1, reason: 'superseded', held: 3_000, next: 'b' }
    ])
    expect(second.events).toMatchObject([{ kind: 'leaseAcquired', reason: 'expired', previous: 'a' }])
    expect(second.events).toMatchObject([{ silence: expect.any(Number) }])
  })

  it('reports that it was released and acquired without delay', () => {
    const stream = buildStream()
    const first = buildInstance(stream, 'a')
    first.acquireOrRenew(at(0))
    first.lease.release(at(100))
    first.answerEffects(at(100))
    const second = buildInstance(stream, 'b')
    second.acquireOrRenew(at(110))
    expect(first.events.at(-1)).toEqual({ kind: 'leaseLost', fence: 1, reason: 'released', held: 100, next: undefined })
    expect(second.events).toEqual([{ kind: 'leaseAcquired', fence: 3, reason: 'released', previous: 'a', silence: 0 }])
  })

  it('is read ahead of any work, so that nobody waits for it in a restored stream', () => {
    const stream = buildStream()
    stream.restore(0)
    const first = buildInstance(stream, 'a')
    for (let now = 0; now < 5_000; now += 50) {
      first.lease.markIdle(at(now))
      first.answerEffects(at(now))
    }
    expect(stream.records).toEqual([])
    expect(acquireWithin(first, 5_000, 1_000)).toBe(5_000)
  })
})
