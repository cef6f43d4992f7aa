// Guards against a stream that goes on at another software version because the instance that takes it up was cut off or stood still while that version appeared.
import { createFakeGateways, type FakeCall, type FakeGateways } from '../../test/fakes/fakeGateways.js'
import { buildVersioned } from '../../test/fleets/resumedStreamsPlay.js'
import { buildCall, buildCatalog } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import { versionMemory } from './versionHistory.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

// Times in ms; the instances have watched the service for long when the first one falls out of step.
const outFrom = versionMemory + 5_000
const joinAt = outFrom + 300
const instances = 7
const streamInterval = 25
const streamEvents = 40
const resumeDelay = 5

type Disturbance = (fleet: FakeGateways, duration: number) => void

/** Cuts some instances off from the others, and from the store unless it is `reachable`. */
const cutOff = (cut: readonly string[], reachable: boolean): Disturbance => (fleet, duration) => {
  fleet.network.intercept(({ from, to }) => cut.includes(from) !== cut.includes(to) ? 'drop' : 'deliver')
  if (!reachable) for (const id of cut) fleet.setStoreReachable(id, false)
  fleet.time.after(duration, () => {
    fleet.network.intercept(() => 'deliver')
    for (const id of cut) fleet.setStoreReachable(id, true)
  })
}

const cutFromStore: Disturbance = (fleet, duration) => {
  fleet.setStoreReachable('n0', false)
  fleet.time.after(duration, () => fleet.setStoreReachable('n0', true))
}

const freeze: Disturbance = (fleet, duration) => fleet.freeze('n0', duration)

const versionOf = (worker: string): string => worker.startsWith('new') ? '2' : '1'

/** Plays streams at the other instances that break and are taken up at `n0` while it is out of step and until two seconds later. */
const play = (disturb: Disturbance, duration: number): { readonly taken: number, readonly mixed: number } => {
  const fleet = createFakeGateways({
    hash,
    instances,
    catalog: buildCatalog(),
    wallOffset: 1_000_000,
    streamEvents,
    workers: ['old1', 'old2', 'old3'].map(id => buildVersioned(id, '1'))
  })
  const streams: { readonly first: FakeCall, readonly second: FakeCall }[] = []
  const takeUp = (first: FakeCall): void => {
    const last = first.events.at(-1)
    if (first.state !== 'open' || last === undefined) return
    fleet.hangUp(first)
    fleet.time.after(resumeDelay, () => {
      streams.push({ first, second: fleet.send('n0', { ...first.call, id: `${first.call.id}r`, resumeAfter: last.id, resumes: first.call.id }) })
    })
  }
  const begin = (count: number): void => {
    if (fleet.time.now() >= outFrom + duration + 2_000) return
    const call = fleet.send(`n${2 + count % (instances - 2)}`, buildCall({ id: `c${count}`, host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 300, maxOutputTokens: 50, parts: [] } }))
    fleet.time.after(300 + 7 * (count % 100), () => takeUp(call))
    fleet.time.after(streamInterval, () => begin(count + 1))
  }
  fleet.time.at(outFrom, () => disturb(fleet, duration))
  fleet.time.at(joinAt, () => { for (const id of ['new1', 'new2', 'new3']) fleet.register({ ...buildVersioned(id, '2'), startedAt: 1_000_000 + joinAt }) })
  fleet.time.at(joinAt, () => begin(1))
  fleet.time.runUntil(outFrom + duration + 5_000)
  const resumed = streams.filter(({ second }) => second.events.length > 0)
  const mixed = resumed.filter(({ first, second }) => new Set([...first.events, ...second.events].map(({ worker }) => versionOf(worker))).size > 1)
  return { taken: resumed.length, mixed: mixed.length }
}

describe('an instance that was out of step while a new software version appeared', () => {
  it.each<[string, Disturbance]>([
    ['cut off from the others', cutOff(['n0'], true)],
    ['cut off from the others and the store', cutOff(['n0'], false)],
    ['cut off with another one', cutOff(['n0', 'n1'], false)],
    ['cut off from the store', cutFromStore],
    ['standing still', freeze]
  ])('lets no stream go on at another version, %s', (_name, disturb) => {
    for (const duration of [1_500, 3_000, 6_000]) {
      const { taken, mixed } = play(disturb, duration)
      expect(mixed).toBe(0)
      expect(taken).toBeGreaterThan(0)
    }
  })
})
