/**
 * Finds which feature of requests makes workers crash, from the crashes that all
 * instances report. Each crash has the features of the requests that the worker had
 * just begun to run; the guilty one is among them every time, and a sound one by
 * chance. The feature with most crashes is taken first, and the crashes under it no
 * longer count against others, so that those which merely come with it are let alone.
 *
 * Crashes at the same moment count once, since a common cause may have ended these
 * workers. A feature on which an answer went well since a crash did not cause it. One
 * on which answers went well before needs more crashes than one never seen sound.
 *
 * A whole request is taken before the parts of its prompt if they explain the same
 * crashes. A part that goes on to crash workers under other requests is found all
 * the same: then the crashes that were explained by whole requests count again.
 */
import { LRUCache } from 'lru-cache'
import { isWholeRequest } from './features.js'

/** A feature of a request that a worker had just begun to run, or perhaps had, when it crashed. */
export interface ReportedSuspect {
  readonly feature: string
  /** Position in the prompt, from 0; the whole request stands behind the parts. */
  readonly depth: number
  /** Id that the request which held it shares with its repeats. */
  readonly request: string
  /** Whether the worker had begun to answer that request, as far as the reporter knows. */
  readonly begun: boolean
  /** When the last answer on it that went well began, in ms, as far as the reporter knows. */
  readonly provenAt?: number
}

/** A crash of a worker; times in ms. */
export interface ReportedCrash {
  readonly worker: string
  readonly startedAt: number
  readonly at: number
  readonly suspects: readonly ReportedSuspect[]
}

/** A feature that made workers crash; times in ms. */
export interface Verdict {
  readonly feature: string
  /** When the last of the crashes happened. */
  readonly lastCrashAt: number
  /** Number of crashes. */
  readonly crashes: number
  /** Whether answers on it went well before. */
  readonly wasSound: boolean
}

/** The correlator of the features of one scope; times in ms. */
export interface CrashCorrelator {
  /** Records a crash, or what another instance reports of one. */
  readonly add: (crash: ReportedCrash) => void
  /** Records that an answer on the feature that began at `begunAt` went well. */
  readonly clear: (feature: string, begunAt: number) => void
  /** Features that are under suspicion of enough crashes, the strongest first. */
  readonly suspects: (now: number) => readonly Verdict[]
  /** Features under several crashes, whether these are enough or not, the strongest first. */
  readonly contenders: (now: number) => readonly string[]
  /** Takes the crashes under a feature as explained. */
  readonly explain: (feature: string) => void
  /** Features taken as explaining crashes of which the given one, found later, explains all as well. */
  readonly redundantBeside: (feature: string) => readonly string[]
  /** Lets a feature no longer explain crashes; if it is `sound`, neither those of before. */
  readonly release: (feature: string, sound: boolean) => void
}

/** Number of crashes that are remembered. */
const maxCrashes = 60
/** Number of features of one crash. */
const maxSuspects = 150
/** Number of features whose last proof is remembered. */
const maxProofs = 5_000
/** Time for which crashes count, in ms. */
export const crashMemory = 600_000
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
/** Number of crashes under which a whole request is under suspicion, and of those in which it was the only request, if it was never seen sound. */
const minCrashesOfRequest = 3
const minCrashesAlone = 2
/** Number of moments that the crashes under a whole request take, unless it was never seen sound and there are enough. */
const minMomentsOfRequest = 2
/** Number of crashes from which a feature may soon be under suspicion. */
const minContenderCrashes = 2
/** Number of crashes that no whole request explains, from which on those that one does count against a part again, and against another whole request in part. */
const minUnexplainedOfPart = 2
const minUnexplainedOfRequest = 1
/** What a crash counts under a whole request if another one explains it. */
const explainedWeight = 0.5
/** What a crash counts under a feature whose request the worker may not have begun. */
const unbegunWeight = 0.5

/** The requests that held a feature when a worker crashed. */
interface Holding {
  readonly requests: Set<string>
  /** Position of the feature in the request. */
  readonly depth: number
  begun: boolean
}

interface Crash {
  at: number
  readonly features: Map<string, Holding>
  readonly explainedBy: Set<string>
}

/** What the crashes say of one feature; times in ms. */
interface Evidence {
  readonly times: number[]
  /** Times of the crashes under an answer that had begun. */
  readonly begunTimes: number[]
  readonly requests: Set<string>
  readonly depth: number
  /** Number of crashes in which it was the only whole request. */
  alone: number
  /** Sum of the crashes, each by how likely the worker had begun the request. */
  weight: number
}

interface Candidate extends Verdict {
  /** Number of crashes; those in which no answer had begun count in part. */
  readonly strength: number
  /** Number of moments; those in which no answer had begun count in part. */
  readonly moments: number
  /** Number of moments, each counted whole. */
  readonly allMoments: number
  readonly requests: number
  readonly depth: number
  readonly alone: number
  readonly weight: number
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

const candidateOf = (feature: string, { times, begunTimes, requests, depth, alone, weight }: Evidence, wasSound: boolean): Candidate => {
  const begun = countMoments(begunTimes)
  const allMoments = countMoments(times)
  return {
    feature,
    lastCrashAt: Math.max(...times),
    crashes: times.length,
    wasSound,
    strength: begunTimes.length + unbegunWeight * (times.length - begunTimes.length),
    moments: begun + unbegunWeight * Math.max(0, allMoments - begun),
    allMoments,
    requests: requests.size,
    depth,
    alone,
    weight
  }
}

const allowanceOf = ({ wasSound }: Candidate): number => wasSound ? soundAllowance : 0

const isEnoughForPart = (candidate: Candidate): boolean => {
  const { moments, requests, strength, wasSound } = candidate
  const counted = moments - allowanceOf(candidate)
  if (requests < minRequests) return counted >= minMomentsOfOneRequest
  if (counted >= minMoments) return true
  return wasSound ? moments >= minMoments && strength >= minCrashesOfSound : moments >= minMomentsOfMany && strength >= manyCrashes
}

const isEnoughForRequest = ({ weight, allMoments, alone, wasSound }: Candidate): boolean => {
  const hasMoments = allMoments >= minMomentsOfRequest
  if (weight >= minCrashesOfRequest) return hasMoments || !wasSound
  return alone >= minCrashesAlone && hasMoments && !wasSound
}

const isEnough = (candidate: Candidate): boolean =>
  isWholeRequest(candidate.feature) ? isEnoughForRequest(candidate) : isEnoughForPart(candidate)

/** Stronger candidates first. Of equals, those never seen sound go first, then the one deepest in requests, since fewest other requests hold it. */
const compare = (left: Candidate, right: Candidate): number =>
  right.strength - allowanceOf(right) - left.strength + allowanceOf(left) || Number(left.wasSound) - Number(right.wasSound) ||
  (left.wasSound ? right.depth - left.depth : 0) || right.requests - left.requests || right.depth - left.depth

/** What each crash says of its features, apart from whether it is explained. */
const addEvidence = (byFeature: Map<string, Evidence>, { at, features }: Crash): void => {
  const wholeRequests = [...features.keys()].filter(isWholeRequest).length
  const hasBegun = [...features.values()].some(({ begun }) => begun)
  for (const [feature, { requests, depth, begun }] of features) {
    const known = byFeature.get(feature) ?? { times: [], begunTimes: [], requests: new Set<string>(), depth, alone: 0, weight: 0 }
    byFeature.set(feature, known)
    known.times.push(at)
    if (begun) known.begunTimes.push(at)
    if (wholeRequests === 1) known.alone++
    known.weight += begun || !hasBegun ? 1 : unbegunWeight
    for (const request of requests) known.requests.add(request)
  }
}

/** Adds what a crash that whole requests explain says of its other features, for those that go on to crash workers. */
const addExplained = (byFeature: Map<string, Evidence>, { at, features }: Crash, unexplained: ReadonlyMap<string, number>): void => {
  for (const [feature, { requests, begun }] of features) {
    const known = byFeature.get(feature)
    if (known === undefined) continue
    const isRequest = isWholeRequest(feature)
    if ((unexplained.get(feature) ?? 0) < (isRequest ? minUnexplainedOfRequest : minUnexplainedOfPart)) continue
    known.times.push(at)
    if (isRequest) {
      known.weight += explainedWeight
      continue
    }
    if (begun) known.begunTimes.push(at)
    for (const request of requests) known.requests.add(request)
  }
}

/** Creates a correlator without crashes. */
export const createCrashCorrelator = (): CrashCorrelator => {
  const crashes = new LRUCache<string, Crash>({ max: maxCrashes })
  const explaining = new Set<string>()
  const proofs = new LRUCache<string, number>({ max: maxProofs })

  const clear = (feature: string, begunAt: number): void => {
    proofs.set(feature, Math.max(begunAt, proofs.get(feature) ?? -Infinity))
    for (const crash of crashes.values()) if (crash.at <= begunAt) crash.features.delete(feature)
  }

  const add = ({ worker, startedAt, at, suspects }: ReportedCrash): void => {
    const key = `${worker}/${startedAt}`
    const crash: Crash = crashes.get(key) ?? { at, features: new Map(), explainedBy: new Set() }
    crash.at = Math.min(crash.at, at)
    crashes.set(key, crash)
    for (const { feature, depth, request, begun, provenAt } of suspects) {
      if (provenAt !== undefined) clear(feature, provenAt)
      if ((proofs.get(feature) ?? -Infinity) >= crash.at) continue
      if (explaining.has(feature)) crash.explainedBy.add(feature)
      const known = crash.features.get(feature) ?? { requests: new Set<string>(), depth, begun: false }
      known.begun ||= begun
      if (crash.features.size < maxSuspects) crash.features.set(feature, known)
      known.requests.add(request)
    }
  }

  const collect = (now: number): Map<string, Evidence> => {
    const recent = [...crashes.values()].filter(({ at }) => now - at <= crashMemory)
    const byFeature = new Map<string, Evidence>()
    for (const crash of recent) if (crash.explainedBy.size === 0) addEvidence(byFeature, crash)
    const unexplained = new Map([...byFeature].map(([feature, { times }]) => [feature, times.length]))
    for (const crash of recent) {
      const { explainedBy } = crash
      if (explainedBy.size > 0 && [...explainedBy].every(isWholeRequest)) addExplained(byFeature, crash, unexplained)
    }
    return byFeature
  }

  const candidates = (now: number): readonly Candidate[] => [...collect(now)]
    .map(([feature, evidence]) => candidateOf(feature, evidence, proofs.has(feature)))
    .sort(compare)

  const suspects = (now: number): readonly Verdict[] => candidates(now).filter(isEnough)

  const contenders = (now: number): readonly string[] =>
    candidates(now).filter(({ crashes: count }) => count >= minContenderCrashes).map(({ feature }) => feature)

  const explain = (feature: string): void => {
    explaining.add(feature)
    for (const crash of crashes.values()) if (crash.features.has(feature)) crash.explainedBy.add(feature)
  }

  const redundantBeside = (feature: string): readonly string[] => [...explaining].filter(other => {
    const explained = [...crashes.values()].filter(({ explainedBy }) => explainedBy.has(other))
    return other !== feature && explained.length > 0 && explained.every(({ explainedBy }) => explainedBy.has(feature))
  })

  const release = (feature: string, sound: boolean): void => {
    explaining.delete(feature)
    if (sound) for (const { explainedBy } of crashes.values()) explainedBy.delete(feature)
  }

  return { add, clear, redundantBeside, suspects, contenders, explain, release }
}
