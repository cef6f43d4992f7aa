/**
 * The investigations of one instance into crashes, one for each scope. When enough
 * crashes are reported under some feature, all instances are asked when answers on it,
 * and on others with several crashes, last went well; after the time for their
 * answers, the features that are still under suspicion are taken as the cause, the strongest
 * suspect first. A feature on which no one was asked is never taken.
 */
import { LRUCache } from 'lru-cache'
import { isWholeRequest } from './features.js'
import { createCrashCorrelator, type CrashCorrelator, type ReportedCrash, type Verdict } from './crashCorrelator.js'

/** What the investigations depend on; times in ms. */
export interface CrashInvestigationsOptions {
  /** Whether this instance is the first coordinator of a scope. */
  readonly isFirstCoordinator: (scope: string) => boolean
  /** Asks all instances, this one included, when answers on features last went well. */
  readonly ask: (scope: string, features: readonly string[]) => void
  /** Called for each feature that is found to crash workers. */
  readonly onVerdict: (scope: string, verdict: Verdict, now: number) => void
  /** Called for each feature that was found before, if one found now explains all of its crashes. */
  readonly onExplained: (scope: string, feature: string, now: number) => void
  /** Called after the verdicts of an investigation. */
  readonly onConcluded: () => void
}

/** The investigations of one instance; times in ms. */
export interface CrashInvestigations {
  readonly add: (scope: string, crash: ReportedCrash, now: number) => void
  /** Records that an answer on a feature that began at `begunAt` went well. */
  readonly clear: (scope: string, feature: string, begunAt: number) => void
  /** Takes the crashes under a feature, also later ones, as explained. */
  readonly explain: (scope: string, feature: string) => void
  /** Lets a feature no longer explain crashes; if it is `sound`, neither those of before. */
  readonly release: (scope: string, feature: string, sound: boolean) => void
  readonly tick: (now: number) => void
}

/** Time for answers to a question, in ms. */
const answerTime = 150
/** Time, in ms, for which the second coordinator leaves an investigation to the first. */
const deferTime = 400
/** Shortest time between two looks at all crashes, in ms. */
const lookInterval = 60
/** Number of features that one question names. */
const maxQuestionFeatures = 48
/** Number of features that one investigation may find. */
const maxVerdicts = 8
/** Number of scopes that are investigated. */
const maxScopes = 16

interface Investigation {
  readonly correlator: CrashCorrelator
  /** Since when crashes have been reported that were not looked at; undefined if there are none. */
  openSince: number | undefined
  /** When the correlator may be consulted again. */
  nextLookAt: number
  /** When all instances were asked; undefined if they are not being asked. */
  askedAt: number | undefined
  /** The features on which they were asked. */
  asked: ReadonlySet<string>
}

/**
 * The suspects that are taken at once: the strongest, and if that is a whole request,
 * the other whole requests under enough crashes, too. Nothing tells these apart, and
 * each concerns only those who send it.
 */
const strongestOf = (suspects: readonly Verdict[], asked: ReadonlySet<string>): readonly Verdict[] => {
  const [strongest] = suspects
  if (strongest === undefined || !asked.has(strongest.feature)) return []
  if (!isWholeRequest(strongest.feature)) return [strongest]
  return suspects.filter(({ feature }) => isWholeRequest(feature) && asked.has(feature))
}

/**
 * Creates the investigations of an instance, without crashes.
 *
 * @param options - the other coordinators and what to do with questions and verdicts
 */
export const createCrashInvestigations = (options: CrashInvestigationsOptions): CrashInvestigations => {
  const investigations = new LRUCache<string, Investigation>({ max: maxScopes })

  const investigationOf = (scope: string): Investigation => {
    const known = investigations.get(scope) ?? { correlator: createCrashCorrelator(), openSince: undefined, nextLookAt: -Infinity, askedAt: undefined, asked: new Set<string>() }
    investigations.set(scope, known)
    return known
  }

  const conclude = (scope: string, investigation: Investigation, now: number): void => {
    const { correlator, asked } = investigation
    investigation.askedAt = undefined
    for (let verdicts = 0; verdicts < maxVerdicts; verdicts++) {
      const guilty = strongestOf(correlator.suspects(now), asked)
      if (guilty.length === 0) break
      for (const { feature } of guilty) correlator.explain(feature)
      for (const verdict of guilty) options.onVerdict(scope, verdict, now)
      for (const feature of guilty.flatMap(verdict => correlator.redundantBeside(verdict.feature))) {
        if (!guilty.some(verdict => verdict.feature === feature)) options.onExplained(scope, feature, now)
      }
    }
    options.onConcluded()
  }

  const ask = (scope: string, investigation: Investigation, now: number): void => {
    const features = investigation.correlator.contenders(now).slice(0, maxQuestionFeatures)
    investigation.askedAt = now
    investigation.asked = new Set(features)
    options.ask(scope, features)
  }

  const pursue = (scope: string, investigation: Investigation, now: number): void => {
    const { correlator, askedAt, openSince } = investigation
    if (askedAt !== undefined) {
      if (now - askedAt >= answerTime) conclude(scope, investigation, now)
      return
    }
    if (openSince === undefined || (!options.isFirstCoordinator(scope) && now - openSince < deferTime)) return
    if (now < investigation.nextLookAt) return
    investigation.nextLookAt = now + lookInterval
    investigation.openSince = undefined
    if (correlator.suspects(now).length > 0) ask(scope, investigation, now)
  }

  return {
    add: (scope, crash, now) => {
      const investigation = investigationOf(scope)
      investigation.correlator.add(crash)
      investigation.openSince ??= now
    },
    clear: (scope, feature, begunAt) => investigationOf(scope).correlator.clear(feature, begunAt),
    explain: (scope, feature) => investigationOf(scope).correlator.explain(feature),
    release: (scope, feature, sound) => investigationOf(scope).correlator.release(feature, sound),
    tick: now => { for (const [scope, investigation] of investigations.entries()) pursue(scope, investigation, now) }
  }
}
