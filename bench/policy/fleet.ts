/** The workers of a run and each entry instance's view of them: delayed load reports, a delayed membership list, and cache events that are delayed and partly lost. */
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { CacheEffect } from '../../src/cache/cacheTypes.js'
import type { Random } from '../../src/random.js'
import type { VirtualTime } from '../../test/fakes/virtualTime.js'
import type { Deployment, Workload } from './benchTypes.js'
import type { FakeWorker } from './fakeWorker.js'
import { createFakeWorker } from './fakeWorker.js'

/** The view that one entry instance has of the workers. */
export interface EntryView {
  readonly endpoints: Endpoint[]
  /** Marks an endpoint as suspect for `suspectTime`. */
  readonly suspect: (endpoint: string) => void
  readonly perform: (effect: CacheEffect) => void
}

/** Receiver of an entry instance's cache events. */
export interface EventSink {
  readonly events: (input: { kind: 'endpoint.events', endpoint: string, incarnation: string, seq: number, full: boolean, events: readonly { kind: 'stored' | 'removed', block: string }[] }) => void
}

/** The workers of one run and the views of them. */
export interface Fleet {
  readonly workers: readonly FakeWorker[]
  readonly createView: (sink: EventSink) => EntryView
  /** Crashes a worker and restarts it after `downFor` ms. */
  readonly crash: (worker: FakeWorker, downFor: number) => void
  /** Whether the membership list is updated; false during an outage of the platform. */
  platform: boolean
  /** Number of cache events sent to entry instances so far. */
  eventsDelivered: number
}

/** Interval of load reports of each worker, in ms. */
const reportInterval = 500
/** Delay of a load report, in ms: at least `least`, plus a random part below `spread`. */
const reportLag = { least: 200, spread: 500 }
/** Interval of cache event batches of each worker, in ms. */
const eventInterval = 100
/** Delay of cache events to an entry instance, in ms: at least `least`, plus a random part below `spread`. */
const eventLag = { least: 150, spread: 450 }
/** Faults of cache events where the workload gives none. */
const defaultFaults = { lost: 0.01, delay: 0 }
/** Delay of a change of the membership list, in ms. */
const membershipLag = 1500
/** Time that an endpoint stays suspect after a failed attempt, in ms. */
const suspectTime = 1000

/** Subscription of an entry instance to cache events; `lag` is in ms. */
interface Follower {
  readonly lag: number
  readonly followed: Set<string>
  readonly view: EntryView
  readonly sink: EventSink
}

/**
 * Creates the workers of a deployment and starts their reports and cache events.
 *
 * @param faults - lost and delayed cache events
 */
export const createFleet = (deployment: Deployment, time: VirtualTime, random: Random, faults: NonNullable<Workload['eventFaults']> = defaultFaults): Fleet => {
  const workers = deployment.workers.map((profile, index) =>
    createFakeWorker(`worker${index}`, deployment.dataCentres[index % deployment.dataCentres.length], profile, time))
  const sequences = new Map<string, number>()
  const followers: Follower[] = []

  const endpointOf = (worker: FakeWorker): Endpoint => ({
    id: worker.id,
    kind: 'worker',
    address: { host: '127.0.0.1', port: 1 },
    dataCentre: worker.dataCentre,
    incarnation: worker.incarnation(),
    state: worker.up() ? 'live' : 'gone',
    fenced: true,
    models: [{ model: 'm', weightVersion: '1' }],
    slots: worker.profile.slots,
    since: time.now() === 0 ? 0 : time.now()
  })

  const updateEndpoint = (view: EntryView, id: string, changes: Partial<Endpoint>): void => {
    const index = view.endpoints.findIndex(endpoint => endpoint.id === id)
    if (index >= 0) view.endpoints[index] = { ...view.endpoints[index], ...changes }
  }

  const deliverReport = (worker: FakeWorker): void => {
    const { running, waiting, waitingTokens } = worker.report()
    const incarnation = worker.incarnation()
    for (const { view } of followers) {
      time.after(reportLag.least + random.below(reportLag.spread), () => {
        const known = view.endpoints.find(endpoint => endpoint.id === worker.id)
        const restarted = known?.incarnation !== incarnation ? { incarnation, state: 'live' as const, since: time.now() } : {}
        if (worker.incarnation() !== incarnation) return
        updateEndpoint(view, worker.id, { ...restarted, report: { at: time.now(), incarnation, running, waiting, waitingTokens } })
      })
    }
  }

  const deliverEvents = (worker: FakeWorker): void => {
    const events = worker.takeEvents()
    if (events.length === 0) return
    const seq = (sequences.get(worker.id) ?? 0) + 1
    sequences.set(worker.id, seq)
    const incarnation = worker.incarnation()
    for (const { followed, lag, sink } of followers) {
      if (!followed.has(worker.id) || random.unit() < faults.lost) continue
      fleet.eventsDelivered += events.length
      time.after(lag, () => sink.events({ kind: 'endpoint.events', endpoint: worker.id, incarnation, seq, full: false, events }))
    }
  }

  /** Sends the current cache contents of a worker as a full batch, which starts the subscription. */
  const sendSnapshot = (follower: Follower, id: string): void => {
    const worker = workers.find(candidate => candidate.id === id)
    if (worker === undefined || !worker.up()) return
    deliverEvents(worker)
    const events = worker.listing()
    const [seq, incarnation] = [sequences.get(id) ?? 0, worker.incarnation()]
    fleet.eventsDelivered += events.length
    time.after(follower.lag, () => follower.sink.events({ kind: 'endpoint.events', endpoint: id, incarnation, seq, full: true, events }))
  }

  const createView = (sink: EventSink): EntryView => {
    const followed = new Set<string>()
    const view: EntryView = {
      endpoints: workers.map(endpointOf),
      suspect: id => {
        updateEndpoint(view, id, { state: 'suspect' })
        time.after(suspectTime, () => {
          const known = view.endpoints.find(endpoint => endpoint.id === id)
          if (known?.state === 'suspect') updateEndpoint(view, id, { state: 'live' })
        })
      },
      perform: effect => {
        if (effect.kind === 'endpoint.unfollow') followed.delete(effect.endpoint)
        else {
          followed.add(effect.endpoint)
          sendSnapshot(follower, effect.endpoint)
        }
      }
    }
    const follower: Follower = { lag: faults.delay + eventLag.least + random.below(eventLag.spread), followed, view, sink }
    followers.push(follower)
    return view
  }

  /** Updates the membership list with a worker's state, unless the platform is out. */
  const publishState = (worker: FakeWorker): void => {
    if (!fleet.platform) return
    const endpoint = endpointOf(worker)
    time.after(membershipLag, () => {
      for (const { view } of followers) {
        if (worker.incarnation() !== endpoint.incarnation && endpoint.state === 'live') continue
        updateEndpoint(view, worker.id, { incarnation: endpoint.incarnation, state: endpoint.state, since: time.now(), report: undefined })
      }
    })
  }

  const crash = (worker: FakeWorker, downFor: number): void => {
    worker.crash()
    sequences.set(worker.id, 0)
    publishState(worker)
    time.after(downFor, () => {
      worker.restart()
      publishState(worker)
    })
  }

  /** Runs an action at an interval for each worker that is up, spread evenly over the interval. */
  const repeatPerWorker = (interval: number, action: (worker: FakeWorker) => void): void => {
    workers.forEach((worker, index) => {
      const run = (): void => {
        if (worker.up()) action(worker)
        time.after(interval, run)
      }
      time.at(index * interval / workers.length, run)
    })
  }
  repeatPerWorker(reportInterval, deliverReport)
  repeatPerWorker(eventInterval, deliverEvents)

  const fleet: Fleet = { workers, createView, crash, platform: true, eventsDelivered: 0 }
  return fleet
}
