/** Guards against an instance that answers a relayed request without end, and takes the memory of the one that passed it on. */
import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildRoute } from '../../test/fixtures/forwarding.js'
import { loadHash, type Hash } from '../hash.js'
import type { Route } from '../catalog/catalogTypes.js'

type Fake = ReturnType<typeof createFakeForwarding>

const mebibyte = 1_048_576
const part = 'x'.repeat(65_536)

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const build = (overrides: Partial<Route>): Fake => createFakeForwarding({
  hash,
  catalog: buildCatalog({ routes: [buildRoute({ timeout: 60_000, ...overrides })] }),
  workers: [],
  relayPeers: [{ id: 'i1', front: { host: '10.0.0.2', port: 80 } }]
})

const relaysOf = (fake: Fake): readonly number[] => fake.effects.flatMap(effect => effect.kind === 'relay.send' ? [effect.attempt] : [])

/** Sends up to `size` bytes of an answer; ends early once the relay is given up. Returns the number of bytes sent. */
const sendBytes = (fake: Fake, relay: number, size: number): number => {
  let sent = 0
  for (; sent < size && !fake.cancelled().includes(relay); sent += part.length) fake.data(relay, part, 20)
  return sent
}

describe('an answer without end of another instance', () => {
  it('is given up, and its caller is told that the request may have run', () => {
    const fake = build({ kind: 'once', maxWorkers: 1 })
    const request = fake.arrive(buildCall(), 0)
    const [relay] = relaysOf(fake)
    fake.head(relay, {}, 10)
    expect(sendBytes(fake, relay, 64 * mebibyte)).toBeLessThanOrEqual(9 * mebibyte)
    expect(fake.callerView(request)).toMatchObject({ status: 502, state: 'whole' })
    expect(fake.callerView(request)?.text).toContain('unknown')
  })

  it('in one event is given up', () => {
    const fake = build({ kind: 'stream', resumable: false })
    fake.arrive(buildCall(), 0)
    const [relay] = relaysOf(fake)
    fake.head(relay, {}, 10)
    fake.data(relay, 'id: 1\ndata: ', 15)
    expect(sendBytes(fake, relay, 64 * mebibyte)).toBeLessThanOrEqual(2 * mebibyte)
  })

  it('counts against the same bound as those of workers, and gives its part back when it ends', () => {
    const fake = build({ kind: 'once', maxWorkers: 1 })
    for (let count = 0; count < 40; count++) {
      const request = fake.arrive(buildCall({ id: `call-${count}` }), count)
      const relay = relaysOf(fake)[count]
      fake.head(relay, {}, count)
      sendBytes(fake, relay, 2 * mebibyte)
      if (count % 3 === 0) fake.end(relay, count)
      else if (count % 3 === 1) fake.fail(relay, 'cut', count)
      else fake.leave(request, count)
    }
    expect(fake.logEvents.filter(event => event.kind === 'relayFailed')).toHaveLength(13)
    const requests = Array.from({ length: 10 }, (_, index) => {
      fake.arrive(buildCall({ id: `at-once-${index}` }), 50)
      const relay = relaysOf(fake)[40 + index]
      fake.head(relay, {}, 50)
      sendBytes(fake, relay, 2 * mebibyte)
      return relay
    })
    expect(requests.filter(relay => fake.cancelled().includes(relay)).length).toBeGreaterThanOrEqual(2)
  })
})
