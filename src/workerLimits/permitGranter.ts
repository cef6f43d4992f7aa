/**
 * Grants the permits of one limited worker. A permit allows one request. The
 * instance that grants them for a worker is the only one to do so, so that the
 * worker gets no more from all instances together than the permits granted: in
 * any span, the limit times the span and the validity of a permit, plus the burst.
 * Instances that were denied one and have more urgent requests come before others.
 */

/** An instance's wish for permits. */
export interface PermitRequest {
  readonly instance: string
  /** Priority of the request for which it is made; 0 is the highest. */
  readonly priority: number
  /** Requests a second that the worker takes from the askers of this instance. */
  readonly perSecond: number
  /** Number of instances that may ask. */
  readonly instances: number
}

/** Granted permits, or when to ask again. */
export type PermitDecision =
  | { readonly kind: 'granted', readonly count: number }
  /** `wait` in ms. */
  | { readonly kind: 'denied', readonly wait: number }

/** Grants the permits of one lifetime of a worker. */
export interface PermitGranter {
  readonly decide: (request: PermitRequest, now: number) => PermitDecision
}

/** Time within which a granted permit has to be used, in ms. */
export const permitValidity = 500
/** Lowest rate, in requests a second: a worker that takes none is asked now and then whether this still holds. */
const minPerSecond = 0.05
/** Permits that are saved up, in addition to those of `burstTime`. */
const baseBurst = 2
/** Time for which permits are saved up, in ms. */
const burstTime = 500
/** Time whose permits are granted at once, in ms, over all instances. */
const batchTime = 250
/** Time for which a more urgent instance that was denied a permit keeps its precedence once it may ask again, in ms. */
const precedenceTime = 200
/** Shortest and longest time until a denied instance asks again, in ms; the longest is exceeded only by the time for one permit. */
const minWait = 50
const maxWait = 4_000
const msPerSecond = 1_000

interface Denial {
  readonly priority: number
  readonly until: number
}

/**
 * Creates a granter without saved permits, since another instance may have granted some until now.
 *
 * @param createdAt - present time, in ms
 */
export const createPermitGranter = (createdAt: number): PermitGranter => {
  const denials = new Map<string, Denial>()
  let saved = 0
  let savedAt = createdAt

  const removeExpiredDenials = (now: number): void => {
    for (const [instance, { until }] of denials) if (until + precedenceTime <= now) denials.delete(instance)
  }

  const save = (perMs: number, now: number): number => {
    const capacity = baseBurst + burstTime * perMs
    saved = Math.min(capacity, saved + Math.max(0, now - savedAt) * perMs)
    savedAt = now
    return capacity
  }

  const decide = ({ instance, priority, perSecond, instances }: PermitRequest, now: number): PermitDecision => {
    const perMs = Math.max(perSecond, minPerSecond) / msPerSecond
    const capacity = save(perMs, now)
    denials.delete(instance)
    removeExpiredDenials(now)
    const before = [...denials.values()].filter(denial => denial.priority < priority).length
    const free = saved - Math.min(before, capacity - 1)
    if (free >= 1) {
      const count = Math.max(1, Math.min(Math.floor(free), Math.floor(batchTime * perMs / instances)))
      saved -= count
      return { kind: 'granted', count }
    }
    const timeToPermit = (1 - free + denials.size) / perMs
    const wait = Math.max(minWait, Math.min(timeToPermit, Math.max(maxWait, 1 / perMs)))
    denials.set(instance, { priority, until: now + wait })
    return { kind: 'denied', wait }
  }

  return { decide }
}
