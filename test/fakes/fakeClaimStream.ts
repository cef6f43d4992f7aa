/** The claim stream in virtual time: appends under a condition, a copy to restore, and history that can be forgotten. */
import type { ClaimEffect, ClaimInput, ClaimRecord } from '../../src/ports/claimPort.js'

/** The stream of a store. */
export interface FakeClaimStream {
  /** Performs a request at once. */
  readonly perform: (effect: ClaimEffect) => ClaimInput
  /** Restores the stream without its newest `count` records; offsets are assigned again in a new era. */
  readonly restoreWithout: (count: number) => void
  /** Drops all records; offsets go on. */
  readonly forget: () => void
  /** Number of reads and appends so far. */
  readonly calls: () => number
}

/** Creates an empty stream in its first era. */
export const createFakeClaimStream = (): FakeClaimStream => {
  let records: readonly ClaimRecord[] = []
  let end = 0
  let era = 0
  let calls = 0

  const perform = (effect: ClaimEffect): ClaimInput => {
    const { token } = effect
    calls++
    if (effect.kind === 'claim.read') return { kind: 'claim.records', token, records: records.filter(({ offset }) => offset >= effect.from), end, era }
    if (effect.at !== end) return { kind: 'claim.refused', token, end, era }
    records = [...records, { offset: end, claim: effect.claim }]
    end++
    return { kind: 'claim.accepted', token, era }
  }

  const restoreWithout = (count: number): void => {
    end = Math.max(0, end - count)
    records = records.filter(({ offset }) => offset < end)
    era++
  }

  return { perform, restoreWithout, forget: () => { records = [] }, calls: () => calls }
}
