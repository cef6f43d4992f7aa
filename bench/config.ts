/**
 * Measures the cost of an idle configuration tick and, in virtual time at fleet
 * sizes up to the design size, how long a publish takes to be in force
 * everywhere and how many bytes go between peers: `npx tsx bench/config.ts`.
 */
import { createConfig } from '../src/config/configMachine.js'
import { loadHash } from '../src/hash.js'
import { createRandom } from '../src/random.js'
import { runPropagationTrial } from '../test/matrix/configPropagation.js'

/** Publishes per second at the design rate of 1,700 a day. */
const changesPerSecond = 1700 / 86_400
const tickCount = 500_000
const hash = await loadHash()

/** Measures the mean time of a tick without changes, polls of an empty log included, in microseconds. */
const measureIdleTick = (): number => {
  const config = createConfig({ self: 'n0', hash, random: createRandom(1), retention: 24 * 3_600_000 })
  config.handle({ kind: 'config.peers', peers: Array.from({ length: 320 }, (_, index) => `n${index}`) }, 0)
  const started = performance.now()
  for (let tick = 1; tick <= tickCount; tick++) {
    for (const effect of config.handle({ kind: 'tick' }, tick * 50)) {
      if (effect.kind === 'log.read') config.handle({ kind: 'log.records', owner: 'config', token: effect.token, stream: 'config', records: [], first: 0, end: 0 }, tick * 50)
    }
  }
  return Math.round((performance.now() - started) * 1e6 / tickCount) / 1000
}

console.log(JSON.stringify({ idleTickUs: measureIdleTick() }))

for (const [size, logAway, loss] of [[8, 0, 0], [80, 0.5, 0], [320, 0, 0], [320, 0.5, 0], [320, 0.99, 0], [320, 0.5, 0.2]]) {
  const started = performance.now()
  const result = runPropagationTrial(hash, { size, seed: 5, tick: 50, publishes: 6, interval: 6000, logAway, loss, lines: 60, rest: 20_000 })
  const total = result.restBytes + result.publishBytes * changesPerSecond
  console.log(JSON.stringify({
    size,
    logAway,
    loss,
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
