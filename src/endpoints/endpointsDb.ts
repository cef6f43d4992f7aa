/** The registry of workers and plain services, and the view of it that routing reads. */
import type { Member } from '../ports/membershipPort.js'
import { closedCircuit } from './circuitBreaker.js'
import type { CircuitBreaker } from './circuitBreaker.js'
import type { EndpointFact } from './endpointsMessages.js'
import type { Endpoint, EndpointState, EndpointDescriptor, LoadedModel, LoadReport } from './endpointsTypes.js'
import type { IncarnationHistory } from './incarnationHistory.js'

/** A different incarnation that was reported once and awaits a second report. */
export interface PendingIncarnation {
  readonly incarnation: string
  /** The earliest time at which a second report counts, in ms. */
  readonly confirmAt: number
}

/** Reports of a superseded incarnation, with none of the current one between. */
export interface RevivalCandidate {
  readonly incarnation: string
  readonly reports: number
  /** When the first of them came, in ms. */
  readonly since: number
}

/** All that is known of one endpoint. */
export interface EndpointRecord {
  readonly id: string
  descriptor: EndpointDescriptor
  history: IncarnationHistory
  pendingIncarnation?: PendingIncarnation
  revivalCandidate?: RevivalCandidate
  leaving: boolean
  gone: boolean
  goneAt: number
  models: readonly LoadedModel[]
  /** Orders observations of `models` and `gone`; 0 before the first. */
  observed: number
  since: number
  readonly circuit: CircuitBreaker
  report?: LoadReport
  /** When the outstanding probe was sent. */
  probedAt?: number
  nextProbeAt: number
  /** When a report last arrived, directly or through a peer. */
  heardAt: number
  /** When it last answered this instance itself. */
  reachedAt: number
  /** When this instance last dispatched to it. */
  usedAt: number
  unreachableSince?: number
  /** Whether the settings name it, or the latest membership list does. */
  configured: boolean
  listed: boolean
}

/** The share of suspects above which suspects are served as if they were live. */
const panicShare = 0.5
const defaultSlots = 8

/** The registry with its view. */
export interface EndpointsDb {
  readonly records: ReadonlyMap<string, EndpointRecord>
  readonly get: (id: string) => EndpointRecord | undefined
  /** Adds an endpoint, or returns the one already there. */
  readonly add: (known: EndpointDescriptor, now: number) => EndpointRecord
  readonly remove: (id: string) => void
  /** Marks the view as outdated. */
  readonly invalidateView: () => void
  /** Replaces a load report without changing the view's identity. */
  readonly setReport: (record: EndpointRecord, report: LoadReport | undefined) => void
  readonly list: () => readonly Endpoint[]
  readonly view: (id: string) => Endpoint | undefined
  readonly panics: () => readonly string[]
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] }

/** Translates a row of the membership list; the platform knows neither slots nor fencing. */
export const descriptorFromMember = (member: Member, kind: 'worker' | 'service'): EndpointDescriptor => ({
  id: member.id,
  kind,
  address: member.address,
  dataCentre: member.dataCentre,
  fenced: false,
  slots: Math.max(1, Math.round(defaultSlots * member.size)),
  models: []
})

/** What this instance tells others of an endpoint. */
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
    past: past.slice(-toldPast),
    leaving: record.leaving,
    models: record.models.map(model => ({ ...model })),
    gone: record.gone,
    observed: record.observed
  }
}

/** Ended incarnations that are told to others per endpoint. */
const toldPast = 4

/** The groups in which an endpoint can stand in for another. */
const groupsOf = (record: EndpointRecord): readonly string[] => {
  if (record.descriptor.kind === 'service') return ['service']
  const names = new Set(record.models.map(({ model }) => model))
  return names.size === 0 ? ['worker'] : [...names].map(name => `model ${name}`)
}

const isSuspect = (record: EndpointRecord): boolean => record.circuit.open || record.pendingIncarnation !== undefined

/** The state before the panic rule. */
export const individualState = (record: EndpointRecord): EndpointState => {
  if (record.gone) return 'gone'
  if (record.leaving) return 'leaving'
  return isSuspect(record) ? 'suspect' : 'live'
}

const panicGroups = (records: Iterable<EndpointRecord>): ReadonlySet<string> => {
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
  return new Set([...counts].filter(([, { all, suspect }]) => suspect > all * panicShare).map(([group]) => group))
}

const shownState = (record: EndpointRecord, panics: ReadonlySet<string>): EndpointState => {
  const state = individualState(record)
  if (state !== 'suspect') return state
  return groupsOf(record).some(group => panics.has(group)) ? 'live' : 'suspect'
}

const sameView = (view: Endpoint, record: EndpointRecord, state: EndpointState): boolean =>
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
 * Creates an empty registry.
 */
export const createEndpointsDb = (): EndpointsDb => {
  const records = new Map<string, EndpointRecord>()
  let views = new Map<string, Mutable<Endpoint>>()
  let list: readonly Endpoint[] = []
  let panics: ReadonlySet<string> = new Set()
  let outdated = false

  const rebuild = (): void => {
    outdated = false
    panics = panicGroups(records.values())
    const next = new Map<string, Mutable<Endpoint>>()
    let changed = false
    for (const record of records.values()) {
      if (record.gone) continue
      const state = shownState(record, panics)
      const before = views.get(record.id)
      const same = before !== undefined && sameView(before, record, state)
      next.set(record.id, same ? before : viewOf(record, state))
      if (!same) changed = true
    }
    if (!changed && next.size === views.size) return
    views = next
    list = [...next.values()].sort((left, right) => (left.id < right.id ? -1 : 1))
  }

  const fresh = (): void => {
    if (outdated) rebuild()
  }

  const add = (known: EndpointDescriptor, now: number): EndpointRecord => {
    const present = records.get(known.id)
    if (present !== undefined) return present
    const record: EndpointRecord = {
      id: known.id,
      descriptor: known,
      history: { incarnation: '', generation: 0, past: [] },
      leaving: false,
      gone: false,
      goneAt: 0,
      models: known.models,
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
    records.set(known.id, record)
    outdated = true
    return record
  }

  const remove = (id: string): void => {
    records.delete(id)
    outdated = true
  }

  const touch = (): void => {
    outdated = true
  }

  const putReport = (record: EndpointRecord, report: LoadReport | undefined): void => {
    record.report = report
    const view = views.get(record.id)
    if (view !== undefined) view.report = report
  }

  return {
    records,
    get: id => records.get(id),
    add,
    remove,
    invalidateView: touch,
    setReport: putReport,
    list: () => {
      fresh()
      return list
    },
    view: id => {
      fresh()
      return views.get(id)
    },
    panics: () => {
      fresh()
      return [...panics]
    }
  }
}
