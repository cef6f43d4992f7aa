import { buildRolloutSystem, findFenceReversals, findTurns, reacquireAfter, type RolloutSystem } from '../../test/fixtures/rolloutSystem.js'
import { cut, kill, killAndRestore, nextHolder, playRandomly, playSeries, restartTime, roundTime, settleTime, stop, stopFast, suspend, type Trouble } from '../../test/fixtures/rolloutTroubles.js'

/** Plays a series of troubles several times over. */
const play = (instances: number, seed: number, troubles: readonly Trouble[], rounds = 4): RolloutSystem => {
  const system = buildRolloutSystem({ instances, workers: 3, seed })
  const { time, name } = system
  time.runUntil(settleTime)
  for (let round = 0; round < rounds; round++) {
    playSeries(system, troubles)
    name()
    time.runUntil(time.now() + roundTime)
  }
  return system
}

const loadedBy = ({ workers, time }: RolloutSystem): readonly number[] => workers.map(({ version }) => version(time.now()))

const series: readonly (readonly [string, readonly Trouble[]])[] = [
  ['the holder and its successor are killed', [kill, kill]],
  ['the holder is killed and its successor is stopped', [kill, stop]],
  ['the holder and its successor are stopped', [stop, stop]],
  ['the holder and its successor leave fast', [stopFast, stopFast]],
  ['the holder is killed and its successor is suspended', [kill, suspend]],
  ['the holder and its successor are suspended', [suspend, suspend]],
  ['the holder is suspended and its successor is killed', [suspend, kill]],
  ['the holder is cut off from the store and its successor is killed', [cut, kill]],
  ['three holders are killed one after the other', [kill, kill, kill]],
  ['the holder and its successor are killed and the store loses their claims', [kill, killAndRestore]],
  ['the store loses the claims of each holder that is killed', [killAndRestore, killAndRestore]]
]

// Guards against review/13: orders of two instances alternated at a worker within `leaseMs`, as a former holder acquired the lease anew.
describe('orders of two instances do not alternate at a worker', () => {
  it.each(series)('as %s', (_name, troubles) => {
    for (const instances of [2, 3, 7, 24]) {
      for (let seed = 1; seed <= 4; seed++) {
        const system = play(instances, seed, troubles)
        expect({ instances, seed, turns: findTurns(system.orders, reacquireAfter) }).toEqual({ instances, seed, turns: [] })
        expect(findFenceReversals(system.orders)).toEqual([])
        expect(new Set(loadedBy(system)).size).toBe(1)
      }
    }
  })
})

describe('orders in a random series of troubles', () => {
  const cases = [2, 3, 7, 24].flatMap(instances => [5, 150].map(maxOrderDelay => ({ instances, maxOrderDelay })))

  it.each(cases)('do not alternate, and their fencing tokens rise, with $instances instances and up to $maxOrderDelay ms for an order', ({ instances, maxOrderDelay }) => {
    for (let seed = 1; seed <= 12; seed++) {
      const { orders } = playRandomly({ instances, workers: 3, seed, maxOrderDelay })
      expect({ seed, turns: findTurns(orders, reacquireAfter) }).toEqual({ seed, turns: [] })
      expect({ seed, reversals: findFenceReversals(orders) }).toEqual({ seed, reversals: [] })
    }
  })
})

describe('an instance that has given no orders lately', () => {
  const takeoverLimit = 2_000

  const eventsOf = ({ events }: RolloutSystem, from: number) => events.filter(({ at }) => at >= from).map(({ event }) => event)

  it('takes the lease over at once from holders that wait for their own orders', () => {
    const system = play(7, 1, [kill], 0)
    const { time, orders, name } = system
    for (let kills = 0; kills < 3; kills++) {
      const seen = orders.length
      name()
      const from = time.now()
      const holder = nextHolder(system, seen, 5_000)
      expect(time.now() - from).toBeLessThan(takeoverLimit)
      holder?.kill(restartTime)
    }
    expect(new Set(orders.map(({ holder }) => holder)).size).toBe(3)
  })

  it('does not wait for a lease that it held itself last, before and after a restart', () => {
    const system = buildRolloutSystem({ instances: 1, workers: 3, seed: 1 })
    const { time, orders, name } = system
    time.runUntil(settleTime)
    name()
    const holder = nextHolder(system, 0, 5_000)
    holder?.kill(restartTime)
    const from = time.now()
    const seen = orders.length
    expect(nextHolder(system, seen, 5_000)).toBe(holder)
    expect(time.now() - from).toBeLessThan(takeoverLimit)
    expect(eventsOf(system, from)).not.toContainEqual(expect.objectContaining({ kind: 'leaseLeft' }))
  })

  it('says that it leaves the lease to others, and for how long', () => {
    const system = play(2, 1, [kill, kill], 1)
    const left = system.events.flatMap(({ event }) => event.kind === 'leaseLeft' ? [event] : [])
    expect(left.length).toBeGreaterThan(0)
    for (const { wait } of left) expect(wait).toBeLessThanOrEqual(reacquireAfter + 200)
  })
})
