/**
 * Fraction of a quota that a granter may grant while it does not hear all instances,
 * since another may grant on the other side of a partition. Of two sides that see
 * the fractions s and 1 - s of the instances, the larger grants nearly all and the
 * smaller little, together never more than the quota. A fraction that rises counts
 * only after a while, in which the other side hears of this one and stops.
 */

/** What a granter may grant. */
export interface GranterShare {
  /** Records the fraction of the known instances that are live; `now` in ms. */
  readonly note: (liveShare: number, now: number) => void
  /** Returns the fraction of each quota that may be granted. */
  readonly value: () => number
}

/** Time for which the smallest fraction of the live instances counts, in ms. */
const riseDelay = 1_000
/** Smallest fraction of a quota that a granter grants: one that hears nobody does not shut a workspace out. */
const minShare = 0.01

/** Creates the share of a granter that has heard all instances. */
export const createGranterShare = (): GranterShare => {
  let observed: { readonly share: number, readonly at: number }[] = []
  let lowest = 1

  const note = (liveShare: number, now: number): void => {
    const share = Number.isFinite(liveShare) ? Math.min(1, Math.max(0, liveShare)) : 1
    observed = [...observed.filter(({ at }) => at > now - riseDelay), { share, at: now }]
    lowest = Math.min(...observed.map(entry => entry.share))
  }

  // The values at s and 1 - s add up to 1.
  return { note, value: () => Math.max(minShare, lowest * lowest * (3 - 2 * lowest)) }
}
