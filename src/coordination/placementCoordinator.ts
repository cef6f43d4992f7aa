/**
 * Places the requests of all instances at the workers of the groups that this
 * instance coordinates, and counts them until their senders report that they have
 * ended. What a worker states of its own load corrects the count, as another
 * coordinator, or an instance without an answer, may have placed requests there.
 */
import type { Hash } from '../hash.js'
import { addAbandonedRun, applyStatedRequests, countOpenAt, resetAbandonedRuns } from '../placement/abandonedRuns.js'
import { firstEventOverhead } from '../placement/modelPlacement.js'
import { createWorkerLoad, noteBrittle, noteEnded, noteFirstEvent, noteLoadCounts, noteSent, noteSuccess, type InFlightRequest, type WorkerLoad } from '../placement/workerLoad.js'
import { paceAt } from '../placement/workerPace.js'
import type { Random } from '../random.js'
import { boundedCount, type PlacementAnswer, type PlacementRequest, type PlacementUpdates, type WorkerLoadReport } from './coordinationMessages.js'
import { placeInGroup, type GroupQuery } from './groupPlacement.js'
import { shareInUse, type RoomLimits } from './workerRoom.js'

/** What a coordinator depends on. */
export interface PlacementCoordinatorOptions {
  readonly hash: Hash
  readonly random: Random
  /** The group's workers that may get the request, with the loads of this coordinator; undefined if the service is not known. */
  readonly queryOf: (request: PlacementRequest, loadOf: (worker: string) => WorkerLoad, now: number) => GroupQuery | undefined
  /** Records that a worker computes the parts of a prompt. */
  readonly noteParts: (worker: string, scope: string, request: PlacementRequest) => void
  /** Returns when the present lifetime of a worker began, in ms; undefined if the worker is not listed any more. */
  readonly startedAt: (worker: string) => number | undefined
}

/** The coordinator of an instance, for all its groups; times in ms. */
export interface PlacementCoordinator {
  /** Chooses the worker of a request of the instance `from`, and counts it there. */
  readonly decide: (from: string, request: PlacementRequest, now: number) => PlacementAnswer
  /** Applies what an instance reports. */
  readonly update: (from: string, updates: PlacementUpdates, now: number) => void
  /** Drops the placements without news, and workers that are not listed any more. */
  readonly tick: (now: number) => void
  /** Mean share in use of these workers, in units of their speed. */
  readonly loadOfGroup: (workers: readonly string[], limitsOf: (worker: string) => RoomLimits, now: number) => number
  readonly loadOf: (worker: string) => WorkerLoad
  /** Number of requests that count as in flight. */
  readonly size: () => number
  /** Number of runs without a connection that are remembered. */
  readonly abandonedRuns: () => number
}

interface Placement {
  readonly flight: InFlightRequest
  heardAt: number
  confirmed: boolean
}

/** When a request was at a worker that has ended there. */
interface PastFlight {
  readonly sentAt: number
  readonly endedAt: number
}

/** Number of requests that a worker has stated to have at a time, in ms. */
interface Statement {
  readonly at: number
  readonly requests: number
}

/** Time, in ms, within which the sender confirms that it has sent a request; a decision that did not reach it is dropped then. */
const confirmTimeout = 1_000
/** Time, in ms, without news from the sender after which a request in flight is dropped: more than twice the interval at which it reports what is still in flight. */
const newsTimeout = 5_000
/** Time for which ended requests are remembered, in ms, to compare with load counts as old as that. */
const pastTime = 1_500
/** Difference between a worker's own count and the coordinator's that is due to the moment of counting: a request under way to the worker, or an end under way to the coordinator. */
const countTolerance = 1
/** Time after which what has ended before has been heard from all instances, in ms, as each reports once in 50 ms. */
const settleTime = 80
/** Mean time until an end is heard, in ms. */
const endLag = 40
/** Time that a request takes to its worker, in ms. */
const arrivalTime = 5
/** Largest number of statements of one worker that wait until what ended before them has been heard. */
const maxUnsettled = 16
/** Time between two checks for placements without news, in ms. */
const checkInterval = 200

/**
 * Creates a coordinator that has placed nothing.
 *
 * @param options - what it knows of the workers
 */
export const createPlacementCoordinator = (options: PlacementCoordinatorOptions): PlacementCoordinator => {
  const { hash, random } = options
  const loads = new Map<string, WorkerLoad>()
  const past = new Map<string, PastFlight[]>()
  const placements = new Map<string, Placement>()
  /** When the lifetimes of the workers with a load began, as far as this was looked up, in ms. */
  const lifetimes = new Map<string, number>()
  const unsettled = new Map<string, Statement[]>()
  let nextFlight = 0
  let nextCheck = -Infinity

  const isListed = (worker: string): boolean => options.startedAt(worker) !== undefined

  const loadOf = (worker: string): WorkerLoad => {
    const known = loads.get(worker) ?? createWorkerLoad(worker)
    loads.set(worker, known)
    return known
  }

  const add = (key: string, flight: Omit<InFlightRequest, 'attempt'>, confirmed: boolean, now: number): void => {
    const counted: InFlightRequest = { attempt: nextFlight++, ...flight }
    noteSent(loadOf(counted.worker), counted)
    placements.set(key, { flight: counted, heardAt: now, confirmed })
  }

  const remove = (key: string, { flight }: Placement): void => {
    placements.delete(key)
    noteEnded(loadOf(flight.worker), flight)
  }

  const end = (key: string, placement: Placement, now: number): void => {
    const { flight } = placement
    remove(key, placement)
    const ended = past.get(flight.worker) ?? []
    past.set(flight.worker, ended)
    ended.push({ sentAt: flight.sentAt, endedAt: now })
    while (ended.length > 0 && ended[0].endedAt < now - pastTime) ended.shift()
  }

  const decide = (from: string, request: PlacementRequest, now: number): PlacementAnswer => {
    const query = options.queryOf(request, loadOf, now)
    const decision = query === undefined ? undefined : placeInGroup(query, hash, random, now)
    if (decision === undefined) return { kind: 'noWorker' }
    if (decision.kind === 'noRoom') return decision
    const { worker, expected, unreadTokens, fetchedTokens, tokensAhead, memoryTokens, scope } = decision
    add(`${from}/${request.id}`, { worker, unreadTokens, fetchedTokens, tokensAhead, memoryTokens, sentAt: now, expected, firstEventAt: undefined }, false, now)
    if (scope !== undefined) options.noteParts(worker, scope, request)
    return { ...decision, expected: boundedCount(Math.round(expected)), tokensAhead: boundedCount(Math.round(tokensAhead)), memoryTokens: boundedCount(memoryTokens) }
  }

  /** Time that a run takes at a worker, in ms; infinite until one has been measured. */
  const runTimeAt = (load: WorkerLoad, now: number): number => load.serviceTime === 0 ? Infinity : load.serviceTime * paceAt(load.pace, now)

  /** Number of requests with a connection that a worker had at a time, as it is known once all ends before it have been heard. */
  const openAt = (worker: string, at: number): number => {
    const { flights, abandoned } = loadOf(worker)
    const arrivedBefore = ({ sentAt }: { readonly sentAt: number }): boolean => sentAt + arrivalTime <= at
    const open = [...flights].filter(arrivedBefore).length
    const endedSince = (past.get(worker) ?? []).filter(flight => arrivedBefore(flight) && flight.endedAt - endLag > at).length
    return open + endedSince + countOpenAt(abandoned, at)
  }

  /** Finds out which abandoned runs a worker has dropped, by what it has stated. */
  const settle = (now: number): void => {
    for (const [worker, statements] of unsettled) {
      const load = loadOf(worker)
      while (statements.length > 0 && statements[0].at + settleTime <= now) {
        const { at, requests } = statements[0]
        statements.shift()
        applyStatedRequests(load.abandoned, { at, unexplained: requests - openAt(worker, at) }, runTimeAt(load, now))
      }
      if (statements.length === 0) unsettled.delete(worker)
    }
  }

  const noteStatement = (worker: string, statement: Statement): void => {
    if (loadOf(worker).abandoned.byKey.size === 0) return
    const statements = unsettled.get(worker) ?? []
    unsettled.set(worker, statements)
    if (statements.length < maxUnsettled) statements.push(statement)
  }

  /** Number of requests that this coordinator had counted at a worker at a time, with the abandoned ones that take a place. */
  const countedAt = (worker: string, at: number): number => {
    let counted = 0
    for (const { sentAt } of loadOf(worker).flights) if (sentAt <= at) counted++
    for (const { sentAt, counted: takesPlace } of loadOf(worker).abandoned.byKey.values()) if (takesPlace && sentAt <= at) counted++
    for (const { sentAt, endedAt } of past.get(worker) ?? []) if (sentAt <= at && endedAt > at) counted++
    return counted
  }

  const applyReport = ({ worker, age, running, waiting, slots, pace, brittle }: WorkerLoadReport, now: number): void => {
    const load = loadOf(worker)
    const at = now - age
    if (load.report !== undefined && load.report.at > at) return
    noteLoadCounts(load, { running, waiting, slots, ...(pace === undefined ? {} : { pace }) }, at)
    noteBrittle(load, brittle ? { kind: 'brittle', refusals: 0 } : undefined)
    noteStatement(worker, { at, requests: running + waiting })
    const others = running + waiting - countedAt(worker, at)
    if (load.report !== undefined) load.report = { ...load.report, own: running + waiting - (others > countTolerance ? others : 0) }
  }

  const update = (from: string, { flights, begun, ended, abandoned, running, reports }: PlacementUpdates, now: number): void => {
    for (const { id, worker, unreadTokens, memoryTokens, tokensAhead, expected, age, begun: hasBegun } of flights) {
      const key = `${from}/${id}`
      if (placements.has(key)) continue
      const sentAt = now - age
      add(key, { worker, unreadTokens: hasBegun ? 0 : unreadTokens, fetchedTokens: 0, tokensAhead, memoryTokens, sentAt, expected, firstEventAt: hasBegun ? sentAt : undefined }, true, now)
    }
    for (const { id, age } of begun) {
      const placement = placements.get(`${from}/${id}`)
      if (placement === undefined) continue
      placement.heardAt = now
      placement.confirmed = true
      if (placement.flight.firstEventAt === undefined) noteFirstEvent(loadOf(placement.flight.worker), placement.flight, firstEventOverhead, Math.max(placement.flight.sentAt, now - age))
    }
    for (const id of running) {
      const placement = placements.get(`${from}/${id}`)
      if (placement === undefined) continue
      placement.heardAt = now
      placement.confirmed = true
    }
    for (const id of ended) {
      const key = `${from}/${id}`
      const placement = placements.get(key)
      if (placement === undefined) continue
      const load = loadOf(placement.flight.worker)
      if (placement.confirmed) noteSuccess(load, (now - placement.flight.sentAt) / paceAt(load.pace, now))
      end(key, placement, now)
    }
    for (const { id, worker, memoryTokens, sent, age, left } of abandoned) {
      const key = `${from}/${id}`
      const placement = placements.get(key)
      if (placement !== undefined) remove(key, placement)
      if (!isListed(worker)) continue
      const load = loadOf(worker)
      addAbandonedRun(load.abandoned, key, { sentAt: now - sent, closedAt: now - age, memoryTokens, deadline: now + left }, runTimeAt(load, now))
    }
    for (const report of reports) if (isListed(report.worker)) applyReport(report, now)
  }

  const forget = (worker: string): void => {
    loads.delete(worker)
    past.delete(worker)
    lifetimes.delete(worker)
  }

  const tick = (now: number): void => {
    settle(now)
    if (now < nextCheck) return
    nextCheck = now + checkInterval
    for (const [key, placement] of placements) {
      const timeout = placement.confirmed ? newsTimeout : confirmTimeout
      if (now - placement.heardAt >= timeout || !isListed(placement.flight.worker)) end(key, placement, now)
    }
    for (const [worker, load] of loads) {
      const startedAt = options.startedAt(worker)
      // A worker that has started anew has nothing of its lifetime before.
      if (lifetimes.has(worker) && lifetimes.get(worker) !== startedAt) {
        resetAbandonedRuns(load.abandoned)
        unsettled.delete(worker)
      }
      if (startedAt === undefined) forget(worker)
      else lifetimes.set(worker, startedAt)
    }
  }

  const loadOfGroup = (workers: readonly string[], limitsOf: (worker: string) => RoomLimits, now: number): number => {
    if (workers.length === 0) return 0
    return workers.reduce((sum, worker) => sum + shareInUse(loadOf(worker), limitsOf(worker), now) * paceAt(loadOf(worker).pace, now), 0) / workers.length
  }

  return { decide, update, tick, loadOfGroup, loadOf, size: () => placements.size, abandonedRuns: () => [...loads.values()].reduce((sum, { abandoned }) => sum + abandoned.byKey.size, 0) }
}
