/**
 * Fairness between workspaces when there is not enough for all. A workspace is
 * entitled to its usual part of the work, and to an equal part at least; its
 * recent part is compared with that. One that is over it is admitted only while
 * the queue is short, so that it takes nothing from the others.
 */

/** Recent and usual work by workspace. */
export interface Fairness {
  readonly recordWork: (workspace: string, work: number, now: number) => void
  /** Recent work of a workspace over what it is entitled to; 1 is exactly fair. */
  readonly usageRatio: (workspace: string, now: number) => number
}

interface Account {
  /** When the workspace was first seen, in ms. */
  readonly since: number
  recent: number
  usual: number
  at: number
}

/** Time in which half of the recent work is forgotten, in ms. */
const recentHalfLife = 4000
/** Time in which half of the usual work is forgotten, in ms. */
const usualHalfLife = 120_000
/** Recent work over the entitled part from which on it is a flood: it becomes usual only slowly. */
const flagrantExcess = 1.7
const excessDiscount = 3
/** Time for which a workspace must be known before its usual part counts fully, in ms. */
const historyNeeded = 20_000
const forgottenBelow = 1

/**
 * Creates an empty record.
 *
 * @param weightOf - relative share of a workspace
 * @returns the record
 */
export const createFairness = (weightOf: (workspace: string) => number): Fairness => {
  const accounts = new Map<string, Account>()

  const fade = (account: Account, now: number): void => {
    const passed = now - account.at
    account.recent *= 0.5 ** (passed / recentHalfLife)
    account.usual *= 0.5 ** (passed / usualHalfLife)
    account.at = now
  }

  const fadeAll = (now: number): void => {
    for (const [id, account] of accounts) {
      fade(account, now)
      if (account.usual < forgottenBelow) accounts.delete(id)
    }
  }

  const usageRatio = (workspace: string, now: number): number => {
    fadeAll(now)
    const account = accounts.get(workspace)
    if (account === undefined || accounts.size < 2) return 0
    let recent = 0
    let usual = 0
    for (const other of accounts.values()) {
      recent += other.recent
      usual += other.usual
    }
    const equal = usual / accounts.size
    const entitlement = (id: string, of: Account): number => {
      const known = Math.min(1, (now - of.since) / historyNeeded)
      return weightOf(id) * Math.max(equal, known * of.usual + (1 - known) * equal)
    }
    let entitlements = 0
    for (const [id, other] of accounts) entitlements += entitlement(id, other)
    const entitled = entitlement(workspace, account) / entitlements
    return recent === 0 ? 0 : account.recent / recent / entitled
  }

  const recordWork = (workspace: string, work: number, now: number): void => {
    const excess = usageRatio(workspace, now)
    const account = accounts.get(workspace) ?? { since: now, recent: 0, usual: 0, at: now }
    accounts.set(workspace, account)
    fade(account, now)
    account.recent += work
    account.usual += excess > flagrantExcess ? work / excess ** excessDiscount : work
  }

  return { recordWork, usageRatio }
}
