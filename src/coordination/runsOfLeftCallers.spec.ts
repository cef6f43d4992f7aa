// Guards against workers that end because the places of runs whose callers have left are given away while they still run.
import { allowedFalls, playBrittle, type BrittleOptions } from '../../test/fleets/brittlePlay.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

type Crowd = Pick<BrittleOptions, 'load' | 'goOn' | 'byRun'>

const third = 1 / 3
const seeds = [1, 2, 3]

const playSmall = (seed: number, crowd: Crowd) => playBrittle({ hash, instances: 7, workers: 10, leave: 0.4, seed, ...crowd })

const expectFewFalls = (crowd: Crowd): void => {
  for (const seed of seeds) {
    const { falls, wentOn } = playSmall(seed, crowd)
    expect(wentOn).toBeGreaterThan(0)
    expect(falls).toBeLessThanOrEqual(allowedFalls(10))
  }
}

/** Share of the requests of callers who stay that have to be answered whole while there is room for all of them. */
const minServedShare = 0.9

describe('brittle workers in a crowd, two fifths of whose callers leave', () => {
  it('do not end although every run goes on', () => expectFewFalls({ load: 1, goOn: 1 }))

  it('do not end although a third of them run on', () => expectFewFalls({ load: 1.3, goOn: third }))

  it('do not end although a third of the runs go on', () => expectFewFalls({ load: 1.3, goOn: third, byRun: true }))

  it('do not end before 60 instances although a third of the runs go on', () => {
    const { falls, wentOn } = playBrittle({ hash, instances: 60, workers: 30, load: 1.3, leave: 0.4, goOn: third, byRun: true })
    expect(wentOn).toBeGreaterThan(0)
    expect(falls).toBeLessThanOrEqual(allowedFalls(30))
  }, 200_000)

  it('serve the callers who stay if they drop the runs of the others', () => {
    for (const seed of seeds) {
      const { falls, stayed, whole } = playSmall(seed, { load: 1.3, goOn: 0 })
      expect(falls).toBe(0)
      expect(whole).toBeGreaterThanOrEqual(minServedShare * stayed)
    }
  })
})
