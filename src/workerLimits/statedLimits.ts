/**
 * The limits that workers have stated: the number of requests a second that a
 * worker takes from all instances together. A limit holds for one lifetime of the
 * worker, and until a response to a later request comes without one. Statements
 * come from this instance's own responses and from other instances, so each is
 * dated, and an older one does not replace a newer one.
 */

/** A limit that a lifetime of a worker has stated. */
export interface StatedLimit {
  readonly worker: string
  /** Start time of that lifetime. */
  readonly startedAt: number
  /** Requests a second, from all instances together; 0 or more. */
  readonly perSecond: number
  /** When it was last stated, in ms of the steady clock. */
  readonly statedAt: number
}

/** How a statement changed what is known of a worker. */
export type LimitChange = 'stated' | 'changed' | 'withdrawn' | 'none'

/** The limits known to one instance; times in ms. */
export interface StatedLimits {
  /** Records a stated limit. */
  readonly state: (limit: StatedLimit) => LimitChange
  /** Records that a request sent at `sentAt` was run and its response stated no limit. */
  readonly withdraw: (worker: string, startedAt: number, sentAt: number) => LimitChange
  /** Returns the limit of a lifetime of a worker; undefined if it has none. */
  readonly get: (worker: string, startedAt: number) => StatedLimit | undefined
  readonly all: () => readonly StatedLimit[]
  /** Removes what is known of a worker that is gone. */
  readonly forget: (worker: string) => void
}

/** Creates an empty record of limits. */
export const createStatedLimits = (): StatedLimits => {
  const limits = new Map<string, StatedLimit>()

  const get = (worker: string, startedAt: number): StatedLimit | undefined => {
    const known = limits.get(worker)
    return known?.startedAt === startedAt ? known : undefined
  }

  const state = (limit: StatedLimit): LimitChange => {
    const known = limits.get(limit.worker)
    if (known !== undefined && limit.startedAt < known.startedAt) return 'none'
    if (known === undefined || known.startedAt !== limit.startedAt) {
      limits.set(limit.worker, limit)
      return 'stated'
    }
    if (limit.statedAt < known.statedAt) return 'none'
    limits.set(limit.worker, limit)
    return limit.perSecond === known.perSecond ? 'none' : 'changed'
  }

  const withdraw = (worker: string, startedAt: number, sentAt: number): LimitChange => {
    const known = get(worker, startedAt)
    // The response to a request that was sent before the limit was stated may be older than that statement.
    if (known === undefined || sentAt <= known.statedAt) return 'none'
    limits.delete(worker)
    return 'withdrawn'
  }

  return { state, withdraw, get, all: () => [...limits.values()], forget: worker => { limits.delete(worker) } }
}
