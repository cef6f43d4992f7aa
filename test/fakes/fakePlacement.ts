/**
 * Instances that place requests on workers in virtual time, without gateways: only
 * the modules of placement, messages between the instances with delays, and workers
 * that prefill one prompt after another, decode, and report loads of a given age.
 */
import type { ModelPurpose } from '../../src/catalog/catalogTypes.js'
import type { CoordinationMessage } from '../../src/coordination/coordinationMessages.js'
import { createPlacementCoordination, type PlacementCoordination } from '../../src/coordination/placementCoordination.js'
import type { Hash } from '../../src/hash.js'
import { createCachedPartsEstimate, type CachedPartsEstimate } from '../../src/placement/cachedPartsEstimate.js'
import { firstEventOverhead, placeModelRequest, scoreModelCandidates, tokenCostOf, type ModelCandidate, type ModelPlacementInput } from '../../src/placement/modelPlacement.js'
import { createWorkerLoad, noteEnded, noteFirstEvent, noteBrittle, noteLoadCounts, notePeerSent, noteSent, type InFlightRequest, type WorkerLoad } from '../../src/placement/workerLoad.js'
import type { Prompt } from '../../src/ports/forwardPort.js'
import { createRandom, type Random } from '../../src/random.js'
import { buildWorker } from '../fixtures/forwarding.js'
import { createVirtualTime } from './virtualTime.js'

/** How requests are placed: as before by each instance, with the better of two random workers, or by coordinators. */
export type PlacementMode = 'alone' | 'twoChoices' | 'coordinators'

/** What is simulated; times in ms. */
export interface FakePlacementOptions {
  readonly hash: Hash
  readonly mode: PlacementMode
  readonly instances: number
  readonly workers: number
  readonly seed: number
  /** Age of the load figures when an instance hears them. */
  readonly reportAge: number
  readonly duration: number
  /** Requests a second of all instances together at a time. */
  readonly rate: (now: number) => number
  /** Draws the prompt of a request. */
  readonly prompt: (random: Random) => Prompt
  /** Time to write an answer, at the usual pace. */
  readonly decodeTime: number
  readonly slots: number
  readonly memoryTokens: number
  /** Pace of a worker at a time. */
  readonly pace?: (worker: number, now: number) => number
  /** Refusals in a second above which a worker crashes; it then runs no more than its slots. Undefined for workers that queue. */
  readonly brittle?: number
  /** Time after which a message arrives; undefined if it is lost. */
  readonly delay?: (from: string, to: string, message: CoordinationMessage, now: number, random: Random) => number | undefined
  /** The instances that may coordinate as one of them sees it; all by default. */
  readonly coordinators?: (asker: string, now: number) => readonly string[]
  /** Whether an instance does not run at a time. */
  readonly isDown?: (instance: string, now: number) => boolean
}

/** What was measured. */
export interface PlacementFigures {
  /** Median over moments of the largest over the mean load of a worker, in units of the workers' pace. */
  readonly largestOverMean: number
  /** 95th percentile of the time from arrival to the first event, in ms. */
  readonly p95: number
  /** Prompt tokens of shared parts that were computed. */
  readonly sharedTokensComputed: number
  readonly requests: number
  /** Requests that got their first event. */
  readonly begun: number
  readonly refusals: number
  readonly crashes: number
  /** Largest fraction of all workers' memory in use. */
  readonly memoryUsed: number
  /** Longest time from arrival to the send, in ms. */
  readonly longestPlacing: number
  readonly messages: number
  /** Requests that the coordinators count at the end, when none is in flight. */
  readonly leftOver: number
}

interface Node {
  readonly id: string
  readonly loads: Map<string, WorkerLoad>
  readonly kept: Map<string, CachedPartsEstimate>
  readonly waiting: Map<number, () => void>
  coordination: PlacementCoordination
}

interface SimulatedWorker {
  readonly index: number
  readonly flights: Map<InFlightRequest, () => void>
  readonly kept: CachedPartsEstimate
  memory: number
  freeAt: number
  refusedAt: number[]
  downUntil: number
  history: { readonly at: number, readonly running: number, readonly waiting: number }[]
}

const scope = 'm@1'
const tokenCost = 0.02 // ms at the usual pace
const tickInterval = 20 // ms
const sampleInterval = 10 // ms
const warmUp = 1_500 // ms
const crashTime = 3_000 // ms
const announceMinTokens = 1_000

const percentile = (values: readonly number[], fraction: number): number =>
  [...values].sort((left, right) => left - right)[Math.floor((values.length - 1) * fraction)] ?? 0

/** Runs the simulation and returns what was measured. */
export const simulatePlacement = (options: FakePlacementOptions): PlacementFigures => {
  const { hash, mode, slots, memoryTokens, instances, reportAge } = options
  const time = createVirtualTime()
  const random = createRandom(options.seed)
  const purpose: ModelPurpose = { kind: 'model', slots, memoryTokens, tokenBytes: 163_840, linkSpeed: 130_000 }
  const workers = Array.from({ length: options.workers }, (_, index) => buildWorker(`w${index}`, { slots }))
  const byId = new Map(workers.map(worker => [worker.id, worker]))
  const simulated = new Map(workers.map(({ id }, index): [string, SimulatedWorker] => [id, { index, flights: new Map(), kept: createCachedPartsEstimate(memoryTokens * 0.85), memory: 0, freeAt: 0, refusedAt: [], downUntil: 0, history: [] }]))
  const names = Array.from({ length: instances }, (_, index) => `n${index}`)
  const nodes = new Map<string, Node>()
  const firstEventTimes: number[] = []
  const ratios: number[] = []
  const figures = { sharedTokensComputed: 0, requests: 0, begun: 0, refusals: 0, crashes: 0, memoryUsed: 0, longestPlacing: 0, messages: 0 }
  let lastAttempt = 0

  const paceOf = (worker: number, now: number): number => options.pace?.(worker, now) ?? 1
  const isUp = (id: string): boolean => options.isDown?.(id, time.now()) !== true
  const getOrCreate = <Value>(map: Map<string, Value>, key: string, create: () => Value): Value => {
    const value = map.get(key) ?? create()
    map.set(key, value)
    return value
  }
  const loadOf = (node: Node, id: string): WorkerLoad => getOrCreate(node.loads, id, () => createWorkerLoad(id))
  const keptOf = (node: Node, id: string): CachedPartsEstimate => getOrCreate(node.kept, id, () => createCachedPartsEstimate(memoryTokens * 0.85))
  const candidatesOf = (node: Node, ids: readonly string[], load: (id: string) => WorkerLoad): readonly ModelCandidate[] =>
    ids.map(id => ({ id, load: load(id), kept: keptOf(node, id), slots, outdatedFor: 0, scope, sameDataCentre: true }))
  const inputOf = (prompt: Prompt, loads: readonly WorkerLoad[]): ModelPlacementInput => {
    const known = loads.map(load => load.tokenCost).filter(cost => cost > 0)
    return { prompt, purpose, stored: undefined, meanTokenCost: known.length === 0 ? 0 : known.reduce((sum, cost) => sum + cost, 0) / known.length }
  }
  const deliver = (from: string, to: string, message: CoordinationMessage): void => {
    figures.messages++
    const delay = options.delay === undefined ? 1 + 2 * random.unit() : options.delay(from, to, message, time.now(), random)
    if (delay !== undefined) time.after(delay, () => { if (isUp(to)) nodes.get(to)?.coordination.receive(from, message, time.now()) })
  }

  const createNode = (id: string): Node => {
    const node = { id, loads: new Map<string, WorkerLoad>(), kept: new Map<string, CachedPartsEstimate>(), waiting: new Map<number, () => void>() }
    const coordination = createPlacementCoordination({
      self: id,
      hash,
      random: createRandom(options.seed + hash.h32(id)),
      instances: () => instances,
      coordinators: () => (options.coordinators?.(id, time.now()) ?? names).map(name => ({ id: name, weight: 1 })),
      liveWorkers: () => workers,
      services: () => ['m'],
      startedAt: worker => byId.get(worker)?.startedAt,
      loadOf: worker => loadOf({ ...node, coordination }, worker),
      limitsOf: () => ({ slots, memoryTokens }),
      queryOf: ({ prompt }, allowed, countedLoadOf) => prompt === undefined ? undefined : { kind: 'model', input: inputOf(prompt, allowed.map(worker => countedLoadOf(worker.id))), candidates: candidatesOf({ ...node, coordination }, allowed.map(worker => worker.id), countedLoadOf) },
      noteParts: (worker, partsScope, { prompt }) => { keptOf({ ...node, coordination }, worker).add(partsScope, (prompt?.parts ?? []).slice(0, -1)) },
      send: (to, message) => deliver(id, to, message),
      onAnswer: request => node.waiting.get(request)?.(),
      log: () => { /* Not checked. */ }
    })
    return { ...node, coordination }
  }

  const hear = (node: Node, id: string): void => {
    const worker = simulated.get(id)
    if (worker === undefined) return
    const at = time.now() - reportAge
    const entry = worker.history.findLast(past => past.at <= at) ?? { running: 0, waiting: 0 }
    const speed = Math.max(1, Math.round(100 * paceOf(worker.index, at)))
    noteLoadCounts(loadOf(node, id), { running: entry.running, waiting: entry.waiting, slots, pace: speed }, time.now())
    noteBrittle(loadOf(node, id), options.brittle === undefined ? undefined : { kind: 'brittle', refusals: options.brittle })
  }

  const record = (worker: SimulatedWorker): void => {
    worker.history.push({ at: time.now(), running: Math.min(slots, worker.flights.size), waiting: Math.max(0, worker.flights.size - slots) })
    if (worker.history.length > 400) worker.history.splice(0, 200)
  }

  const crash = (worker: SimulatedWorker): void => {
    figures.crashes++
    worker.downUntil = time.now() + crashTime
    worker.refusedAt = []
    const ends = [...worker.flights.values()]
    worker.flights.clear()
    worker.memory = 0
    record(worker)
    for (const end of ends) end()
  }

  const refuse = (worker: SimulatedWorker): void => {
    figures.refusals++
    worker.refusedAt = [...worker.refusedAt.filter(at => at > time.now() - 1_000), time.now()]
    if (options.brittle !== undefined && worker.refusedAt.length > options.brittle) crash(worker)
  }

  const run = (node: Node, id: string, flight: InFlightRequest, prompt: Prompt, arrivedAt: number): void => {
    const worker = simulated.get(id)
    if (worker === undefined) return
    const finish = (): void => noteEnded(loadOf(node, id), flight)
    if (time.now() < worker.downUntil) return finish()
    if (worker.flights.size >= slots * (options.brittle === undefined ? 4 : 1)) {
      refuse(worker)
      hear(node, id)
      return finish()
    }
    worker.flights.set(flight, finish)
    worker.memory += flight.memoryTokens
    if (worker.memory > memoryTokens) return crash(worker)
    record(worker)
    const cached = worker.kept.cachedPrefixTokens(scope, prompt.parts)
    const shared = prompt.parts.slice(0, -1)
    figures.sharedTokensComputed += Math.max(0, shared.reduce((sum, { tokens }) => sum + tokens, 0) - cached)
    worker.kept.add(scope, shared)
    const pace = paceOf(worker.index, time.now())
    worker.freeAt = Math.max(worker.freeAt, time.now()) + (prompt.inputTokens - cached) * tokenCost * pace
    const isRunning = (): boolean => worker.flights.has(flight)
    time.after(worker.freeAt - time.now() + firstEventOverhead, () => {
      if (!isRunning()) return
      figures.begun++
      if (arrivedAt > warmUp) firstEventTimes.push(time.now() - arrivedAt)
      noteFirstEvent(loadOf(node, id), flight, firstEventOverhead, time.now())
      keptOf(node, id).add(scope, prompt.parts)
      hear(node, id)
      time.after(options.decodeTime * pace, () => {
        if (!isRunning()) return
        worker.flights.delete(flight)
        worker.memory -= flight.memoryTokens
        record(worker)
        finish()
      })
    })
  }

  const announce = (node: Node, id: string, prompt: Prompt, unreadTokens: number): void => {
    const shared = prompt.parts.slice(0, -1)
    const unreadShared = unreadTokens - (prompt.parts.at(-1)?.tokens ?? 0)
    if (prompt.inputTokens < announceMinTokens || (instances > 12 && unreadShared < announceMinTokens)) return
    time.after(2, () => {
      for (const other of nodes.values()) {
        if (other === node) continue
        notePeerSent(loadOf(other, id), unreadTokens, tokenCostOf(loadOf(other, id), 0), time.now())
        keptOf(other, id).add(scope, shared)
      }
    })
  }

  const choose = (node: Node, prompt: Prompt, ids: readonly string[]) => {
    const candidates = candidatesOf(node, ids, id => loadOf(node, id))
    const input = inputOf(prompt, candidates.map(({ load }) => load))
    if (mode !== 'twoChoices') return placeModelRequest(input, candidates, hash, time.now())
    const drawn = [0, 1].map(() => candidates[random.below(candidates.length)])
    return scoreModelCandidates(input, drawn, candidates, hash, time.now()).reduce((best, next) => next.score < best.score ? next : best).choice
  }

  const arrive = (node: Node, prompt: Prompt): void => {
    const arrivedAt = time.now()
    const request = ++figures.requests
    const tryPlacement = (): void => {
      if (!isUp(node.id)) return
      const attempt = ++lastAttempt
      const placement = mode === 'coordinators'
        ? node.coordination.place({ request, service: 'm', prompt, workspace: undefined }, workers, attempt, time.now())
        : { kind: 'byItself' as const, workers }
      if (placement.kind === 'asked' || placement.kind === 'full') {
        node.waiting.set(request, tryPlacement)
        return
      }
      node.waiting.delete(request)
      const choice = choose(node, prompt, placement.kind === 'named' ? [placement.worker.id] : placement.workers.map(({ id }) => id))
      if (choice === undefined) return
      const { unreadTokens, tokensAhead, expected } = placement.kind === 'named' ? placement.answer : choice
      const id = choice.candidate.id
      const flight: InFlightRequest = { attempt, worker: id, unreadTokens, fetchedTokens: 0, memoryTokens: choice.memoryTokens, tokensAhead, sentAt: time.now(), expected, firstEventAt: undefined }
      figures.longestPlacing = Math.max(figures.longestPlacing, time.now() - arrivedAt)
      noteSent(loadOf(node, id), flight)
      announce(node, id, prompt, unreadTokens)
      time.after(1, () => run(node, id, flight, prompt, arrivedAt))
    }
    tryPlacement()
  }

  const every = (interval: number, action: () => void): void => {
    action()
    if (time.now() < options.duration + 3_000) time.after(interval, () => every(interval, action))
  }

  const sample = (): void => {
    const all = [...simulated.values()]
    figures.memoryUsed = Math.max(figures.memoryUsed, all.reduce((sum, { memory }) => sum + memory, 0) / (memoryTokens * all.length))
    if (time.now() < warmUp || time.now() > options.duration) return
    const loads = all.map(({ flights, index }) => flights.size * paceOf(index, time.now()))
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length
    if (mean > 0) ratios.push(Math.max(...loads) / mean)
  }

  const arriveNext = (): void => {
    if (time.now() >= options.duration) return
    const up = names.filter(isUp)
    const node = nodes.get(up[random.below(up.length)])
    if (node !== undefined) arrive(node, options.prompt(random))
    time.after(-Math.log(1 - random.unit()) * 1_000 / options.rate(time.now()), arriveNext)
  }

  for (const id of names) nodes.set(id, createNode(id))
  for (const node of nodes.values()) {
    // Each instance has heard each worker once, as in a fleet that has run for some time.
    for (const { id } of workers) hear(node, id)
    time.after(random.below(tickInterval), () => every(tickInterval, () => {
      if (mode !== 'coordinators' || !isUp(node.id)) return
      node.coordination.tick(time.now())
      for (const tryPlacement of [...node.waiting.values()]) tryPlacement()
    }))
  }
  every(sampleInterval, sample)
  arriveNext()
  time.runUntil(options.duration + 3_000)
  const leftOver = [...nodes.values()].filter(({ id }) => isUp(id)).reduce((sum, { coordination }) => sum + coordination.gauges().coordinatedRequests, 0)
  return { ...figures, largestOverMean: percentile(ratios, 0.5), p95: percentile(firstEventTimes, 0.95), leftOver }
}
