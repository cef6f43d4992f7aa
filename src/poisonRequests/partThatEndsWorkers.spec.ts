import { allowedAfter, playCrashingParts, type CrashingPart } from '../../test/fleets/crashingPartPlay.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

/** Share of sound requests that have to begin afterwards, against before, as the users state it. */
const minSoundShare = 0.5

const middle: CrashingPart = { id: 'poison', position: 1, load: 8 }

describe('a part of a prompt that ends each worker that begins to write on it', () => {
  it.each([
    ['in the middle of prompts', 7, [middle]],
    ['as their first part', 7, [{ ...middle, position: 0 }]],
    ['that was sound before', 7, [{ ...middle, arrivesFrom: 1_500 }]],
    ['beside a second one', 7, [middle, { id: 'poison2', position: 0, load: 6 }]],
    ['in the middle of prompts at many instances', 60, [middle]],
    ['as their first part that was sound before at many instances', 60, [{ ...middle, position: 0, arrivesFrom: 1_500 }]]
  ] satisfies [string, number, CrashingPart[]][])('%s reaches workers of %d instances no longer', (_where, instances, parts) => {
    const { parts: reports, soundBefore, soundAfter } = playCrashingParts({ hash, instances, parts, end: instances > 7 ? 18_000 : 22_000 })
    for (const { crashes, after } of reports) {
      expect(crashes.length).toBeGreaterThanOrEqual(3)
      expect(after).toBeLessThanOrEqual(allowedAfter)
    }
    expect(soundAfter).toBeGreaterThanOrEqual(minSoundShare * soundBefore)
  })

  it('as their first part that was sound before reaches workers no longer, with seed 35', () => {
    const { parts: [{ after }] } = playCrashingParts({ hash, instances: 7, parts: [{ ...middle, position: 0, arrivesFrom: 1_500 }], seed: 35, end: 18_000 })
    expect(after).toBeLessThanOrEqual(allowedAfter)
  })
})
