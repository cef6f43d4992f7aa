/**
 * Finds which part of prompts makes workers crash, from the crashes that all
 * instances report. Each crash has the parts of the prompts on which the worker had
 * just begun to write; a poison part is among them every time, and a sound one
 * by chance. The part with most crashes is taken first, and the crashes under it no
 * longer count against others, so that parts which merely come with it are let alone.
 *
 * Crashes at the same moment count once, since a common cause may have ended these
 * workers. A part on which an answer went well since a crash did not cause it. One
 * on which answers went well before needs more crashes than one never seen sound.
 */
import { LRUCache } from 'lru-cache'

/** A part on which a worker had just begun to write, or perhaps had, when it crashed. */
export interface ReportedSuspect {
  readonly part: string
  /** Position in the prompt, from 0. */
  readonly depth: number
  /** Id that the request which held it shares with its repeats. */
  readonly request: string
  /** Whether the worker had begun to answer that request, as far as the reporter knows. */
  readonly begun: boolean
  /** When the last answer on the part that went well began, in ms, as far as the reporter knows. */
  readonly provenAt?: number
}

/** A crash of a worker; times in ms. */
export interface ReportedCrash {
  readonly worker: string
  readonly startedAt: number
  readonly at: number
  readonly suspects: readonly ReportedSuspect[]
}

/** A part that made workers crash; times in ms. */
export interface Verdict {
  readonly part: string
  /** When the last of the crashes happened. */
  readonly lastCrashAt: number
  /** Number of crashes. */
  readonly crashes: number
  /** Whether answers on the part went well before. */
  readonly wasSound: boolean
}

/** The correlator of the parts of one model; times in ms. */
export interface CrashCorrelator {
  /** Records a crash, or what another instance reports of one. */
  readonly add: (crash: ReportedCrash) => void
  /** Records that an answer on the part that began at `begunAt` went well. */
  readonly clear: (part: string, begunAt: number) => void
  /** Parts that are under suspicion of enough crashes, the strongest first. */
  readonly suspects: (now: number) => readonly Verdict[]
  /** Parts under several crashes, whether these are enough or not, the strongest first. */
  readonly contenders: (now: number) => readonly string[]
  /** Takes the crashes under a part as explained. */
  readonly explain: (part: string) => void
  /** Parts taken as explaining crashes of which the given part, found later, explains all as well. */
  readonly redundantBeside: (part: string) => readonly string[]
  /** Lets a part no longer explain crashes; if it is `sound`, neither those of before. */
  readonly release: (part: string, sound: boolean) => void
}

/** Number of crashes that are remembered. */
const maxCrashes = 60
/** Number of parts of one crash. */
const maxSuspects = 150
/** Number of parts whose last proof is remembered. */
const maxProofs = 5_000
/** Time for which crashes count, in ms. */
const crashMemory = 600_000
/** Time between two moments, in ms. */
const momentTime = 30
/** Number of moments, and of requests, under which a part is under suspicion. */
const minMoments = 3
const minRequests = 2
/** Number of moments that suffice for so many crashes under a part never seen sound. */
const minMomentsOfMany = 2
const manyCrashes = 4
/** Number of moments from which a single request and its repeats suffice. */
const minMomentsOfOneRequest = 5
/** Number of moments by which a part that was sound before has to exceed one never seen sound; it also suffices that so many workers have crashed. */
const soundAllowance = 2
const minCrashesOfSound = 5
/** Number of crashes from which a part may soon be under suspicion. */
const minContenderCrashes = 2
/** What a crash counts under a part that the worker may not have begun to answer. */
const unbegunWeight = 0.5

/** The requests that held a part when a worker crashed. */
interface Holding {
  readonly requests: Set<string>
  /** Position of the part in the prompt. */
  readonly depth: number
  begun: boolean
}

interface Crash {
  at: number
  readonly parts: Map<string, Holding>
  readonly explainedBy: Set<string>
}

/** What the crashes say of one part; times in ms. */
interface Evidence {
  readonly times: number[]
  /** Times of the crashes under an answer that had begun. */
  readonly begunTimes: number[]
  readonly requests: Set<string>
  readonly depth: number
}

interface Candidate extends Verdict {
  /** Number of crashes; those in which no answer had begun count in part. */
  readonly strength: number
  /** Number of moments; those in which no answer had begun count in part. */
  readonly moments: number
  readonly requests: number
  readonly depth: number
}

const countMoments = (times: readonly number[]): number => {
  let moments = 0
  let last = -Infinity
  for (const at of [...times].sort((left, right) => left - right)) {
    if (at - last < momentTime) continue
    moments++
    last = at
  }
  return moments
}

const candidateOf = (part: string, { times, begunTimes, requests, depth }: Evidence, wasSound: boolean): Candidate => {
  const begun = countMoments(begunTimes)
  return {
    part,
    lastCrashAt: Math.max(...times),
    crashes: times.length,
    wasSound,
    strength: begunTimes.length + unbegunWeight * (times.length - begunTimes.length),
    moments: begun + unbegunWeight * Math.max(0, countMoments(times) - begun),
    requests: requests.size,
    depth
  }
}

const allowanceOf = ({ wasSound }: Candidate): number => wasSound ? soundAllowance : 0

const isEnough = (candidate: Candidate): boolean => {
  const { moments, requests, strength, wasSound } = candidate
  const counted = moments - allowanceOf(candidate)
  if (requests < minRequests) return counted >= minMomentsOfOneRequest
  if (counted >= minMoments) return true
  return wasSound ? moments >= minMoments && strength >= minCrashesOfSound : moments >= minMomentsOfMany && strength >= manyCrashes
}

/** Stronger candidates first. Of equals, those never seen sound go first, then the one deepest in prompts, since fewest other requests hold it. */
const compare = (left: Candidate, right: Candidate): number =>
  right.strength - allowanceOf(right) - left.strength + allowanceOf(left) || Number(left.wasSound) - Number(right.wasSound) ||
  (left.wasSound ? right.depth - left.depth : 0) || right.requests - left.requests || right.depth - left.depth

/** Creates a correlator without crashes. */
export const createCrashCorrelator = (): CrashCorrelator => {
  const crashes = new LRUCache<string, Crash>({ max: maxCrashes })
  const explaining = new Set<string>()
  const proofs = new LRUCache<string, number>({ max: maxProofs })

  const clear = (part: string, begunAt: number): void => {
    proofs.set(part, Math.max(begunAt, proofs.get(part) ?? -Infinity))
    for (const crash of crashes.values()) if (crash.at <= begunAt) crash.parts.delete(part)
  }

  const add = ({ worker, startedAt, at, suspects }: ReportedCrash): void => {
    const key = `${worker}/${startedAt}`
    const crash: Crash = crashes.get(key) ?? { at, parts: new Map(), explainedBy: new Set() }
    crash.at = Math.min(crash.at, at)
    crashes.set(key, crash)
    for (const { part, depth, request, begun, provenAt } of suspects) {
      if (provenAt !== undefined) clear(part, provenAt)
      if ((proofs.get(part) ?? -Infinity) >= crash.at) continue
      if (explaining.has(part)) crash.explainedBy.add(part)
      const known = crash.parts.get(part) ?? { requests: new Set<string>(), depth, begun: false }
      known.begun ||= begun
      if (crash.parts.size < maxSuspects) crash.parts.set(part, known)
      known.requests.add(request)
    }
  }

  const collect = (now: number): Map<string, Evidence> => {
    const byPart = new Map<string, Evidence>()
    for (const { at, parts, explainedBy } of crashes.values()) {
      if (explainedBy.size > 0 || now - at > crashMemory) continue
      for (const [part, { requests, depth, begun }] of parts) {
        const known = byPart.get(part) ?? { times: [], begunTimes: [], requests: new Set<string>(), depth }
        byPart.set(part, known)
        known.times.push(at)
        if (begun) known.begunTimes.push(at)
        for (const request of requests) known.requests.add(request)
      }
    }
    return byPart
  }

  const candidates = (now: number): readonly Candidate[] => [...collect(now)]
    .map(([part, evidence]) => candidateOf(part, evidence, proofs.has(part)))
    .sort(compare)

  const suspects = (now: number): readonly Verdict[] => candidates(now).filter(isEnough)

  const contenders = (now: number): readonly string[] =>
    candidates(now).filter(({ crashes: count }) => count >= minContenderCrashes).map(({ part }) => part)

  const explain = (part: string): void => {
    explaining.add(part)
    for (const { parts, explainedBy } of crashes.values()) if (parts.has(part)) explainedBy.add(part)
  }

  const redundantBeside = (part: string): readonly string[] => [...explaining].filter(other => {
    const explained = [...crashes.values()].filter(({ explainedBy }) => explainedBy.has(other))
    return other !== part && explained.length > 0 && explained.every(({ explainedBy }) => explainedBy.has(part))
  })

  const release = (part: string, sound: boolean): void => {
    explaining.delete(part)
    if (sound) for (const { explainedBy } of crashes.values()) explainedBy.delete(part)
  }

  return { add, clear, redundantBeside, suspects, contenders, explain, release }
}
