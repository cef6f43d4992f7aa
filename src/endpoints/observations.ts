/** Turns reports, evidence, list rows and facts of others into changes of the registry. */
import type { EndpointInput } from '../ports/endpointPort.js'
import type { Member } from '../ports/membershipPort.js'
import { recordOutcome, recordProbeSuccess } from './circuitBreaker.js'
import type { EndpointEvidence, EndpointsContext } from './endpointsContext.js'
import { descriptorFromMember } from './endpointsDb.js'
import type { EndpointRecord } from './endpointsDb.js'
import type { EndpointFact } from './endpointsMessages.js'
import type { LoadedModel } from './endpointsTypes.js'
import { mergeEndedIncarnations, compareHistories, startIncarnation } from './incarnationHistory.js'
import type { IncarnationHistory } from './incarnationHistory.js'

/** A worker's own report. */
export type EndpointReport = Extract<EndpointInput, { kind: 'endpoint.report' }>

/** Milliseconds between the two reports that confirm a change of incarnation. */
const confirmDelay = 100

/** Reports in a row, without one of the current incarnation, that bring a superseded one back. */
const insistentReports = 5
/** The time over which these reports must be spread, in ms. */
const insistentTerm = 3_000
/** How long an own answered probe outweighs what others say, in ms. */
const directTrust = 5_000

/** Changes of the registry. */
export interface Observations {
  readonly report: (report: EndpointReport, now: number) => void
  readonly unreachable: (record: EndpointRecord, now: number) => void
  /** The owner says that it cannot reach the endpoint. */
  readonly reportedUnreachable: (record: EndpointRecord, now: number) => void
  readonly evidence: (evidence: EndpointEvidence, now: number) => void
  readonly drain: (record: EndpointRecord) => void
  readonly mergeMember: (member: Member, kind: 'worker' | 'service', now: number) => boolean
  /** Merges a fact; answers whether this instance knows better. */
  readonly mergeFact: (fact: EndpointFact, now: number) => boolean
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
 * Creates the functions that change the registry.
 *
 * @param context - what the parts of the feature share
 */
export const createObservations = (context: EndpointsContext): Observations => {
  const { db, random, emitChange: changed, queueAnnouncement: announce, probeSoon } = context

  const stamp = (record: EndpointRecord, now: number): void => {
    record.observed = Math.max(now, record.observed + 1)
  }

  /** The first incarnation may have served for long; one that follows another has an empty cache. */
  const adopt = (record: EndpointRecord, lineage: IncarnationHistory, leaving: boolean, now: number): void => {
    const isUnknown = record.history.incarnation === ''
    const first = isUnknown || record.observed === 0
    record.history = lineage
    record.pendingIncarnation = undefined
    record.revivalCandidate = undefined
    record.leaving = leaving || (isUnknown && record.leaving)
    record.since = first ? 0 : now
    db.setReport(record, undefined)
    changed(record, 'incarnation')
  }

  const setModels = (record: EndpointRecord, models: readonly LoadedModel[]): boolean => {
    if (record.descriptor.kind === 'service' || sameModels(record.models, models)) return false
    record.models = models
    changed(record, 'models')
    return true
  }

  const setLeaving = (record: EndpointRecord): boolean => {
    if (record.leaving) return false
    record.leaving = true
    changed(record, 'state')
    return true
  }

  const setGone = (record: EndpointRecord, gone: boolean, now: number): boolean => {
    if (record.gone === gone) return false
    record.gone = gone
    record.goneAt = now
    changed(record, gone ? 'gone' : 'state')
    return true
  }

  const doubt = (record: EndpointRecord, incarnation: string, now: number): void => {
    record.pendingIncarnation = { incarnation, confirmAt: now + confirmDelay }
    record.nextProbeAt = now + confirmDelay
    changed(record, 'state')
    probeSoon(record, now + confirmDelay)
  }

  /**
   * A superseded incarnation that alone answers probe after probe was declared
   * superseded in error, by late reports of one that had ended unseen.
   */
  const insists = (record: EndpointRecord, incarnation: string, now: number): boolean => {
    const before = record.revivalCandidate?.incarnation === incarnation ? record.revivalCandidate : { incarnation, reports: 0, since: now }
    record.revivalCandidate = { ...before, reports: before.reports + 1 }
    return record.revivalCandidate.reports >= insistentReports && now - before.since >= insistentTerm
  }

  /** Answers whether the report speaks for the current incarnation, possibly after adopting it. */
  const settleIncarnation = (record: EndpointRecord, report: EndpointReport, now: number): boolean => {
    const { incarnation } = report
    if (record.history.incarnation === incarnation) {
      if (record.pendingIncarnation !== undefined) changed(record, 'state')
      record.pendingIncarnation = undefined
      record.revivalCandidate = undefined
      return true
    }
    if (record.history.past.includes(incarnation)) {
      if (!insists(record, incarnation, now)) return false
      adopt(record, startIncarnation(record.history, incarnation), report.leaving, now)
      return true
    }
    const confirmed = record.pendingIncarnation?.incarnation === incarnation && now >= record.pendingIncarnation.confirmAt
    if (record.observed > 0 && !confirmed) {
      if (record.pendingIncarnation?.incarnation !== incarnation) doubt(record, incarnation, now)
      return false
    }
    adopt(record, startIncarnation(record.history, incarnation), report.leaving, now)
    return true
  }

  const applyReport = (record: EndpointRecord, report: EndpointReport, now: number): void => {
    const { incarnation, running, waiting, waitingTokens } = report
    const before = record.history
    if (!settleIncarnation(record, report, now)) return
    const wasOpen = record.circuit.open
    recordProbeSuccess(record.circuit, now)
    if (wasOpen !== record.circuit.open) changed(record, 'state')
    record.unreachableSince = undefined
    record.heardAt = now
    record.reachedAt = now
    const succeeded = before !== record.history
    const moved = setModels(record, report.models)
    const returned = setGone(record, false, now)
    const left = report.leaving && setLeaving(record)
    if (moved || returned || succeeded || record.observed === 0) stamp(record, now)
    if (moved || returned || succeeded || left) announce(record)
    db.setReport(record, { at: now, incarnation, running, waiting, waitingTokens })
  }

  const count = (record: EndpointRecord, outcome: Parameters<typeof recordOutcome>[1], now: number): void => {
    const wasOpen = record.circuit.open
    recordOutcome(record.circuit, outcome, now, random)
    if (wasOpen !== record.circuit.open) changed(record, 'state')
    if (record.circuit.open) probeSoon(record, record.circuit.retryAt)
  }

  const unreachable = (record: EndpointRecord, now: number): void => {
    record.unreachableSince ??= now
    count(record, 'unreachable', now)
    if (!record.circuit.open) probeSoon(record, now)
  }

  const evidence = ({ endpoint, outcome, incarnation }: EndpointEvidence, now: number): void => {
    const record = db.get(endpoint)
    if (record === undefined) return
    record.usedAt = now
    count(record, outcome, now)
    if (outcome !== 'answered' && !record.circuit.open) probeSoon(record, now)
    if (incarnation === undefined || incarnation === record.history.incarnation) return
    if (record.history.past.includes(incarnation)) return
    if (record.history.incarnation !== '') return probeSoon(record, now)
    adopt(record, startIncarnation(record.history, incarnation), record.leaving, now)
    announce(record)
  }

  const drain = (record: EndpointRecord): void => {
    if (setLeaving(record)) announce(record)
  }

  const row = (member: Member, kind: 'worker' | 'service', now: number): boolean => {
    const isNew = db.get(member.id) === undefined
    const record = db.add(descriptorFromMember(member, kind), now)
    record.listed = true
    if (record.history.past.includes(member.incarnation)) return false
    const { address } = record.descriptor
    if (address.host !== member.address.host || address.port !== member.address.port) {
      record.descriptor = { ...record.descriptor, address: member.address, dataCentre: member.dataCentre }
      changed(record, 'state')
    }
    if (record.history.incarnation !== member.incarnation) {
      if (record.observed === 0) adopt(record, { ...record.history, incarnation: member.incarnation }, record.leaving, now)
      else probeSoon(record, now)
    }
    const known = record.history.incarnation === member.incarnation
    if (known && member.state === 'leaving' && setLeaving(record)) announce(record)
    if (isNew) changed(record, 'added')
    return isNew
  }

  /** The owner passes on what others tell; whoever told it has told the owner too. */
  const passOn = (record: EndpointRecord): void => {
    if (context.ownerOf(record.id) === context.self) announce(record)
  }

  const mergeSame = (record: EndpointRecord, fact: EndpointFact, now: number): boolean => {
    const { history: lineage } = record
    record.history = {
      ...lineage,
      generation: Math.max(lineage.generation, fact.generation),
      past: mergeEndedIncarnations(lineage.incarnation, fact.past, lineage.past)
    }
    let news = fact.leaving && setLeaving(record)
    if (fact.observed > record.observed) {
      record.observed = fact.observed
      if (setModels(record, fact.models)) news = true
      if (setGone(record, fact.gone, now)) news = true
    }
    if (news) passOn(record)
    return (record.leaving && !fact.leaving) || record.observed > fact.observed
  }

  const mergeNewer = (record: EndpointRecord, fact: EndpointFact, now: number): boolean => {
    const past = mergeEndedIncarnations(fact.incarnation, record.history.past, [record.history.incarnation], fact.past)
    adopt(record, { incarnation: fact.incarnation, generation: fact.generation, past }, fact.leaving, now)
    record.descriptor = { ...record.descriptor, address: fact.address, dataCentre: fact.dataCentre }
    record.observed = Math.max(record.observed, fact.observed)
    setModels(record, fact.models)
    setGone(record, fact.gone, now)
    passOn(record)
    return false
  }

  const addFromFact = (fact: EndpointFact, now: number): void => {
    if (fact.gone) return
    const { id, kind, address, dataCentre, fenced, slots, models, incarnation, generation, past, leaving, observed } = fact
    const record = db.add({ id, kind, address, dataCentre, fenced, slots, models }, now)
    record.history = { incarnation, generation, past }
    record.leaving = leaving
    record.observed = observed
    changed(record, 'added')
    passOn(record)
  }

  const fact = (told: EndpointFact, now: number): boolean => {
    const record = db.get(told.id)
    if (record === undefined) {
      addFromFact(told, now)
      return false
    }
    const succession = compareHistories(record.history, told)
    if (succession === 'same') return mergeSame(record, told, now)
    if (succession === 'newer') return mergeNewer(record, told, now)
    if (succession === 'unclear') probeSoon(record, now)
    return succession === 'older'
  }

  const retire = (record: EndpointRecord, now: number): void => {
    if (!setGone(record, true, now)) return
    stamp(record, now)
    announce(record)
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
      if (now - record.reachedAt >= directTrust) unreachable(record, now)
    },
    evidence,
    drain,
    mergeMember: row,
    mergeFact: fact,
    markGone: retire
  }
}
