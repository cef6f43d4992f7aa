/**
 * Failure detection for workers. When a machine fails, connections to it hang,
 * and without shared suspicions every instance would have to lose requests to
 * detect that, again and again. A suspect worker gets no new requests unless all are suspect.
 * It is probed by opening a connection, apart from requests, until it is reached.
 * The suspicion is sent to the other instances, so that only one of them loses
 * time. A worker that is merely slow answers the first probe at once; its
 * suspicion is not sent, since every instance that received it would open a
 * connection that the worker has to serve.
 */
import type { Address } from '../catalog/catalogTypes.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { SuspectReason } from './forwardingTypes.js'

/** The workers that one instance suspects to be unreachable. */
export interface SuspectWorkers {
  /** Suspects a worker from `now` (ms) on and probes it; has no effect on an unknown or already suspect worker, nor for the reasons `silent`, `cut` and `peer` on one that a probe reached less than `recentlyReachedTime` ago. */
  readonly markSuspect: (worker: string, reason: SuspectReason, now: number) => void
  /** Probes a worker that is not suspect, without suspecting it; has no effect while a probe of it is under way. */
  readonly check: (worker: string) => void
  /** Whether another instance has reported that it does not reach the worker, and this one has not found that itself. */
  readonly isReportedByPeer: (worker: string) => boolean
  /** Handles the result of a probe; returns for how long, in ms, the worker has been suspect if the probe failed. */
  readonly handleProbeResult: (worker: string, reachable: boolean, now: number) => number | undefined
  /** Sends the suspicions and probes that are due at `now` (ms). */
  readonly tick: (now: number) => void
}

/** The part of the forwarding context that failure detection needs. */
export type SuspectWorkersContext = Pick<ForwardingContext, 'workers' | 'instances' | 'loadOf' | 'emit' | 'log' | 'announceSuspect'> & {
  /** Whether the instance has requests at a worker; such a worker is probed also while it is not listed. */
  readonly hasRequestsAt: (worker: string) => boolean
}

/** Time from the first failed probe of a worker to the next, in ms; doubled after each further failure. */
const initialProbeDelay = 100
/** Longest time between a failed probe and the next, in ms, in a small fleet. */
const maxProbeDelay = 800
/** The same in a large fleet, in ms for each live instance, so that a worker that starts gets no more probes the more instances there are. */
const probeDelayPerInstance = 8

/** Time within which a reachable worker answers a probe, in ms. */
const probeTimeout = 60
/** Time after an answered probe, in ms, in which neither a late response nor another instance's suspicion makes the worker suspect. */
const recentlyReachedTime = 250

/** State of one suspect worker; all times in ms. */
interface Suspicion {
  readonly since: number
  readonly reason: SuspectReason
  readonly address: Address
  /** When the other instances are informed; infinite once they have been, and for suspicions that came from them. */
  announceAt: number
  /** Time of the next probe; infinite while one is in progress. */
  nextProbeAt: number
  /** Time from the next failed probe to the one after it. */
  probeDelay: number
}

/**
 * Creates the failure detector of one instance, with no suspect worker.
 *
 * @param context - worker records, loads and outputs of the instance
 * @returns the suspect workers
 */
export const createSuspectWorkers = (context: SuspectWorkersContext): SuspectWorkers => {
  const suspicions = new Map<string, Suspicion>()
  /** Workers that are probed without being suspect. */
  const checks = new Set<string>()

  const probe = (worker: string, suspicion: Suspicion): void => {
    suspicion.nextProbeAt = Infinity
    if (context.workers.get(worker) === undefined && !context.hasRequestsAt(worker)) suspicions.delete(worker)
    else context.emit({ kind: 'worker.probe', worker, address: suspicion.address })
  }

  const announce = (worker: string, suspicion: Suspicion): void => {
    suspicion.announceAt = Infinity
    context.announceSuspect(worker)
  }

  const announceTime = (reason: SuspectReason, now: number): number => {
    switch (reason) {
      case 'unreachable':
      case 'otherWorker': return now
      case 'cut':
      case 'silent': return now + probeTimeout
      case 'peer':
      case 'reachCheck': return Infinity
    }
  }

  const wasReachedRecently = (worker: string, reason: SuspectReason, now: number): boolean =>
    (reason === 'silent' || reason === 'cut' || reason === 'peer') && now - (context.loadOf(worker).lastReachableAt ?? -Infinity) < recentlyReachedTime

  const markSuspect = (worker: string, reason: SuspectReason, now: number): void => {
    const address = context.workers.get(worker)?.address
    if (suspicions.has(worker) || address === undefined || wasReachedRecently(worker, reason, now)) return
    const suspicion: Suspicion = { since: now, reason, address, nextProbeAt: now, probeDelay: initialProbeDelay, announceAt: announceTime(reason, now) }
    suspicions.set(worker, suspicion)
    context.loadOf(worker).suspectedSince = now
    context.log({ kind: 'workerDoubted', worker, reason })
    if (now >= suspicion.announceAt) announce(worker, suspicion)
    probe(worker, suspicion)
  }

  const check = (worker: string): void => {
    const address = context.workers.get(worker)?.address
    if (address === undefined || suspicions.has(worker) || checks.has(worker)) return
    checks.add(worker)
    context.emit({ kind: 'worker.probe', worker, address })
  }

  const handleProbeResult = (worker: string, reachable: boolean, now: number): number | undefined => {
    const isChecked = checks.delete(worker)
    const suspicion = suspicions.get(worker)
    if (suspicion === undefined) {
      if (isChecked && !reachable) markSuspect(worker, 'reachCheck', now)
      return undefined
    }
    const suspectedFor = now - suspicion.since
    if (reachable) {
      suspicions.delete(worker)
      const load = context.loadOf(worker)
      load.suspectedSince = undefined
      load.lastReachableAt = now
      context.log({ kind: 'workerProbed', worker, reachable, doubted: Math.round(suspectedFor) })
      return undefined
    }
    if (Number.isFinite(suspicion.announceAt)) announce(worker, suspicion)
    suspicion.nextProbeAt = now + suspicion.probeDelay
    suspicion.probeDelay = Math.min(Math.max(maxProbeDelay, probeDelayPerInstance * context.instances()), suspicion.probeDelay * 2)
    return suspectedFor
  }

  const tick = (now: number): void => {
    for (const [worker, suspicion] of suspicions) {
      if (now >= suspicion.announceAt) announce(worker, suspicion)
      if (now >= suspicion.nextProbeAt) probe(worker, suspicion)
    }
  }

  return { markSuspect, check, isReportedByPeer: worker => suspicions.get(worker)?.reason === 'peer', handleProbeResult, tick }
}
