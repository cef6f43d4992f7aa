import { loadHash } from '../../src/hash.js'
import type { Hash } from '../../src/hash.js'
import { configScenario, countSteps } from './configScenario.js'
import type { Injection } from './matrixTypes.js'

let hash: Hash

beforeAll(async () => {
  hash = await loadHash()
})

describe('the configuration scenario', () => {
  it('reaches every step in a session without faults', () => {
    const counts = countSteps(hash, 1)
    expect(configScenario(hash).steps.filter(step => (counts.get(step) ?? 0) === 0)).toEqual([])
  })

  /** Regression cases that once violated the promise: because messages buffered during a pause counted as replies, because a log answer for another process was accepted, or because the checker required a version that no instance could know. */
  it.each<[number, readonly Injection[]]>([
    [1, [{ step: 'snapshotAppend', fault: 'racingPublishers' }]],
    [4, [{ step: 'publishReadBack', fault: 'crossed' }]],
    [2, [{ step: 'publishAppend', fault: 'outage' }, { step: 'followerRead', fault: 'restartEmpty' }]],
    [95865, [{ step: 'publishReadBack', fault: 'outage' }, { step: 'peerDifference', fault: 'herdRestart' }, { step: 'publishReadBack', fault: 'freeze' }]],
    [93628, [{ step: 'publishReadBack', fault: 'crossed' }, { step: 'wake', fault: 'restartEmpty' }]]
  ])('keeps its promise with seed %i and the injected faults', (seed, injections) => {
    expect(configScenario(hash).run({ injections, seed, variant: 'sound' })).toEqual([])
  })
})
