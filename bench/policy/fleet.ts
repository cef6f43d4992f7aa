/** The workers, and what each entry gets to see of them: lagging reports, a lagging list, late cache events with gaps. */
import type { Endpoint } from '../../src/endpoints/endpointsTypes.js'
import type { CacheEffect } from '../../src/cache/cacheTypes.js'
import type { Random } from '../../src/random.js'
import type { VirtualTime } from '../../test/fakes/virtualTime.js'
import type { Deployment, Workload } from './benchTypes.js'
import type { FakeWorker } from './fakeWorker.js'
import { createFakeWorker } from './fakeWorker.js'

/** What one entry sees. */
export interface EntryView {
  readonly endpoints: Endpoint[]
  readonly suspect: (endpoint: string) => void
  readonly perform: (effect: CacheEffect) => void
}

/** Where an entry's cache events go. */
export interface EventSink {
  readonly events: (input: { kind: 'endpoint.events', endpoint: string, incarnation: string, seq: number, full: boolean, events: readonly { kind: 'stored' | 'removed', block: string }[] }) => void
}

/** The fleet of one run. */
export interface Fleet {
  readonly workers: readonly FakeWorker[]
  readonly createView: (sink: EventSink) => EntryView
  readonly crash: (worker: FakeWorker, downFor: number) => void
  /** Whether the list of members is updated. */
  platform: boolean
  eventsDelivered: number
}

const reportInterval = 500
const reportLag = { least: 200, spread: 500 }
const eventInterval = 100
const eventLag = { least: 150, spread: 450 }
const defaultFaults = { lost: 0.01, delay: 0 }
const membershipLag = 1500
const suspectTime = 1000

interface Follower {
  readonly lag: number
  readonly followed: Set<string>
  readonly view: EntryView
  readonly sink: EventSink
}

/** Creates the fleet of a deployment. */
export const createFleet = (deployment: Deployment, time: VirtualTime, random: Random, faults: NonNullable<Workload['eventFaults']> = defaultFaults): Fleet => {
  const workers = deployment.workers.map((speed, index) =>
    createFakeWorker(`worker${index}`, deployment.dataCentres[index % deployment.dataCentres.length], speed, time))
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
