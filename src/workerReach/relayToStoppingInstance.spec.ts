/** Guards against refusals to callers of an instance without workers because the instance that took their requests shuts down. */
import { createFakeGateways, type FakeCall } from '../../test/fakes/fakeGateways.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

// Times in ms.
const cutFrom = 3_000
const leftAt = 7_000
const end = 10_000

describe('a request that is passed on to an instance that shuts down', () => {
  it('goes to a further instance, as it has not run', () => {
    const fleet = createFakeGateways({
      hash,
      instances: 5,
      catalog: buildCatalog({ routes: [buildRoute({ kind: 'once', timeout: 15_000, objective: 1_000 })] }),
      workers: ['w1', 'w2', 'w3', 'w4'].map(id => buildWorker(id, { slots: 24 }))
    })
    const calls: (readonly [number, FakeCall])[] = []
    const sendNext = (number: number): void => {
      const id = `c${number}`
      calls.push([fleet.time.now(), fleet.send('n0', buildCall({ id, body: Buffer.from(id) }))])
      fleet.time.after(150, () => sendNext(number + 1))
    }
    fleet.time.at(1_500, () => sendNext(1))
    fleet.time.at(cutFrom, () => fleet.cutLinks(['n0'], { mode: 'refused' }))
    for (const instance of ['n1', 'n2']) fleet.time.at(leftAt, () => fleet.leave(instance))
    fleet.time.runUntil(end)
    const before = calls.filter(([at]) => at > leftAt - 1_500 && at < leftAt - 100)
    const late = calls.filter(([at]) => at >= leftAt && at < end - 500)
    expect(before.filter(([, { status }]) => status !== 200)).toEqual([])
    expect(late.filter(([, { status }]) => status !== 200).map(([at, { call, status }]) => ({ at: at - leftAt, id: call.id, status }))).toEqual([])
  })
})
