/**
 * Placement by coordinators at one instance, which asks the coordinators of groups
 * of workers, and is one itself for some groups. It takes part only for services
 * whose workers state their pace or that they are brittle; requests of others are
 * placed by each instance alone.
 */
import type { Candidate } from '../addresses/rendezvous.js'
import type { Hash } from '../hash.js'
import { affinityPart, sharedParts } from '../placement/modelPlacement.js'
import { countAbandoned } from '../placement/abandonedRuns.js'
import type { WorkerLoad } from '../placement/workerLoad.js'
import type { Prompt } from '../ports/forwardPort.js'
import type { Random } from '../random.js'
import type { Worker } from '../workers/workersTypes.js'
import { boundedPrompt, maxGroupLoadsPerMessage, type CoordinationMessage, type GroupLoad, type PlacedAnswer, type PlacementAnswer, type PlacementRequest } from './coordinationMessages.js'
import { createCoordinatorTrust, type CoordinatorLogEvent } from './coordinatorTrust.js'
import { createFlightReports, type ReportedWorker } from './flightReports.js'
import type { GroupQuery } from './groupPlacement.js'
import { createPlacementCoordinator } from './placementCoordinator.js'
import { createPlacementQuestions, type Answered } from './placementQuestions.js'
import { createServiceGroups } from './serviceGroups.js'
import { wholeBlocks, type RoomLimits } from './workerRoom.js'

/** What placement by coordinators depends on; times in ms. */
export interface PlacementCoordinationOptions {
  readonly self: string
  readonly hash: Hash
  readonly random: Random
  /** Number of live instances, this one included. */
  readonly instances: () => number
  /** The instances that may coordinate, this one included if it may. */
  readonly coordinators: () => readonly Candidate[]
  readonly liveWorkers: (service: string) => readonly Worker[]
  /** Names of all services with workers. */
  readonly services: () => readonly string[]
  /** Returns when the present lifetime of a worker began, in ms; undefined if the worker is not listed. */
  readonly startedAt: (worker: string) => number | undefined
  /** Load of a worker as this instance knows it. */
  readonly loadOf: (worker: string) => WorkerLoad
  readonly limitsOf: (worker: Worker) => RoomLimits
  /** Describes a request and the workers that it may be placed at, for the choice within a group. */
  readonly queryOf: (request: PlacementRequest, workers: readonly Worker[], loadOf: (worker: string) => WorkerLoad, now: number) => GroupQuery | undefined
  /** Records that a worker computes the parts of a prompt. */
  readonly noteParts: (worker: string, scope: string, request: PlacementRequest) => void
  readonly send: (to: string, message: CoordinationMessage) => void
  /** Called when the coordinator has answered for a request. */
  readonly onAnswer: (request: number) => void
  readonly log: (event: CoordinatorLogEvent) => void
}

/** A request to place. */
export interface CoordinatedRequest {
  /** Number of the request at this instance. */
  readonly request: number
  readonly service: string
  readonly prompt: Prompt | undefined
  readonly workspace: string | undefined
}

/** What is to be done with a request. */
export type CoordinatedPlacement =
  /** The instance places it by itself; at these workers only. */
  | { readonly kind: 'byItself', readonly workers: readonly Worker[] }
  | { readonly kind: 'asked' }
  | { readonly kind: 'named', readonly worker: Worker, readonly coordinator: string, readonly answer: PlacedAnswer }
  /** No worker has room before `until` (ms). */
  | { readonly kind: 'full', readonly until: number }

/** Placement by coordinators at one instance; times in ms. */
export interface PlacementCoordination {
  /** Finds the worker of a request among those that may get it; `attempt` is the number under which it is sent then. */
  readonly place: (request: CoordinatedRequest, workers: readonly Worker[], attempt: number, now: number) => CoordinatedPlacement
  readonly receive: (from: string, message: CoordinationMessage, now: number) => void
  readonly tick: (now: number) => void
  /** Whether coordinators place the requests of a service. */
  readonly isCoordinated: (service: string, now: number) => boolean
  /** For the metrics: requests and abandoned runs that this instance counts as a coordinator, and coordinators that it leaves out. */
  readonly gauges: () => { readonly coordinatedRequests: number, readonly abandonedRuns: number, readonly avoidedCoordinators: number }
}

/** Number of instances up to which each places by itself, since two cannot agree without the other. */
const maxFleetWithoutMessages = 2
/** Tokens of a prompt's shared parts from which it follows them into a group; below, they are computed in less time than a request waits behind others. */
const minSharedTokens = 500
/** Requests that an instance without an answer has at a brittle worker at the same time. */
const maxAloneAtBrittle = 1
/** Time, in ms, until a request that no brittle worker may get is tried again. */
const brittleRetryTime = 50
const perMille = 1_000
/** Time for which it is kept whether a service is coordinated, in ms. */
const switchKeepTime = 100

/**
 * Creates placement by coordinators at an instance that has placed nothing.
 *
 * @param options - the instance, its workers and the other instances
 */
export const createPlacementCoordination = (options: PlacementCoordinationOptions): PlacementCoordination => {
  const { self, hash, random, loadOf, send } = options
  const trust = createCoordinatorTrust(options.log)
  const reports = createFlightReports(random.below)
  const switches = new Map<string, { readonly on: boolean, readonly until: number }>()
  const groups = createServiceGroups({ hash, liveWorkers: options.liveWorkers, coordinators: options.coordinators })
  const coordinatorOf = (service: string, group: number, now: number): string =>
    options.instances() <= maxFleetWithoutMessages ? self : groups.coordinatorOf(service, group, now) ?? self
  let currentTime = 0

  const isCoordinated = (service: string, now: number): boolean => {
    const known = switches.get(service)
    if (known !== undefined && now < known.until) return known.on
    const on = options.liveWorkers(service).some(({ id }) => loadOf(id).pace !== undefined || loadOf(id).brittle)
    switches.set(service, { on, until: now + switchKeepTime })
    return on
  }

  /** Workers of a group, without those that have asked this instance for a pause. */
  const workersIn = ({ service, group, excluded }: PlacementRequest, now: number): readonly Worker[] => {
    const members = new Set(groups.groupsOf(service, now).members(group))
    const left = new Set(excluded)
    return options.liveWorkers(service).filter(({ id }) => members.has(id) && !left.has(id) && loadOf(id).pausedUntil <= now)
  }

  const coordinator = createPlacementCoordinator({
    hash,
    random,
    queryOf: (request, countedLoadOf, now) => {
      const workers = workersIn(request, now)
      for (const { id } of workers) {
        const { failures, suspectedSince } = loadOf(id)
        Object.assign(countedLoadOf(id), { failures, suspectedSince })
      }
      return options.queryOf(request, workers, countedLoadOf, now)
    },
    noteParts: options.noteParts,
    startedAt: options.startedAt
  })

  const decide = (from: string, request: PlacementRequest, now: number): Answered => {
    const { service, group } = request
    const loads = questions.loadsOf(service)
    loads.note(request.loads, now)
    const workers = new Map(options.liveWorkers(service).map(worker => [worker.id, worker]))
    const members = groups.groupsOf(service, now).members(group).filter(id => workers.has(id))
    const limitsOf = (id: string): RoomLimits => {
      const worker = workers.get(id)
      return worker === undefined ? { slots: 1, memoryTokens: Infinity } : options.limitsOf(worker)
    }
    const load = Math.round(perMille * coordinator.loadOfGroup(members, limitsOf, now))
    const less = loads.lessLoaded(group, load, request.alternatives, now)
    const answer: PlacementAnswer = less === undefined ? coordinator.decide(from, request, now) : { kind: 'otherGroup', group: less }
    const own: GroupLoad = [group, load, 0]
    const others = loads.freshest(now).filter(([other]) => other !== group)
    loads.note([own], now)
    return { answer, loads: [own, ...others].slice(0, maxGroupLoadsPerMessage) }
  }

  const ask = (to: string, request: PlacementRequest, now: number): Answered | undefined => {
    if (to === self) return decide(self, request, now)
    send(to, request)
    return undefined
  }

  const questions = createPlacementQuestions({
    random,
    trust,
    nextId: reports.nextId,
    coordinatorOf: (service, group) => coordinatorOf(service, group, currentTime),
    ask,
    release: reports.release
  })

  const preferredGroup = (service: string, prompt: Prompt | undefined, now: number): number | undefined => {
    if (prompt === undefined) return undefined
    const tokens = sharedParts(prompt).reduce((sum, part) => sum + part.tokens, 0)
    const part = tokens < minSharedTokens ? undefined : affinityPart(prompt)
    return part === undefined ? undefined : groups.groupsOf(service, now).affinityGroup(part.id)
  }

  const aloneAmong = (workers: readonly Worker[], now: number): CoordinatedPlacement => {
    const requestsOf = ({ flights, abandoned }: WorkerLoad): number => flights.size + countAbandoned(abandoned, now)
    const usable = workers.filter(({ id }) => !loadOf(id).brittle || requestsOf(loadOf(id)) < maxAloneAtBrittle)
    return usable.length === 0 && workers.length > 0 ? { kind: 'full', until: now + brittleRetryTime } : { kind: 'byItself', workers: usable }
  }

  const place = ({ request, service, prompt, workspace }: CoordinatedRequest, workers: readonly Worker[], attempt: number, now: number): CoordinatedPlacement => {
    currentTime = now
    if (workers.length === 0 || !isCoordinated(service, now)) return { kind: 'byItself', workers }
    const division = groups.groupsOf(service, now)
    const allowed = new Map(workers.map(worker => [worker.id, worker]))
    const usableGroups = [...new Set(workers.flatMap(({ id }) => division.groupOf(id) ?? []))]
    if (usableGroups.length === 0) return aloneAmong(workers, now)
    const state = questions.resolve({
      request,
      service,
      groups: usableGroups,
      preferred: () => preferredGroup(service, prompt, now),
      memoryTokens: prompt === undefined ? 0 : wholeBlocks(prompt.inputTokens + prompt.maxOutputTokens),
      build: (id, group, loads, alternatives) => ({
        kind: 'fleet.placementRequest',
        id,
        service,
        group,
        ...(prompt === undefined ? {} : { prompt: boundedPrompt(prompt) }),
        ...(workspace === undefined ? {} : { workspace }),
        alternatives: [...alternatives],
        excluded: division.members(group).filter(member => !allowed.has(member) || loadOf(member).suspectedSince !== undefined),
        loads
      })
    }, now)
    switch (state.kind) {
      case 'asked':
      case 'full': return state
      case 'alone': return aloneAmong(workers, now)
      case 'named': {
        const worker = allowed.get(state.answer.worker)
        if (worker === undefined) {
          reports.release(state.id, state.coordinator)
          return aloneAmong(workers, now)
        }
        reports.assign(attempt, state.id, state.coordinator)
        return { kind: 'named', worker, coordinator: state.coordinator, answer: state.answer }
      }
    }
  }

  const receive = (from: string, message: CoordinationMessage, now: number): void => {
    currentTime = now
    switch (message.kind) {
      case 'fleet.placementRequest': {
        const { answer, loads } = decide(from, message, now)
        return send(from, { kind: 'fleet.placementDecision', id: message.id, service: message.service, decision: answer, loads: [...loads] })
      }
      case 'fleet.placementDecision': {
        const request = questions.answer(from, message.id, message.service, { answer: message.decision, loads: message.loads }, now)
        return request === undefined ? undefined : options.onAnswer(request)
      }
      case 'fleet.placementUpdates': return coordinator.update(from, message, now)
    }
  }

  const reportedWorkers = (now: number): readonly ReportedWorker[] =>
    options.services().filter(service => isCoordinated(service, now)).flatMap(service => {
      const division = groups.groupsOf(service, now)
      return options.liveWorkers(service).flatMap(({ id }): readonly ReportedWorker[] => {
        const group = division.groupOf(id)
        return group === undefined ? [] : [{ id, service, coordinator: coordinatorOf(service, group, now), load: loadOf(id) }]
      })
    })

  const tick = (now: number): void => {
    currentTime = now
    questions.tick(now)
    coordinator.tick(now)
    for (const { to, updates } of reports.collect(() => reportedWorkers(now), now)) {
      if (to === self) coordinator.update(self, updates, now)
      else send(to, updates)
    }
  }

  return {
    place,
    receive,
    tick,
    isCoordinated,
    gauges: () => ({ coordinatedRequests: coordinator.size(), abandonedRuns: coordinator.abandonedRuns(), avoidedCoordinators: trust.avoided() })
  }
}
