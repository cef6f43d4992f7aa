/**
 * The investigations of one instance into crashes, one for each model. When enough
 * crashes are reported under some part, all instances are asked when answers on it,
 * and on others with several crashes, last went well; after the time for their
 * answers, the parts that are still under suspicion are taken as the cause, the strongest
 * suspect first. A part on which no one was asked is never taken.
 */
import { LRUCache } from 'lru-cache'
import { createCrashCorrelator, type CrashCorrelator, type ReportedCrash, type Verdict } from './crashCorrelator.js'

/** What the investigations depend on; times in ms. */
export interface CrashInvestigationsOptions {
  /** Whether this instance is the first coordinator of a model. */
  readonly isFirstCoordinator: (model: string) => boolean
  /** Asks all instances, this one included, when answers on parts last went well. */
  readonly ask: (model: string, parts: readonly string[]) => void
  /** Called for each part that is found to crash workers. */
  readonly onVerdict: (model: string, verdict: Verdict, now: number) => void
  /** Called for each part that was found before, if one found now explains all of its crashes. */
  readonly onExplained: (model: string, part: string, now: number) => void
  /** Called after the verdicts of an investigation. */
  readonly onConcluded: () => void
}

/** The investigations of one instance; times in ms. */
export interface CrashInvestigations {
  readonly add: (model: string, crash: ReportedCrash, now: number) => void
  /** Records that an answer on a part that began at `begunAt` went well. */
  readonly clear: (model: string, part: string, begunAt: number) => void
  /** Takes the crashes under a part, also later ones, as explained. */
  readonly explain: (model: string, part: string) => void
  /** Lets a part no longer explain crashes; if it is `sound`, neither those of before. */
  readonly release: (model: string, part: string, sound: boolean) => void
  readonly tick: (now: number) => void
}

/** Time for answers to a question, in ms. */
const answerTime = 150
/** Time, in ms, for which the second coordinator leaves an investigation to the first. */
const deferTime = 400
/** Shortest time between two looks at all crashes, in ms. */
const lookInterval = 60
/** Number of parts that one question names. */
const maxQuestionParts = 48
/** Number of parts that one investigation may find. */
const maxVerdicts = 8
/** Number of models that are investigated. */
const maxModels = 16

interface Investigation {
  readonly correlator: CrashCorrelator
  /** Since when crashes have been reported that were not looked at; undefined if there are none. */
  openSince: number | undefined
  /** When the correlator may be consulted again. */
  nextLookAt: number
  /** When all instances were asked; undefined if they are not being asked. */
  askedAt: number | undefined
  /** The parts on which they were asked. */
  asked: ReadonlySet<string>
}

/**
 * Creates the investigations of an instance, without crashes.
 *
 * @param options - the other coordinators and what to do with questions and verdicts
 */
export const createCrashInvestigations = (options: CrashInvestigationsOptions): CrashInvestigations => {
  const investigations = new LRUCache<string, Investigation>({ max: maxModels })

  const investigationOf = (model: string): Investigation => {
    const known = investigations.get(model) ?? { correlator: createCrashCorrelator(), openSince: undefined, nextLookAt: -Infinity, askedAt: undefined, asked: new Set<string>() }
    investigations.set(model, known)
    return known
  }

  const conclude = (model: string, investigation: Investigation, now: number): void => {
    const { correlator, asked } = investigation
    investigation.askedAt = undefined
    for (let verdicts = 0; verdicts < maxVerdicts; verdicts++) {
      const [strongest] = correlator.suspects(now)
      if (strongest === undefined || !asked.has(strongest.part)) break
      correlator.explain(strongest.part)
      options.onVerdict(model, strongest, now)
      for (const part of correlator.redundantBeside(strongest.part)) options.onExplained(model, part, now)
    }
    options.onConcluded()
  }

  const ask = (model: string, investigation: Investigation, now: number): void => {
    const parts = investigation.correlator.contenders(now).slice(0, maxQuestionParts)
    investigation.askedAt = now
    investigation.asked = new Set(parts)
    options.ask(model, parts)
  }

  const pursue = (model: string, investigation: Investigation, now: number): void => {
    const { correlator, askedAt, openSince } = investigation
    if (askedAt !== undefined) {
      if (now - askedAt >= answerTime) conclude(model, investigation, now)
      return
    }
    if (openSince === undefined || (!options.isFirstCoordinator(model) && now - openSince < deferTime)) return
    if (now < investigation.nextLookAt) return
    investigation.nextLookAt = now + lookInterval
    investigation.openSince = undefined
    if (correlator.suspects(now).length > 0) ask(model, investigation, now)
  }

  return {
    add: (model, crash, now) => {
      const investigation = investigationOf(model)
      investigation.correlator.add(crash)
      investigation.openSince ??= now
    },
    clear: (model, part, begunAt) => investigationOf(model).correlator.clear(part, begunAt),
    explain: (model, part) => investigationOf(model).correlator.explain(part),
    release: (model, part, sound) => investigationOf(model).correlator.release(part, sound),
    tick: now => { for (const [model, investigation] of investigations.entries()) pursue(model, investigation, now) }
  }
}
