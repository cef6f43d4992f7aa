/** Time to force and bytes between peers at the letter's size, on virtual time: `npx tsx bench/config.ts`. */
import { loadHash } from '../src/hash.js'
import { runForceTrial } from '../test/matrix/configForce.js'

const changesPerSecond = 1700 / 86_400
const hash = await loadHash()

for (const [size, logAway] of [[8, 0], [80, 0.5], [320, 0], [320, 0.5], [320, 0.99]]) {
  const started = performance.now()
  const result = runForceTrial(hash, { size, seed: 5, tick: 50, publishes: 6, interval: 6000, logAway, lines: 60, rest: 20_000 })
  const total = result.restBytes + result.publishBytes * changesPerSecond
  console.log(JSON.stringify({
    size,
    logAway,
    accepted: result.accepted,
    worstDelayMs: Math.round(Math.max(...result.delays)),
    restBytesPerSecond: Math.round(result.restBytes),
    bytesPerPublish: Math.round(result.publishBytes),
    worstBytesPerPublish: Math.round(result.worstPublishBytes),
    bytesPerSecondAt1700ADay: Math.round(total),
    logReadsPerSecond: Math.round(result.reads),
    ranSeconds: Math.round((performance.now() - started) / 100) / 10
  }))
}
