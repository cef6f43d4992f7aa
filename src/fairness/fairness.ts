/**
 * Fairness between workspaces when capacity is short. A workspace is entitled to its
 * usual share of the work, and to an equal share at least. Requests of a workspace
 * whose recent share exceeds this entitlement are admitted only while the queue is
 * short, so that they take no capacity from the others.
 *
 * Two readings exist. `usageRatio` counts all admitted work (`recordWork`).
 * `standing` is for callers that record apart what is offered, the work within a
 * share and the work beyond it: what a workspace offers shows whether it floods,
 * and one that does keeps its share while the rest of its requests is excess. Work
 * that was done without shortage is usual, however much it is, so that a large
 * workspace is known as such soon after the start of an instance.
 */

/** Recent and usual work by workspace. Times are in ms, work in tokens. */
export interface Fairness {
  /** Records admitted work of a workspace. */
  readonly recordWork: (workspace: string, work: number, now: number) => void
  /** Returns the recent share of a workspace divided by the share that it is entitled to: 1 is exactly fair; the result is 0 for a workspace without work, or if there are no others. */
  readonly usageRatio: (workspace: string, now: number) => number
  /** Records work that a workspace asks for, admitted or not. */
  readonly recordOffer: (workspace: string, work: number, now: number) => void
  /** Records admitted work within the share of a workspace. */
  readonly recordWithin: (workspace: string, work: number, now: number) => void
  /** Records admitted work beyond the share of a workspace. */
  readonly recordExcess: (workspace: string, work: number, isShort: boolean, now: number) => void
  /** Takes back work within the share that was not done after all. */
  readonly withdrawWithin: (workspace: string, work: number, now: number) => void
  /** Returns how much of its share a workspace uses. */
  readonly standing: (workspace: string, now: number) => Standing
}

/** What one workspace uses and asks for beside the others. */
export interface Standing {
  /** 0 for a workspace that asks for no more than its share; else its recent work within the share divided by the share: above 1, further work is excess. */
  readonly usageRatio: number
  /** Fraction of the recently offered work that the other workspaces have: 0 if they want nothing. */
  readonly othersShare: number
}

interface WorkspaceUsage {
  /** When the workspace was first seen, in ms. */
  readonly since: number
  /** Work that decays with `recentHalfLife`, in tokens. */
  recent: number
  /** Work that decays with `usualHalfLife`, in tokens. */
  usual: number
  /** Offered work that decays with `recentHalfLife`, in tokens. */
  offered: number
  /** Squares of the offered work of each request, in tokens squared: the variance of `offered` by chance. */
  squares: number
  /** When work was last offered or recorded, in ms. */
  lastSeenAt: number
  /** When the figures were last decayed, in ms. */
  at: number
}

/** Sums over the workspaces that had work of late, and when they were computed, in ms. */
interface Totals {
  readonly at: number
  readonly active: number
  readonly recent: number
  readonly usual: number
  readonly offered: number
}

/** Half-life of the recent work, in ms. */
const recentHalfLife = 4000
/** Half-life of the usual work, in ms. */
const usualHalfLife = 120_000
/** Usage ratio above which a workspace counts as flooding, so that its work adds only slowly to its usual work. */
const floodRatio = 1.7
/** Exponent of the usage ratio by which flooding work is divided before it adds to the usual work. */
const excessExponent = 3
/** Time since a workspace was first seen after which its usual work counts fully, in ms. */
const fullHistory = 20_000
/** Usual and offered work, in tokens, below which a workspace is removed. */
const minUsualWork = 1
/** Divisor of excess work under shortage before it adds to the usual work, so that a flood of a minute hardly raises the entitlement. */
const excessDivisor = 20
/** Time since its last request after which a workspace no longer takes part in the division of shares, in ms. */
const activeTime = 10_000
/** Allowance for chance before a workspace counts as flooding, in standard deviations of its offered work: an instance sees few requests of each workspace. */
const chanceDeviations = 1.5
/** Time for which the sums over all workspaces are reused, in ms. */
const totalsLifetime = 20

/**
 * Creates a record without any work.
 *
 * @param weightOf - returns the relative share of a workspace
 * @returns the record
 */
export const createFairness = (weightOf: (workspace: string) => number): Fairness => {
  const usages = new Map<string, WorkspaceUsage>()
  let totals: Totals = { at: -Infinity, active: 0, recent: 0, usual: 0, offered: 0 }

  const decay = (usage: WorkspaceUsage, now: number): void => {
    const elapsed = now - usage.at
    usage.recent *= 0.5 ** (elapsed / recentHalfLife)
    usage.usual *= 0.5 ** (elapsed / usualHalfLife)
    usage.offered *= 0.5 ** (elapsed / recentHalfLife)
    usage.squares *= 0.5 ** (2 * elapsed / recentHalfLife)
    usage.at = now
  }

  const decayAll = (now: number): void => {
    for (const [id, usage] of usages) {
      decay(usage, now)
      if (usage.usual < minUsualWork && usage.offered < minUsualWork) usages.delete(id)
    }
  }

  const usageRatio = (workspace: string, now: number): number => {
    decayAll(now)
    const usage = usages.get(workspace)
    if (usage === undefined || usages.size < 2) return 0
    let recent = 0
    let usual = 0
    for (const other of usages.values()) {
      recent += other.recent
      usual += other.usual
    }
    const equalShare = usual / usages.size
    const entitlement = (id: string, entitledUsage: WorkspaceUsage): number => {
      const historyWeight = Math.min(1, (now - entitledUsage.since) / fullHistory)
      return weightOf(id) * Math.max(equalShare, historyWeight * entitledUsage.usual + (1 - historyWeight) * equalShare)
    }
    let entitlements = 0
    for (const [id, other] of usages) entitlements += entitlement(id, other)
    const entitledShare = entitlement(workspace, usage) / entitlements
    return recent === 0 ? 0 : usage.recent / recent / entitledShare
  }

  const usageOf = (workspace: string, now: number): WorkspaceUsage => {
    const usage = usages.get(workspace) ?? { since: now, recent: 0, usual: 0, offered: 0, squares: 0, lastSeenAt: now, at: now }
    usages.set(workspace, usage)
    decay(usage, now)
    usage.lastSeenAt = now
    return usage
  }

  const recordWork = (workspace: string, work: number, now: number): void => {
    const ratio = usageRatio(workspace, now)
    const usage = usageOf(workspace, now)
    usage.recent += work
    usage.usual += ratio > floodRatio ? work / ratio ** excessExponent : work
  }

  const recordOffer = (workspace: string, work: number, now: number): void => {
    const usage = usageOf(workspace, now)
    usage.offered += work
    usage.squares += work ** 2
  }

  const recordWithin = (workspace: string, work: number, now: number): void => {
    const usage = usageOf(workspace, now)
    usage.recent += work
    usage.usual += work
  }

  const recordExcess = (workspace: string, work: number, isShort: boolean, now: number): void => {
    usageOf(workspace, now).usual += isShort ? work / excessDivisor : work
  }

  const withdrawWithin = (workspace: string, work: number, now: number): void => {
    const usage = usageOf(workspace, now)
    usage.recent = Math.max(0, usage.recent - work)
    usage.usual = Math.max(0, usage.usual - work)
  }

  const currentTotals = (now: number): Totals => {
    if (now - totals.at < totalsLifetime) return totals
    decayAll(now)
    const active = [...usages.values()].filter(({ lastSeenAt }) => now - lastSeenAt < activeTime)
    const sum = (read: (usage: WorkspaceUsage) => number): number => active.reduce((total, usage) => total + read(usage), 0)
    totals = { at: now, active: active.length, recent: sum(({ recent }) => recent), usual: sum(({ usual }) => usual), offered: sum(({ offered }) => offered) }
    return totals
  }

  /** Fraction of the work that a workspace is entitled to. The fractions are not scaled to a sum of 1, so that a workspace with its usual work is within its share where others use less than an equal one. */
  const entitledFraction = (workspace: string, usage: WorkspaceUsage, { active, usual }: Totals, now: number): number => {
    const historyWeight = Math.min(1, (now - usage.since) / fullHistory)
    const usualShare = usual === 0 ? 0 : historyWeight * usage.usual / usual
    return Math.min(1, weightOf(workspace) * Math.max(1 / Math.max(1, active), usualShare))
  }

  const standing = (workspace: string, now: number): Standing => {
    const current = currentTotals(now)
    const usage = usages.get(workspace)
    if (usage === undefined || current.offered === 0) return { usageRatio: 0, othersShare: current.offered === 0 ? 0 : 1 }
    decay(usage, now)
    const othersShare = Math.max(0, 1 - usage.offered / current.offered)
    const fraction = entitledFraction(workspace, usage, current, now)
    const isFlooding = usage.offered > fraction * current.offered + chanceDeviations * Math.sqrt(usage.squares)
    const share = fraction * current.recent
    return { usageRatio: isFlooding && share > 0 ? usage.recent / share : 0, othersShare }
  }

  return { recordWork, usageRatio, recordOffer, recordWithin, recordExcess, withdrawWithin, standing }
}

/**
 * Records a request for an instance that sees those of many, such as the coordinator
 * of a group of workers, and returns the standing by which it is judged: its work is
 * counted as within the share, or as excess if the usage ratio is above 1.
 *
 * @param fairness - the shares, to which the request is added
 * @param workspace - name of the workspace
 * @param work - work of the request, in tokens
 * @param isShort - whether the workers are short of room
 * @param now - present time, in ms
 */
export const recordRequest = (fairness: Fairness, workspace: string, work: number, isShort: boolean, now: number): Standing => {
  fairness.recordOffer(workspace, work, now)
  const standing = fairness.standing(workspace, now)
  if (standing.usageRatio > 1) fairness.recordExcess(workspace, work, isShort, now)
  else fairness.recordWithin(workspace, work, now)
  return standing
}
