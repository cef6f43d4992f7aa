/**
 * What this instance's attempts prove about parts of prompts: a worker that is
 * heard for some time after it has begun to write an answer has not crashed of the
 * parts of that prompt. A proof is dated by the time at which the answer began.
 */
import { LRUCache } from 'lru-cache'
import type { ScopedFeature, PoisonAttempt } from './poisonRequestsTypes.js'
import { onsetTime } from './poisonRequestsTypes.js'

/** A part that did not crash the worker that began an answer on it at `begunAt` (ms). */
export interface FeatureProof extends ScopedFeature {
  readonly begunAt: number
}

/** The proofs of one instance; times in ms. */
export interface FeatureProofs {
  /** Records that an answer has begun. */
  readonly begin: (attempt: PoisonAttempt, model: string, parts: readonly string[], now: number) => void
  /** Records that an attempt was cut or cancelled, so that it proves nothing more. */
  readonly drop: (worker: string, attempt: number) => void
  /** Records that a lifetime of a worker has sent data; returns what this proves. */
  readonly hear: (worker: string, startedAt: number, now: number) => readonly FeatureProof[]
  /** When the last answer that proves a part began; undefined if there is none. */
  readonly lastOf: (model: string, part: string) => number | undefined
  readonly tick: (now: number) => void
}

/** Number of parts whose last proof is remembered. */
const maxParts = 5_000
/** Number of attempts at one worker that wait for their proof. */
const maxPending = 500
/** Time without a tick, in ms, after which data may have arrived long before it is read, so that it proves nothing. */
const maxTickGap = 150

interface PendingProof {
  readonly startedAt: number
  readonly begunAt: number
  readonly model: string
  readonly parts: readonly string[]
}

/** Creates the proofs of an instance, without any. */
export const createFeatureProofs = (): FeatureProofs => {
  const proven = new LRUCache<string, number>({ max: maxParts })
  /** By worker and attempt, in the order in which the answers began. */
  const pending = new Map<string, Map<number, PendingProof>>()
  let lastTickAt: number | undefined

  const clearAfterGap = (now: number): void => {
    if (lastTickAt !== undefined && now - lastTickAt > maxTickGap) pending.clear()
  }

  const begin = ({ id, worker, workerStartedAt }: PoisonAttempt, model: string, parts: readonly string[], now: number): void => {
    if (parts.length === 0) return
    const ofWorker = pending.get(worker) ?? new Map<number, PendingProof>()
    pending.set(worker, ofWorker)
    if (ofWorker.size >= maxPending) ofWorker.clear()
    ofWorker.set(id, { startedAt: workerStartedAt, begunAt: now, model, parts })
  }

  const prove = ({ model, parts, begunAt }: PendingProof): readonly FeatureProof[] => parts.map(part => {
    proven.set(`${model}/${part}`, begunAt)
    return { model, part, begunAt }
  })

  const hear = (worker: string, startedAt: number, now: number): readonly FeatureProof[] => {
    clearAfterGap(now)
    const ofWorker = pending.get(worker)
    if (ofWorker === undefined) return []
    const proofs: FeatureProof[] = []
    for (const [attempt, waiting] of ofWorker) {
      if (now - waiting.begunAt < onsetTime) break
      ofWorker.delete(attempt)
      if (waiting.startedAt === startedAt) proofs.push(...prove(waiting))
    }
    if (ofWorker.size === 0) pending.delete(worker)
    return proofs
  }

  return {
    begin,
    drop: (worker, attempt) => { pending.get(worker)?.delete(attempt) },
    hear,
    lastOf: (model, part) => proven.get(`${model}/${part}`),
    tick: now => {
      clearAfterGap(now)
      lastTickAt = now
    }
  }
}
