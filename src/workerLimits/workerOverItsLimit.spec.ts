import { allowedInSpan, playLimitedWorker } from '../../test/fleets/limitedWorkerPlay.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

describe('a worker that states a limit', () => {
  it.each([
    [7, 0.05],
    [7, 1],
    [7, 2.3],
    [7, 8],
    [60, 1]
  ])('gets no more requests from %d instances together than %d a second', (instances, perSecond) => {
    const { most } = playLimitedWorker({ hash, instances, perSecond, load: 60, end: instances > 7 ? 10_000 : 20_000 })
    expect(most).toBeLessThanOrEqual(allowedInSpan(perSecond))
  })
})
