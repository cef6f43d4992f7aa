/**
 * Which weights each worker is believed to hold, which were named last, and
 * which workers are away to load some. A worker's version only rises within its
 * lifetime, so of several sources the highest is right.
 */
import type { Worker } from './workersTypes.js'

/** The newest weights of a model and when this instance learned of them, in ms. */
export interface AnnouncedWeights {
  readonly version: number
  readonly at: number
}

/** The belief of one instance. */
export interface WeightsTracker {
  /** Takes in that a version was named; false if a newer one is known. */
  readonly name: (model: string, version: number, now: number) => boolean
  readonly newest: (model: string) => AnnouncedWeights | undefined
  readonly models: () => readonly string[]
  /** Takes in evidence of what a worker holds. */
  readonly noteHeld: (worker: Worker, model: string, version: number) => void
  readonly held: (worker: Worker, model: string) => number | undefined
  readonly noteLoading: (worker: string, until: number) => void
  readonly noteLoaded: (worker: string) => void
  readonly isLoading: (worker: string, now: number) => boolean
  /** Whether the worker holds the newest weights of the model. */
  readonly holdsNewest: (worker: Worker, model: string) => boolean
  /** Time, in ms, since the first weights newer than the worker's were named; 0 if there are none. */
  readonly outdatedFor: (worker: Worker, model: string, now: number) => number
  readonly forget: (worker: string) => void
}

/** Versions of a model that are remembered. */
const keptNames = 32

interface Evidence {
  readonly startedAt: number
  readonly versions: Map<string, number>
}

/** Creates a belief without evidence. */
export const createWeightsTracker = (): WeightsTracker => {
  /** By model, the newest last. */
  const named = new Map<string, AnnouncedWeights[]>()
  const evidence = new Map<string, Evidence>()
  const loading = new Map<string, number>()

  const evidenceOf = ({ id, startedAt }: Worker): Evidence => {
    const known = evidence.get(id)
    if (known !== undefined && known.startedAt === startedAt) return known
    const fresh = { startedAt, versions: new Map<string, number>() }
    evidence.set(id, fresh)
    return fresh
  }

  const name = (model: string, version: number, now: number): boolean => {
    const known = named.get(model) ?? []
    if ((known.at(-1)?.version ?? -Infinity) >= version) return false
    named.set(model, [...known, { version, at: now }].slice(-keptNames))
    return true
  }

  const noteHeld = (worker: Worker, model: string, version: number): void => {
    const { versions } = evidenceOf(worker)
    versions.set(model, Math.max(version, versions.get(model) ?? version))
  }

  const held = (worker: Worker, model: string): number | undefined => {
    const announced = worker.models.find(entry => entry.name === model)?.version
    const seen = evidenceOf(worker).versions.get(model)
    if (announced === undefined || seen === undefined) return announced ?? seen
    return Math.max(announced, seen)
  }

  const newest = (model: string): AnnouncedWeights | undefined => named.get(model)?.at(-1)

  const outdatedFor = (worker: Worker, model: string, now: number): number => {
    const version = held(worker, model) ?? 0
    const first = named.get(model)?.find(entry => entry.version > version)
    return first === undefined ? 0 : now - first.at
  }

  return {
    name,
    newest,
    models: () => [...named.keys()],
    noteHeld,
    held,
    noteLoading: (worker, until) => { loading.set(worker, until) },
    noteLoaded: worker => { loading.delete(worker) },
    isLoading: (worker, now) => now < (loading.get(worker) ?? -Infinity),
    holdsNewest: (worker, model) => (held(worker, model) ?? 0) >= (newest(model)?.version ?? 0),
    outdatedFor,
    forget: worker => {
      evidence.delete(worker)
      loading.delete(worker)
    }
  }
}
