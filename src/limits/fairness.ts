/**
 * Fairness between workspaces when capacity is short. A workspace is entitled to its
 * usual share of the work, and to an equal share at least. Requests of a workspace
 * whose recent share exceeds this entitlement are admitted only while the queue is
 * short, so that they take no capacity from the others.
 */

/** Recent and usual work by workspace. Times are in ms, work in tokens. */
export interface Fairness {
  /** Records admitted work of a workspace. */
  readonly recordWork: (workspace: string, work: number, now: number) => void
  /** Returns the recent share of a workspace divided by the share that it is entitled to: 1 is exactly fair; the result is 0 for a workspace without work, or if there are no others. */
  readonly usageRatio: (workspace: string, now: number) => number
}

interface WorkspaceUsage {
  /** When the workspace was first seen, in ms. */
  readonly since: number
  /** Work that decays with `recentHalfLife`, in tokens. */
  recent: number
  /** Work that decays with `usualHalfLife`, in tokens. */
  usual: number
  /** When the figures were last decayed, in ms. */
  at: number
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
/** Usual work, in tokens, below which a workspace is removed. */
const minUsualWork = 1

/**
 * Creates a record without any work.
 *
 * @param weightOf - returns the relative share of a workspace
 * @returns the record
 */
export const createFairness = (weightOf: (workspace: string) => number): Fairness => {
  const usages = new Map<string, WorkspaceUsage>()

  const decay = (usage: WorkspaceUsage, now: number): void => {
    const elapsed = now - usage.at
    usage.recent *= 0.5 ** (elapsed / recentHalfLife)
    usage.usual *= 0.5 ** (elapsed / usualHalfLife)
    usage.at = now
  }

  const decayAll = (now: number): void => {
    for (const [id, usage] of usages) {
      decay(usage, now)
      if (usage.usual < minUsualWork) usages.delete(id)
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

  const recordWork = (workspace: string, work: number, now: number): void => {
    const ratio = usageRatio(workspace, now)
    const usage = usages.get(workspace) ?? { since: now, recent: 0, usual: 0, at: now }
    usages.set(workspace, usage)
    decay(usage, now)
    usage.recent += work
    usage.usual += ratio > floodRatio ? work / ratio ** excessExponent : work
  }

  return { recordWork, usageRatio }
}
