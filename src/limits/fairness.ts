/**
 * Fairness between workspaces when there is not enough for all. A workspace is
 * entitled to its usual part of the work, and to an equal part at least; its
 * recent part is compared with that. One that is over it is admitted only while
 * the queue is short, so that it takes nothing from the others.
 */

/** Recent and usual work by workspace. */
export interface Fairness {
  readonly note: (workspace: string, work: number, now: number) => void
  /** Recent work of a workspace over what it is entitled to; 1 is exactly fair. */
  readonly ratio: (workspace: string, now: number) => number
}

interface Account {
  recent: number
  usual: number
  at: number
}

/** Time in which half of the recent work is forgotten, in ms. */
const recentHalfLife = 2000
/** Time in which half of the usual work is forgotten, in ms. */
const usualHalfLife = 120_000
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

  const note = (workspace: string, work: number, now: number): void => {
    const account = accounts.get(workspace) ?? { recent: 0, usual: 0, at: now }
    accounts.set(workspace, account)
    fade(account, now)
    account.recent += work
    account.usual += work
  }

  const fadeAll = (now: number): void => {
    for (const [id, account] of accounts) {
      fade(account, now)
      if (account.usual < forgottenBelow) accounts.delete(id)
    }
  }

  const ratio = (workspace: string, now: number): number => {
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
    let entitlements = 0
    for (const [id, other] of accounts) entitlements += weightOf(id) * Math.max(equal, other.usual)
    const entitled = weightOf(workspace) * Math.max(equal, account.usual) / entitlements
    return recent === 0 ? 0 : account.recent / recent / entitled
  }

  return { note, ratio }
}
