/**
 * Stored records of workers and plain services, and the read-only view of them
 * that routing uses. The view is rebuilt only when a record has changed.
 */
import type { Member } from '../ports/membershipPort.js'
import { closedCircuit } from './circuitBreaker.js'
import type { CircuitBreaker } from './circuitBreaker.js'
import type { EndpointFact } from './endpointsMessages.js'
import type { Endpoint, EndpointDescriptor, EndpointState, LoadedModel, LoadReport } from './endpointsTypes.js'
import type { IncarnationHistory } from './incarnationHistory.js'

/** A new incarnation that was reported once and awaits confirmation by a second report. */
export interface PendingIncarnation {
  readonly incarnation: string
  /** Earliest time at which a second report confirms it, in ms. */
  readonly confirmAt: number
}

/** A superseded incarnation that keeps reporting, with no report of the current one in between. */
export interface RevivalCandidate {
  readonly incarnation: string
  readonly reports: number
  /** Time of the first of these reports, in ms. */
  readonly since: number
}

/** Internal state of one endpoint; times are in ms. */
export interface EndpointRecord {
  readonly id: string
  descriptor: EndpointDescriptor
  history: IncarnationHistory
  pendingIncarnation?: PendingIncarnation
  revivalCandidate?: RevivalCandidate
  leaving: boolean
  /** Whether the endpoint was removed; the record is kept for a limited time. */
  gone: boolean
  /** Time at which `gone` last changed. */
  goneAt: number
  models: readonly LoadedModel[]
  /** Logical timestamp that orders observations of `models` and `gone` across instances; 0 before the first. */
  observed: number
  /** Time at which this instance first saw the current incarnation; 0 if its cache may already be warm. */
  since: number
  readonly circuit: CircuitBreaker
  report?: LoadReport
  /** Time at which the outstanding probe was sent; undefined if there is none. */
  probedAt?: number
  /** Earliest time of the next probe. */
  nextProbeAt: number
  /** Time of the last report, received directly or through a peer. */
  heardAt: number
  /** Time of the last response to a probe by this instance. */
  reachedAt: number
  /** Time of the last dispatch by this instance. */
  usedAt: number
  /** Time of the first failed probe, here or at the owner, since the last report; undefined if there is none. */
  unreachableSince?: number
  /** Whether the settings name the endpoint. */
  configured: boolean
  /** Whether the latest membership list contains the endpoint. */
  listed: boolean
}

/** Share of suspect endpoints in a group above which its suspects are treated as live. */
const panicThreshold = 0.5
/** Slots of a membership list entry of size 1. */
const defaultSlots = 8

/** The endpoint records and the view built from them. */
export interface EndpointsDb {
  readonly records: ReadonlyMap<string, EndpointRecord>
  readonly get: (id: string) => EndpointRecord | undefined
  /** Adds an endpoint, or returns the existing record. */
  readonly add: (descriptor: EndpointDescriptor, now: number) => EndpointRecord
  readonly remove: (id: string) => void
  /** Marks the view as outdated; the next read rebuilds it. */
  readonly invalidateView: () => void
  /** Replaces a load report in the record and in the view; the array returned by `list` stays the same. */
  readonly setReport: (record: EndpointRecord, report: LoadReport | undefined) => void
  /** Endpoints that are not gone, sorted by id; the same array until something other than a load report changes. */
  readonly list: () => readonly Endpoint[]
  readonly view: (id: string) => Endpoint | undefined
  /** Groups whose share of suspect endpoints exceeds the panic threshold; their suspects are listed as `live`. */
  readonly panics: () => readonly string[]
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] }

/**
 * Converts an entry of the membership list to a descriptor. The list contains neither
 * slots nor fencing support, so the slots are estimated from the member's size.
 *
 * @param member - the list entry
 * @param kind - whether the endpoint is a worker or a plain service
 * @returns the descriptor, without models
 */
export const descriptorFromMember = (member: Member, kind: 'worker' | 'service'): EndpointDescriptor => ({
  id: member.id,
  kind,
  address: member.address,
  dataCentre: member.dataCentre,
  fenced: false,
  slots: Math.max(1, Math.round(defaultSlots * member.size)),
  models: []
})

/**
 * Builds the state of an endpoint that this instance sends to its peers.
 *
 * @param record - the endpoint
 * @returns the message part
 */
export const factOf = (record: EndpointRecord): EndpointFact => {
  const { id, kind, address, dataCentre, fenced, slots } = record.descriptor
  const { incarnation, generation, past } = record.history
  return {
    id,
    kind,
    address,
    dataCentre,
    fenced,
    slots,
    incarnation,
    generation,
    past: past.slice(-maxSharedPast),
    leaving: record.leaving,
    models: record.models.map(model => ({ ...model })),
    gone: record.gone,
    observed: record.observed
  }
}

/** Maximum number of ended incarnations sent to peers per endpoint. */
const maxSharedPast = 4

/** Returns the groups of interchangeable endpoints that an endpoint belongs to: its models, or all services. */
const groupsOf = (record: EndpointRecord): readonly string[] => {
  if (record.descriptor.kind === 'service') return ['service']
  const names = new Set(record.models.map(({ model }) => model))
  return names.size === 0 ? ['worker'] : [...names].map(name => `model ${name}`)
}

const isSuspect = (record: EndpointRecord): boolean => record.circuit.open || record.pendingIncarnation !== undefined

/**
 * Returns the state of an endpoint before the panic threshold is applied.
 *
 * @param record - the endpoint
 * @returns the state from its own circuit, incarnation and drain status
 */
export const individualState = (record: EndpointRecord): EndpointState => {
  if (record.gone) return 'gone'
  if (record.leaving) return 'leaving'
  return isSuspect(record) ? 'suspect' : 'live'
}

const groupsInPanic = (records: Iterable<EndpointRecord>): ReadonlySet<string> => {
  const counts = new Map<string, { all: number, suspect: number }>()
  for (const record of records) {
    const state = individualState(record)
    if (state === 'gone' || state === 'leaving') continue
    for (const group of groupsOf(record)) {
      const count = counts.get(group) ?? { all: 0, suspect: 0 }
      counts.set(group, count)
      count.all++
      if (state === 'suspect') count.suspect++
    }
  }
  return new Set([...counts].filter(([, { all, suspect }]) => suspect > all * panicThreshold).map(([group]) => group))
}

const effectiveState = (record: EndpointRecord, panics: ReadonlySet<string>): EndpointState => {
  const state = individualState(record)
  if (state !== 'suspect') return state
  return groupsOf(record).some(group => panics.has(group)) ? 'live' : 'suspect'
}

const isViewCurrent = (view: Endpoint, record: EndpointRecord, state: EndpointState): boolean =>
  view.state === state &&
  view.incarnation === record.history.incarnation &&
  view.models === record.models &&
  view.since === record.since &&
  view.address === record.descriptor.address &&
  view.slots === record.descriptor.slots &&
  view.fenced === record.descriptor.fenced

const viewOf = (record: EndpointRecord, state: EndpointState): Mutable<Endpoint> => {
  const { id, kind, address, dataCentre, fenced, slots } = record.descriptor
  const { incarnation } = record.history
  const { models, report, since } = record
  return { id, kind, address, dataCentre, incarnation, state, fenced, models, slots, report, since }
}

/**
 * Creates an empty set of records.
 *
 * @returns the records and their view
 */
export const createEndpointsDb = (): EndpointsDb => {
  const records = new Map<string, EndpointRecord>()
  let views = new Map<string, Mutable<Endpoint>>()
  let list: readonly Endpoint[] = []
  let panics: ReadonlySet<string> = new Set()
  let outdated = false

  const rebuild = (): void => {
    outdated = false
    panics = groupsInPanic(records.values())
    const nextViews = new Map<string, Mutable<Endpoint>>()
    let changed = false
    for (const record of records.values()) {
      if (record.gone) continue
      const state = effectiveState(record, panics)
      const previous = views.get(record.id)
      const isUnchanged = previous !== undefined && isViewCurrent(previous, record, state)
      nextViews.set(record.id, isUnchanged ? previous : viewOf(record, state))
      if (!isUnchanged) changed = true
    }
    if (!changed && nextViews.size === views.size) return
    views = nextViews
    list = [...nextViews.values()].sort((left, right) => (left.id < right.id ? -1 : 1))
  }

  const rebuildIfOutdated = (): void => {
    if (outdated) rebuild()
  }

  const add = (descriptor: EndpointDescriptor, now: number): EndpointRecord => {
    const existing = records.get(descriptor.id)
    if (existing !== undefined) return existing
    const record: EndpointRecord = {
      id: descriptor.id,
      descriptor,
      history: { incarnation: '', generation: 0, past: [] },
      leaving: false,
      gone: false,
      goneAt: 0,
      models: descriptor.models,
      observed: 0,
      since: 0,
      circuit: closedCircuit(),
      nextProbeAt: now,
      heardAt: now,
      reachedAt: Number.NEGATIVE_INFINITY,
      usedAt: Number.NEGATIVE_INFINITY,
      configured: false,
      listed: false
    }
    records.set(descriptor.id, record)
    outdated = true
    return record
  }

  const remove = (id: string): void => {
    records.delete(id)
    outdated = true
  }

  const invalidateView = (): void => {
    outdated = true
  }

  const setReport = (record: EndpointRecord, report: LoadReport | undefined): void => {
    record.report = report
    const view = views.get(record.id)
    if (view !== undefined) view.report = report
  }

  return {
    records,
    get: id => records.get(id),
    add,
    remove,
    invalidateView,
    setReport,
    list: () => {
      rebuildIfOutdated()
      return list
    },
    view: id => {
      rebuildIfOutdated()
      return views.get(id)
    },
    panics: () => {
      rebuildIfOutdated()
      return [...panics]
    }
  }
}
