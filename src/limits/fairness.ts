/**
 * Fairness between workspaces when there is not enough for all. Each
 * workspace's recent work is compared with its weighted part of all recent
 * work; one that is over it is admitted only while the queue is short, and goes
 * behind the others at the engine.
 */

/** Recent work by workspace. */
export interface Fairness {
  readonly note: (workspace: string, work: number, now: number) => void
  /** Work of a workspace over its fair part; 1 is exactly fair. */
  readonly ratio: (workspace: string, now: number) => number
}

interface Account {
  work: number
  at: number
}

/** Time in which half of the work is forgotten, in ms. */
const halfLife = 2000
const forgottenBelow = 1e-3

/**
 * Creates an empty record.
 *
 * @param weightOf - relative share of a workspace
 * @returns the record
 */
export const createFairness = (weightOf: (workspace: string) => number): Fairness => {
  const accounts = new Map<string, Account>()

  const workOf = (account: Account, now: number): number => account.work * 0.5 ** ((now - account.at) / halfLife)

  const note = (workspace: string, work: number, now: number): void => {
    const account = accounts.get(workspace) ?? { work: 0, at: now }
    accounts.set(workspace, { work: workOf(account, now) + work, at: now })
  }

  /** The level at which capacity equal to all recent work would cut the greediest, by water-filling. */
  const fairPart = (workspace: string, now: number): number => {
    const active: { weight: number, work: number }[] = []
    for (const [id, account] of accounts) {
      const work = workOf(account, now)
      if (work < forgottenBelow) accounts.delete(id)
      else active.push({ weight: weightOf(id), work })
    }
    const total = active.reduce((sum, one) => sum + one.work, 0)
    const weights = active.reduce((sum, one) => sum + one.weight, 0)
    return weights === 0 ? Infinity : total * weightOf(workspace) / weights
  }

  const ratio = (workspace: string, now: number): number => {
    const account = accounts.get(workspace)
    if (account === undefined || accounts.size < 2) return 0
    return workOf(account, now) / fairPart(workspace, now)
  }

  return { note, ratio }
}
