/** Applies probe reports, dispatch results, membership list entries and state received from peers to the registry. */
import type { EndpointInput } from '../ports/endpointPort.js'
import type { Member } from '../ports/membershipPort.js'
import { recordOutcome, recordProbeSuccess } from './circuitBreaker.js'
import type { EndpointEvidence, EndpointsContext } from './endpointsContext.js'
import { descriptorFromMember } from './endpointsDb.js'
import type { EndpointRecord } from './endpointsDb.js'
import type { EndpointFact } from './endpointsMessages.js'
import type { LoadedModel } from './endpointsTypes.js'
import { compareHistories, mergeEndedIncarnations, startIncarnation } from './incarnationHistory.js'
import type { IncarnationHistory } from './incarnationHistory.js'

/** Answer of an endpoint to a probe. */
export type EndpointReport = Extract<EndpointInput, { kind: 'endpoint.report' }>

/** Minimum time between the two reports that confirm a change of incarnation, in ms. */
const confirmDelay = 100

/** Consecutive reports, with none of the current incarnation in between, after which a superseded incarnation becomes current again. */
const minRevivalReports = 5
/** Minimum time that these reports must span, in ms. */
const minRevivalTime = 3_000
/** Time after an answered probe of this instance during which an owner's notice that the endpoint is unreachable is ignored, in ms. */
const directProbeValidity = 5_000

/** Functions that apply observations to the registry. */
export interface Observations {
  /** Applies the answer to a probe. */
  readonly report: (report: EndpointReport, now: number) => void
  /** Applies a failed probe by this instance. */
  readonly unreachable: (record: EndpointRecord, now: number) => void
  /** Applies the owner's notice that it cannot reach the endpoint, unless this instance reached it recently. */
  readonly reportedUnreachable: (record: EndpointRecord, now: number) => void
  /** Applies the result of a dispatch. */
  readonly evidence: (evidence: EndpointEvidence, now: number) => void
  /** Marks an endpoint as leaving. */
  readonly drain: (record: EndpointRecord) => void
  /** Merges an entry of the membership list; returns whether the endpoint is new. */
  readonly mergeMember: (member: Member, kind: 'worker' | 'service', now: number) => boolean
  /** Merges state received from a peer; returns whether the local state is newer. */
  readonly mergeFact: (fact: EndpointFact, now: number) => boolean
  /** Marks an endpoint as gone. */
  readonly markGone: (record: EndpointRecord, now: number) => void
}

const modelKey = ({ model, adapter, weightVersion }: LoadedModel): string => `${model}\u0000${adapter ?? ''}\u0000${weightVersion}`

const sameModels = (left: readonly LoadedModel[], right: readonly LoadedModel[]): boolean => {
  if (left === right) return true
  if (left.length !== right.length) return false
  const keys = new Set(left.map(modelKey))
  return right.every(model => keys.has(modelKey(model)))
}

/**
 * Creates the functions that apply observations to the registry.
 *
 * @param context - state and functions shared by the modules of the feature
 * @returns the functions
 */
export const createObservations = (context: EndpointsContext): Observations => {
  const { db, random, emitChange, queueAnnouncement, probeSoon } = context

  const advanceObserved = (record: EndpointRecord, now: number): void => {
    record.observed = Math.max(now, record.observed + 1)
  }

  /** Sets the current incarnation. The first one seen may have been running with a warm cache; a successor starts with an empty one. */
  const switchIncarnation = (record: EndpointRecord, history: IncarnationHistory, leaving: boolean, now: number): void => {
    const isUnknown = record.history.incarnation === ''
    const isFirst = isUnknown || record.observed === 0
    record.history = history
    record.pendingIncarnation = undefined
    record.revivalCandidate = undefined
    record.leaving = leaving || (isUnknown && record.leaving)
    record.since = isFirst ? 0 : now
    db.setReport(record, undefined)
    emitChange(record, 'incarnation')
  }

  const setModels = (record: EndpointRecord, models: readonly LoadedModel[]): boolean => {
    if (record.descriptor.kind === 'service' || sameModels(record.models, models)) return false
    record.models = models
    emitChange(record, 'models')
    return true
  }

  const setLeaving = (record: EndpointRecord): boolean => {
    if (record.leaving) return false
    record.leaving = true
    emitChange(record, 'state')
    return true
  }

  const setGone = (record: EndpointRecord, gone: boolean, now: number): boolean => {
    if (record.gone === gone) return false
    record.gone = gone
    record.goneAt = now
    emitChange(record, gone ? 'gone' : 'state')
    return true
  }

  const awaitConfirmation = (record: EndpointRecord, incarnation: string, now: number): void => {
    record.pendingIncarnation = { incarnation, confirmAt: now + confirmDelay }
    record.nextProbeAt = now + confirmDelay
    emitChange(record, 'state')
    probeSoon(record, now + confirmDelay)
  }

  /**
   * Counts a report of a superseded incarnation and returns whether it becomes current
   * again. An incarnation that alone answers repeated probes was superseded in error,
   * by late reports of another incarnation whose end this instance had not observed.
   */
  const countRevivalReport = (record: EndpointRecord, incarnation: string, now: number): boolean => {
    const candidate = record.revivalCandidate?.incarnation === incarnation ? record.revivalCandidate : { incarnation, reports: 0, since: now }
    record.revivalCandidate = { ...candidate, reports: candidate.reports + 1 }
    return record.revivalCandidate.reports >= minRevivalReports && now - candidate.since >= minRevivalTime
  }

  /** Returns whether the report is from the current incarnation, after switching to its incarnation if that is confirmed. */
  const reconcileIncarnation = (record: EndpointRecord, report: EndpointReport, now: number): boolean => {
    const { incarnation } = report
    if (record.history.incarnation === incarnation) {
      if (record.pendingIncarnation !== undefined) emitChange(record, 'state')
      record.pendingIncarnation = undefined
      record.revivalCandidate = undefined
      return true
    }
    if (record.history.past.includes(incarnation)) {
      if (!countRevivalReport(record, incarnation, now)) return false
      switchIncarnation(record, startIncarnation(record.history, incarnation), report.leaving, now)
      return true
    }
    const isConfirmed = record.pendingIncarnation?.incarnation === incarnation && now >= record.pendingIncarnation.confirmAt
    if (record.observed > 0 && !isConfirmed) {
      if (record.pendingIncarnation?.incarnation !== incarnation) awaitConfirmation(record, incarnation, now)
      return false
    }
    switchIncarnation(record, startIncarnation(record.history, incarnation), report.leaving, now)
    return true
  }

  const applyReport = (record: EndpointRecord, report: EndpointReport, now: number): void => {
    const { incarnation, running, waiting, waitingTokens } = report
    const previousHistory = record.history
    if (!reconcileIncarnation(record, report, now)) return
    const wasOpen = record.circuit.open
    recordProbeSuccess(record.circuit, now)
    if (wasOpen !== record.circuit.open) emitChange(record, 'state')
    record.unreachableSince = undefined
    record.heardAt = now
    record.reachedAt = now
    const incarnationChanged = previousHistory !== record.history
    const modelsChanged = setModels(record, report.models)
    const reappeared = setGone(record, false, now)
    const leavingStarted = report.leaving && setLeaving(record)
    if (modelsChanged || reappeared || incarnationChanged || record.observed === 0) advanceObserved(record, now)
    if (modelsChanged || reappeared || incarnationChanged || leavingStarted) queueAnnouncement(record)
    db.setReport(record, { at: now, incarnation, running, waiting, waitingTokens })
  }

  const updateCircuit = (record: EndpointRecord, outcome: Parameters<typeof recordOutcome>[1], now: number): void => {
    const wasOpen = record.circuit.open
    recordOutcome(record.circuit, outcome, now, random)
    if (wasOpen !== record.circuit.open) emitChange(record, 'state')
    if (record.circuit.open) probeSoon(record, record.circuit.retryAt)
  }

  const unreachable = (record: EndpointRecord, now: number): void => {
    record.unreachableSince ??= now
    updateCircuit(record, 'unreachable', now)
    if (!record.circuit.open) probeSoon(record, now)
  }

  const evidence = ({ endpoint, outcome, incarnation }: EndpointEvidence, now: number): void => {
    const record = db.get(endpoint)
    if (record === undefined) return
    record.usedAt = now
    updateCircuit(record, outcome, now)
    if (outcome !== 'answered' && !record.circuit.open) probeSoon(record, now)
    if (incarnation === undefined || incarnation === record.history.incarnation) return
    if (record.history.past.includes(incarnation)) return
    if (record.history.incarnation !== '') return probeSoon(record, now)
    switchIncarnation(record, startIncarnation(record.history, incarnation), record.leaving, now)
    queueAnnouncement(record)
  }

  const drain = (record: EndpointRecord): void => {
    if (setLeaving(record)) queueAnnouncement(record)
  }

  const mergeMember = (member: Member, kind: 'worker' | 'service', now: number): boolean => {
    const isNew = db.get(member.id) === undefined
    const record = db.add(descriptorFromMember(member, kind), now)
    record.listed = true
    if (record.history.past.includes(member.incarnation)) return false
    const { address } = record.descriptor
    if (address.host !== member.address.host || address.port !== member.address.port) {
      record.descriptor = { ...record.descriptor, address: member.address, dataCentre: member.dataCentre }
      emitChange(record, 'state')
    }
    if (record.history.incarnation !== member.incarnation) {
      if (record.observed === 0) switchIncarnation(record, { ...record.history, incarnation: member.incarnation }, record.leaving, now)
      else probeSoon(record, now)
    }
    const isCurrent = record.history.incarnation === member.incarnation
    if (isCurrent && member.state === 'leaving' && setLeaving(record)) queueAnnouncement(record)
    if (isNew) emitChange(record, 'added')
    return isNew
  }

  /** Forwards received state to all peers if this instance owns the endpoint. Other instances need not forward it, because senders also inform the owner. */
  const forwardIfOwner = (record: EndpointRecord): void => {
    if (context.ownerOf(record.id) === context.self) queueAnnouncement(record)
  }

  const mergeSame = (record: EndpointRecord, fact: EndpointFact, now: number): boolean => {
    const { history } = record
    record.history = {
      ...history,
      generation: Math.max(history.generation, fact.generation),
      past: mergeEndedIncarnations(history.incarnation, fact.past, history.past)
    }
    let hasChanged = fact.leaving && setLeaving(record)
    if (fact.observed > record.observed) {
      record.observed = fact.observed
      if (setModels(record, fact.models)) hasChanged = true
      if (setGone(record, fact.gone, now)) hasChanged = true
    }
    if (hasChanged) forwardIfOwner(record)
    return (record.leaving && !fact.leaving) || record.observed > fact.observed
  }

  const mergeNewer = (record: EndpointRecord, fact: EndpointFact, now: number): boolean => {
    const past = mergeEndedIncarnations(fact.incarnation, record.history.past, [record.history.incarnation], fact.past)
    switchIncarnation(record, { incarnation: fact.incarnation, generation: fact.generation, past }, fact.leaving, now)
    record.descriptor = { ...record.descriptor, address: fact.address, dataCentre: fact.dataCentre }
    record.observed = Math.max(record.observed, fact.observed)
    setModels(record, fact.models)
    setGone(record, fact.gone, now)
    forwardIfOwner(record)
    return false
  }

  const addFromFact = (fact: EndpointFact, now: number): void => {
    if (fact.gone) return
    const { id, kind, address, dataCentre, fenced, slots, models, incarnation, generation, past, leaving, observed } = fact
    const record = db.add({ id, kind, address, dataCentre, fenced, slots, models }, now)
    record.history = { incarnation, generation, past }
    record.leaving = leaving
    record.observed = observed
    emitChange(record, 'added')
    forwardIfOwner(record)
  }

  const mergeFact = (fact: EndpointFact, now: number): boolean => {
    const record = db.get(fact.id)
    if (record === undefined) {
      addFromFact(fact, now)
      return false
    }
    const order = compareHistories(record.history, fact)
    if (order === 'same') return mergeSame(record, fact, now)
    if (order === 'newer') return mergeNewer(record, fact, now)
    if (order === 'unclear') probeSoon(record, now)
    return order === 'older'
  }

  const markGone = (record: EndpointRecord, now: number): void => {
    if (!setGone(record, true, now)) return
    advanceObserved(record, now)
    queueAnnouncement(record)
  }

  return {
    report: (report, now) => {
      const record = db.get(report.endpoint)
      if (record === undefined) return
      record.probedAt = undefined
      applyReport(record, report, now)
    },
    unreachable: (record, now) => {
      record.probedAt = undefined
      unreachable(record, now)
    },
    reportedUnreachable: (record, now) => {
      if (now - record.reachedAt >= directProbeValidity) unreachable(record, now)
    },
    evidence,
    drain,
    mergeMember,
    mergeFact,
    markGone
  }
}
