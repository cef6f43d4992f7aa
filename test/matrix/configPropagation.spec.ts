import { loadHash } from '../../src/hash.js'
import { runPropagationTrial } from './configPropagation.js'

/** Maximum time until a version is active on every instance, in ms, from the requirements. */
const propagationBound = 4000
/** Maximum traffic of an instance, in bytes per second, from the requirements. */
const bytesBound = 23_000
/** 1700 changes a day. */
const changesPerSecond = 1700 / 86_400

describe('a fleet of 320 instances', () => {
  it('activates every publish everywhere within 4 s while half of it cannot reach the log and a tenth of the messages is lost', async () => {
    const result = runPropagationTrial(await loadHash(), { size: 320, seed: 5, tick: 100, publishes: 3, interval: 5000, logAway: 0.5, loss: 0.1, lines: 60, rest: 3000 })
    expect(result.accepted).toBe(3)
    expect(result.delays).toHaveLength(3)
    expect(Math.max(...result.delays)).toBeLessThan(propagationBound)
    expect(result.restBytes + result.publishBytes * changesPerSecond).toBeLessThan(bytesBound)
    expect(result.restBytes + result.worstPublishBytes / (propagationBound / 1000)).toBeLessThan(bytesBound)
  })
})
