/**
 * Which software versions the workers of each service have run lately. While a
 * service has run only one version for so long, every stream that can still be
 * resumed began on it; otherwise each stream has to be looked up.
 */
import type { Moment } from '../lease/readLease.js'
import type { Worker } from '../workers/workersTypes.js'

/** The part of a worker that the history uses. */
export type VersionedWorker = Pick<Worker, 'service' | 'softwareVersion' | 'startedAt'>

/** What an instance knows of the versions of a service. */
export interface VersionSummary {
  /** Versions that workers have run within `versionMemory`; an empty text stands for workers without one. */
  readonly versions: readonly string[]
  /** Whether no other version can have been in use within that time. */
  readonly complete: boolean
}

/** The versions of all services at one instance; `now` in ms. */
export interface VersionHistory {
  /** Records all workers that are known now; returns the services that have begun to run several versions. */
  readonly observe: (workers: Iterable<VersionedWorker>, now: Moment) => readonly string[]
  /** Records a version that a worker of a service runs; returns whether the service has thereby begun to run several. */
  readonly note: (service: string, version: string, now: number) => boolean
  /** The versions that this instance has seen; complete if it has watched the service for `versionMemory`. */
  readonly summary: (service: string, now: number) => VersionSummary
  /** Whether all present workers started so long ago that none of them can have replaced one of another version lately. One of another version may still have left. */
  readonly areWorkersOld: (service: string, now: number) => boolean
  /** The services that have run several versions lately. */
  readonly mixed: (now: number) => readonly (VersionSummary & { readonly service: string })[]
  /** Whether the instance has started so recently that it may have to learn from others what was before. */
  readonly isYoung: (now: number) => boolean
  /** Time since the first observation, in ms. */
  readonly watchedFor: (now: number) => number
  /** Whether other instances may need to be told on which version a stream of the service began. */
  readonly needsSharing: (service: string, now: number) => boolean
}

/** Time for which a version counts after its last worker has gone, in ms: a caller that has had no event for so long has left. */
export const versionMemory = 20_000
/** Time for which an instance shares its streams after it started, in ms; longer than `versionMemory`, as others may have started later. */
const sharingTime = 30_000
/** Time without an observation after which a history begins anew, in ms: an instance that was frozen has not seen the versions that ran meanwhile. */
const maxObservationGap = 2_000

/** Creates an empty history. */
export const createVersionHistory = (): VersionHistory => {
  const seenAt = new Map<string, Map<string, number>>()
  /** Latest start of a present worker, in Unix ms, by service; infinite if one does not report it. */
  let lastStarts = new Map<string, number>()
  let startedAt: number | undefined
  let observedAt = -Infinity
  /** Since when the workers of a service are watched without a gap, in ms. */
  const watchedSince = new Map<string, number>()
  /** Difference of the time of day and the steady clock, in ms. */
  let wallOffset = 0

  const versionsOf = (service: string, now: number): readonly string[] =>
    [...seenAt.get(service) ?? []].filter(([, at]) => now - at < versionMemory).map(([version]) => version)

  const note = (service: string, version: string, now: number): boolean => {
    const versions = seenAt.get(service) ?? new Map<string, number>()
    seenAt.set(service, versions)
    const last = versions.get(version) ?? -Infinity
    versions.set(version, now)
    return now - last >= versionMemory && versionsOf(service, now).length > 1
  }

  const observe = (workers: Iterable<VersionedWorker>, now: Moment): readonly string[] => {
    startedAt ??= now.steady
    if (now.steady - observedAt > maxObservationGap) watchedSince.clear()
    observedAt = now.steady
    wallOffset = now.wall - now.steady
    lastStarts = new Map()
    const mixed = new Set<string>()
    for (const worker of workers) {
      const { service, softwareVersion = '' } = worker
      if (!watchedSince.has(service)) watchedSince.set(service, now.steady)
      lastStarts.set(service, Math.max(lastStarts.get(service) ?? 0, worker.startedAt > 0 ? worker.startedAt : Infinity))
      if (note(service, softwareVersion, now.steady)) mixed.add(service)
    }
    return [...mixed]
  }

  const watchedFor = (now: number): number => startedAt === undefined ? 0 : now - startedAt

  const isYoung = (now: number): boolean => watchedFor(now) < sharingTime

  const areWorkersOld = (service: string, now: number): boolean =>
    now + wallOffset - (lastStarts.get(service) ?? Infinity) >= versionMemory

  const summary = (service: string, now: number): VersionSummary =>
    ({ versions: versionsOf(service, now), complete: now - (watchedSince.get(service) ?? Infinity) >= versionMemory })

  return {
    observe,
    note,
    summary,
    areWorkersOld,
    mixed: now => [...seenAt.keys()].map(service => ({ service, ...summary(service, now) })).filter(({ versions }) => versions.length > 1),
    isYoung,
    watchedFor,
    needsSharing: (service, now) => isYoung(now) || versionsOf(service, now).length > 1
  }
}
