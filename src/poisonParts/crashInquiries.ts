/**
 * The inquiries of one instance into crashes, one for each model. When enough
 * crashes are reported under some part, all instances are asked when answers on it,
 * and on others with several crashes, last went well; after the time for their
 * answers, the parts that are still under suspicion are found guilty, the strongest
 * suspect first. A part on which no one was asked is never found guilty.
 */
import { LRUCache } from 'lru-cache'
import { createCrashJudge, type CrashJudge, type JudgedCrash, type Verdict } from './crashJudge.js'

/** What the inquiries depend on; times in ms. */
export interface CrashInquiriesOptions {
  /** Whether this instance is the first judge of a model. */
  readonly isFirstJudge: (model: string) => boolean
  /** Asks all instances, this one included, when answers on parts last went well. */
  readonly ask: (model: string, parts: readonly string[]) => void
  /** Called for each part that is found guilty. */
  readonly onVerdict: (model: string, verdict: Verdict, now: number) => void
  /** Called for each part found guilty before of which one found now explains all crashes. */
  readonly onExplained: (model: string, part: string, now: number) => void
  /** Called after the verdicts of an inquiry. */
  readonly onConcluded: () => void
}

/** The inquiries of one instance; times in ms. */
export interface CrashInquiries {
  readonly add: (model: string, crash: JudgedCrash, now: number) => void
  /** Records that an answer on a part that began at `begunAt` went well. */
  readonly clear: (model: string, part: string, begunAt: number) => void
  /** Takes the crashes under a part, also later ones, as explained. */
  readonly explain: (model: string, part: string) => void
  /** Lets a part no longer explain crashes; if it is `innocent`, neither those of before. */
  readonly release: (model: string, part: string, innocent: boolean) => void
  readonly tick: (now: number) => void
}

/** Time for answers to a question, in ms. */
const answerTime = 150
/** Time, in ms, for which the second judge leaves an inquiry to the first. */
const deferTime = 400
/** Shortest time between two looks at all crashes, in ms. */
const lookInterval = 60
/** Number of parts that one question names. */
const maxQuestionParts = 48
/** Number of parts that one inquiry may find guilty. */
const maxVerdicts = 8
/** Number of models that are judged. */
const maxModels = 16

interface Inquiry {
  readonly judge: CrashJudge
  /** Since when crashes have been reported that were not looked at; undefined if there are none. */
  openSince: number | undefined
  /** When the judge may be consulted again. */
  nextLookAt: number
  /** When all instances were asked; undefined if they are not being asked. */
  askedAt: number | undefined
  /** The parts on which they were asked. */
  asked: ReadonlySet<string>
}

/**
 * Creates the inquiries of an instance, without crashes.
 *
 * @param options - the other judges and what to do with questions and verdicts
 */
export const createCrashInquiries = (options: CrashInquiriesOptions): CrashInquiries => {
  const inquiries = new LRUCache<string, Inquiry>({ max: maxModels })

  const inquiryOf = (model: string): Inquiry => {
    const known = inquiries.get(model) ?? { judge: createCrashJudge(), openSince: undefined, nextLookAt: -Infinity, askedAt: undefined, asked: new Set<string>() }
    inquiries.set(model, known)
    return known
  }

  const conclude = (model: string, inquiry: Inquiry, now: number): void => {
    const { judge, asked } = inquiry
    inquiry.askedAt = undefined
    for (let verdicts = 0; verdicts < maxVerdicts; verdicts++) {
      const [strongest] = judge.suspects(now)
      if (strongest === undefined || !asked.has(strongest.part)) break
      judge.explain(strongest.part)
      options.onVerdict(model, strongest, now)
      for (const part of judge.redundantBeside(strongest.part)) options.onExplained(model, part, now)
    }
    options.onConcluded()
  }

  const ask = (model: string, inquiry: Inquiry, now: number): void => {
    const parts = inquiry.judge.contenders(now).slice(0, maxQuestionParts)
    inquiry.askedAt = now
    inquiry.asked = new Set(parts)
    options.ask(model, parts)
  }

  const pursue = (model: string, inquiry: Inquiry, now: number): void => {
    const { judge, askedAt, openSince } = inquiry
    if (askedAt !== undefined) {
      if (now - askedAt >= answerTime) conclude(model, inquiry, now)
      return
    }
    if (openSince === undefined || (!options.isFirstJudge(model) && now - openSince < deferTime)) return
    if (now < inquiry.nextLookAt) return
    inquiry.nextLookAt = now + lookInterval
    inquiry.openSince = undefined
    if (judge.suspects(now).length > 0) ask(model, inquiry, now)
  }

  return {
    add: (model, crash, now) => {
      const inquiry = inquiryOf(model)
      inquiry.judge.add(crash)
      inquiry.openSince ??= now
    },
    clear: (model, part, begunAt) => inquiryOf(model).judge.clear(part, begunAt),
    explain: (model, part) => inquiryOf(model).judge.explain(part),
    release: (model, part, innocent) => inquiryOf(model).judge.release(part, innocent),
    tick: now => { for (const [model, inquiry] of inquiries.entries()) pursue(model, inquiry, now) }
  }
}
