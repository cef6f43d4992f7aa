import { loadHash } from '../../src/hash.js'
import { runPropagationTrial } from './configPropagation.js'

/** The letter's bounds. */
const forceBound = 4000
const bytesBound = 23_000
const changesPerSecond = 1700 / 86_400

describe('a fleet of 320 instances', () => {
  it('has every publish in force within 4 s while the log is away for half of it and a tenth of the messages is lost', async () => {
    const result = runPropagationTrial(await loadHash(), { size: 320, seed: 5, tick: 100, publishes: 3, interval: 5000, logAway: 0.5, loss: 0.1, lines: 60, rest: 3000 })
    expect(result.accepted).toBe(3)
    expect(result.delays).toHaveLength(3)
    expect(Math.max(...result.delays)).toBeLessThan(forceBound)
    expect(result.restBytes + result.publishBytes * changesPerSecond).toBeLessThan(bytesBound)
    expect(result.restBytes + result.worstPublishBytes / (forceBound / 1000)).toBeLessThan(bytesBound)
  })
})
