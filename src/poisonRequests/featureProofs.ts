/**
 * What this instance's attempts prove about features of requests: a worker that is
 * heard for some time after it has begun to write an answer, or that has answered
 * it whole, has not crashed of that request. A proof is dated by the time at which
 * the answer began, or at which the request was sent.
 */
import { LRUCache } from 'lru-cache'
import { isWholeRequest, keyOf, type ScopedFeature } from './features.js'
import { onsetTime, type PoisonAttempt } from './poisonRequestsTypes.js'

/** A feature that did not crash the worker that began an answer on it at `begunAt` (ms). */
export interface FeatureProof extends ScopedFeature {
  readonly begunAt: number
}

/** The proofs of one instance; times in ms. */
export interface FeatureProofs {
  /** Records that an answer has begun. */
  readonly begin: (attempt: PoisonAttempt, scope: string, features: readonly string[], now: number) => void
  /** Records that an attempt has brought a whole answer to the request that the feature stands for; returns what this proves. */
  readonly complete: (attempt: PoisonAttempt, request: ScopedFeature) => FeatureProof
  /** Records that an attempt was cut or cancelled, so that it proves nothing more. */
  readonly drop: (worker: string, attempt: number) => void
  /** Records that a lifetime of a worker has sent data; returns what this proves. */
  readonly hear: (worker: string, startedAt: number, now: number) => readonly FeatureProof[]
  /** When the last answer that proves a feature began; undefined if there is none. */
  readonly lastOf: (feature: ScopedFeature) => number | undefined
  readonly tick: (now: number) => void
}

/** Number of parts, and of whole requests, whose last proof is remembered. */
const maxProofs = 5_000
/** Number of attempts at one worker that wait for their proof. */
const maxPending = 500
/** Time without a tick, in ms, after which data may have arrived long before it is read, so that it proves nothing. */
const maxTickGap = 150

interface PendingProof {
  readonly startedAt: number
  readonly begunAt: number
  readonly scope: string
  readonly features: readonly string[]
}

/** Creates the proofs of an instance, without any. */
export const createFeatureProofs = (): FeatureProofs => {
  const provenParts = new LRUCache<string, number>({ max: maxProofs })
  /** Apart from the parts, which the many requests that come once would displace. */
  const provenRequests = new LRUCache<string, number>({ max: maxProofs })
  /** By worker and attempt, in the order in which the answers began. */
  const pending = new Map<string, Map<number, PendingProof>>()
  let lastTickAt: number | undefined

  const tableOf = (feature: string): LRUCache<string, number> => isWholeRequest(feature) ? provenRequests : provenParts

  const clearAfterGap = (now: number): void => {
    if (lastTickAt !== undefined && now - lastTickAt > maxTickGap) pending.clear()
  }

  const begin = ({ id, worker, workerStartedAt }: PoisonAttempt, scope: string, features: readonly string[], now: number): void => {
    const ofWorker = pending.get(worker) ?? new Map<number, PendingProof>()
    pending.set(worker, ofWorker)
    if (ofWorker.size >= maxPending) ofWorker.clear()
    ofWorker.set(id, { startedAt: workerStartedAt, begunAt: now, scope, features })
  }

  const prove = (proof: FeatureProof): FeatureProof => {
    const table = tableOf(proof.feature)
    const key = keyOf(proof)
    table.set(key, Math.max(proof.begunAt, table.get(key) ?? -Infinity))
    return proof
  }

  const hear = (worker: string, startedAt: number, now: number): readonly FeatureProof[] => {
    clearAfterGap(now)
    const ofWorker = pending.get(worker)
    if (ofWorker === undefined) return []
    const proofs: FeatureProof[] = []
    for (const [attempt, waiting] of ofWorker) {
      if (now - waiting.begunAt < onsetTime) break
      ofWorker.delete(attempt)
      const { scope, features, begunAt } = waiting
      if (waiting.startedAt === startedAt) proofs.push(...features.map(feature => prove({ scope, feature, begunAt })))
    }
    if (ofWorker.size === 0) pending.delete(worker)
    return proofs
  }

  return {
    begin,
    complete: ({ sentAt, begunAt = sentAt }, request) => prove({ ...request, begunAt }),
    drop: (worker, attempt) => { pending.get(worker)?.delete(attempt) },
    hear,
    lastOf: feature => tableOf(feature.feature).get(keyOf(feature)),
    tick: now => {
      clearAfterGap(now)
      lastTickAt = now
    }
  }
}
