/**
 * Tracks which version of a model's weights each worker holds, which versions
 * were announced, and which workers are unavailable while they load one. A
 * worker's version only rises within its lifetime, so the highest that any
 * source reports is right.
 */
import type { Worker } from './workersTypes.js'

/** A version of a model's weights and the time, in ms, at which this instance learned of it. */
export interface AnnouncedWeights {
  readonly version: number
  readonly at: number
}

/** The weights known to one instance. */
export interface WeightsTracker {
  /** Records that a version was announced; returns false if it or a newer one is known already, or if it is no count. */
  readonly name: (model: string, version: number, now: number) => boolean
  /** Returns the newest announced version of a model. */
  readonly newest: (model: string) => AnnouncedWeights | undefined
  /** Returns the models of which a version was announced. */
  readonly models: () => readonly string[]
  /** Records that a worker was seen to hold a version. */
  readonly noteHeld: (worker: Worker, model: string, version: number) => void
  /** Returns the highest version that the worker is known to hold; undefined if none is known. */
  readonly held: (worker: Worker, model: string) => number | undefined
  /** Records that a worker loads weights until the time `until`, in ms. */
  readonly noteLoading: (worker: string, until: number) => void
  readonly noteLoaded: (worker: string) => void
  readonly isLoading: (worker: string, now: number) => boolean
  /** Whether the worker holds the newest weights of the model. */
  readonly holdsNewest: (worker: Worker, model: string) => boolean
  /** Time, in ms, since the first weights newer than the worker's were announced; 0 if there are none. */
  readonly outdatedFor: (worker: Worker, model: string, now: number) => number
  /** Removes all state of a worker. */
  readonly forget: (worker: string) => void
}

/** Number of announced versions that are kept for each model. */
const maxAnnounced = 32

/** Versions that one lifetime of a worker was seen to hold, by model. */
interface ObservedVersions {
  readonly startedAt: number
  readonly versions: Map<string, number>
}

/** Creates a tracker to which nothing has been reported. */
export const createWeightsTracker = (): WeightsTracker => {
  /** Announced versions by model, the newest last. */
  const announced = new Map<string, AnnouncedWeights[]>()
  const observed = new Map<string, ObservedVersions>()
  const loading = new Map<string, number>()

  const observedOf = ({ id, startedAt }: Worker): ObservedVersions => {
    const known = observed.get(id)
    if (known !== undefined && known.startedAt === startedAt) return known
    const fresh = { startedAt, versions: new Map<string, number>() }
    observed.set(id, fresh)
    return fresh
  }

  const name = (model: string, version: number, now: number): boolean => {
    if (!Number.isSafeInteger(version) || version < 0) return false
    const known = announced.get(model) ?? []
    if ((known.at(-1)?.version ?? -Infinity) >= version) return false
    announced.set(model, [...known, { version, at: now }].slice(-maxAnnounced))
    return true
  }

  const noteHeld = (worker: Worker, model: string, version: number): void => {
    const { versions } = observedOf(worker)
    versions.set(model, Math.max(version, versions.get(model) ?? version))
  }

  const held = (worker: Worker, model: string): number | undefined => {
    const discovered = worker.models.find(entry => entry.name === model)?.version
    const seen = observedOf(worker).versions.get(model)
    if (discovered === undefined || seen === undefined) return discovered ?? seen
    return Math.max(discovered, seen)
  }

  const newest = (model: string): AnnouncedWeights | undefined => announced.get(model)?.at(-1)

  const outdatedFor = (worker: Worker, model: string, now: number): number => {
    const version = held(worker, model) ?? 0
    const firstNewer = announced.get(model)?.find(entry => entry.version > version)
    return firstNewer === undefined ? 0 : now - firstNewer.at
  }

  return {
    name,
    newest,
    models: () => [...announced.keys()],
    noteHeld,
    held,
    noteLoading: (worker, until) => { loading.set(worker, until) },
    noteLoaded: worker => { loading.delete(worker) },
    isLoading: (worker, now) => now < (loading.get(worker) ?? -Infinity),
    holdsNewest: (worker, model) => (held(worker, model) ?? 0) >= (newest(model)?.version ?? 0),
    outdatedFor,
    forget: worker => {
      observed.delete(worker)
      loading.delete(worker)
    }
  }
}
