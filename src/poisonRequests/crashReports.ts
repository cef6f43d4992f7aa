/**
 * The crashes that this instance has noticed, and which coordinators have heard of
 * them. A coordinator may end at any time, and the next one knows nothing: then each
 * instance reports again what it has seen itself, so that the count goes on.
 */
import { LRUCache } from 'lru-cache'
import { crashMemory } from './crashCorrelator.js'
import type { ScopedFeature } from './features.js'
import type { CrashReport, Suspect } from './poisonRequestsTypes.js'
import type { CutAttempt, WorkerCrash } from './workerCrashes.js'

/** A crash as it was noticed; `at` in ms. */
export interface NoticedCrash {
  readonly report: Omit<CrashReport, 'age'>
  readonly at: number
}

/** What the reports depend on. */
export interface CrashReportsOptions {
  /** Returns the instances that coordinate a scope now. */
  readonly coordinatorsOf: (scope: string) => readonly string[]
  /** Reports to a coordinator, which may be this instance. */
  readonly report: (to: string, crash: NoticedCrash, now: number) => void
}

/** The reports of one instance; times in ms. */
export interface CrashReports {
  readonly add: (crash: NoticedCrash, now: number) => void
  /** The other instances, or one of them, may have changed: `renewed` has started anew and knows nothing. */
  readonly instancesChanged: (renewed?: string) => void
  /** Reports to the coordinators that have not heard of a crash. */
  readonly tick: (now: number) => void
}

/** Number of crashes that are kept, of all scopes. */
const maxReports = 200
/** Number of suspects that one report names. */
const maxSuspects = 48
/** Shortest time between two looks at the coordinators, in ms, so that many changes cost one. */
const lookInterval = 100

interface KeptReport {
  readonly crash: NoticedCrash
  readonly informed: Set<string>
}

/** When an answer on a feature last went well, in ms; undefined if none is known. */
type LastProof = (feature: ScopedFeature) => number | undefined

const suspectsOf = (attempt: CutAttempt, lastProofOf: LastProof, now: number): readonly Suspect[] => {
  const { scope, features, request, answered } = attempt
  return features.map((feature, depth) => {
    const provenAt = lastProofOf({ scope, feature })
    return { part: feature, depth, request, begun: answered, ...(provenAt === undefined ? {} : { provenAge: Math.max(0, now - provenAt) }) }
  })
}

/**
 * Builds the reports of a crash, one for each scope of the attempts that may have caused it.
 *
 * @param crash - the crash
 * @param lastProofOf - what this instance knows of sound features
 * @param now - present time, in ms
 */
export const noticedCrashes = ({ worker, startedAt, at, attempts }: WorkerCrash, lastProofOf: LastProof, now: number): readonly NoticedCrash[] => {
  // Those that had begun first, as they are the likelier ones.
  const sorted = [...attempts].sort((left, right) => Number(right.answered) - Number(left.answered))
  return [...new Set(attempts.map(({ scope }) => scope))].map(scope => {
    const suspects = sorted.filter(attempt => attempt.scope === scope).flatMap(attempt => suspectsOf(attempt, lastProofOf, now))
    return { report: { kind: 'fleet.workerCrash', model: scope, worker, startedAt, suspects: suspects.slice(0, maxSuspects) }, at }
  })
}

/**
 * Creates the reports of an instance, without any.
 *
 * @param options - the coordinators
 */
export const createCrashReports = ({ coordinatorsOf, report }: CrashReportsOptions): CrashReports => {
  const kept = new LRUCache<number, KeptReport>({ max: maxReports })
  let lastId = 0
  let mayHaveChanged = false
  let nextLookAt = -Infinity

  const inform = ({ crash, informed }: KeptReport, coordinators: readonly string[], now: number): void => {
    for (const coordinator of coordinators) {
      if (informed.has(coordinator)) continue
      informed.add(coordinator)
      report(coordinator, crash, now)
    }
  }

  const add = (crash: NoticedCrash, now: number): void => {
    lastId++
    const entry: KeptReport = { crash, informed: new Set() }
    kept.set(lastId, entry)
    inform(entry, coordinatorsOf(crash.report.model), now)
  }

  const informAll = (now: number): void => {
    const coordinators = new Map<string, readonly string[]>()
    for (const [id, entry] of [...kept.entries()]) {
      const scope = entry.crash.report.model
      if (now - entry.crash.at > crashMemory) {
        kept.delete(id)
        continue
      }
      const ofScope = coordinators.get(scope) ?? coordinatorsOf(scope)
      coordinators.set(scope, ofScope)
      inform(entry, ofScope, now)
    }
  }

  return {
    add,
    instancesChanged: renewed => {
      if (renewed !== undefined) for (const { informed } of kept.values()) informed.delete(renewed)
      mayHaveChanged = true
    },
    tick: now => {
      if (!mayHaveChanged || now < nextLookAt) return
      mayHaveChanged = false
      nextLookAt = now + lookInterval
      informAll(now)
    }
  }
}
