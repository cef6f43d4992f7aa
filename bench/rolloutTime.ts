/**
 * Time from the last named version of weights until each worker is ordered to
 * load it, in calm and while holders of the rollout lease fail, in virtual time:
 * `npx tsx bench/rolloutTime.ts [--sizes 3,7,60] [--seeds 20]`.
 */
import { Command } from 'commander'
import { buildRolloutSystem, findFenceReversals, findTurns, reacquireAfter, type FakeInstance, type RolloutSystem } from '../test/fixtures/rolloutSystem.js'

interface Settings {
  readonly sizes: string
  readonly seeds: string
  readonly workers: string
}

type Trouble = (instance: FakeInstance) => void

const restartTime = 300
const settleTime = 5_000
const waitLimit = 20_000
const step = 5

const kill: Trouble = instance => instance.kill(restartTime)
const stop: Trouble = instance => instance.stop(1_000, restartTime)
const suspend: Trouble = instance => instance.suspend(1_600)
const cut: Trouble = instance => instance.cutFromStore(1_600)

const scenarios: Readonly<Record<string, readonly Trouble[]>> = {
  calm: [],
  killed: [kill],
  'killed twice': [kill, kill],
  'killed three times': [kill, kill, kill],
  'killed, stopped': [kill, stop],
  'stopped twice': [stop, stop],
  'killed, suspended': [kill, suspend],
  'suspended twice': [suspend, suspend],
  'cut off twice': [cut, cut]
}

const waitForHolder = ({ time, orders, holder }: RolloutSystem, seen: number): FakeInstance | undefined => {
  const end = time.now() + waitLimit
  while (time.now() < end && (orders.length === seen || holder() === undefined)) time.runUntil(time.now() + step)
  return holder()
}

/** Plays one scenario; returns the time from the last named version to the last worker's first order for it, in ms. */
const play = (system: RolloutSystem, troubles: readonly Trouble[]): number => {
  const { time, orders, workers, name } = system
  time.runUntil(settleTime)
  let version = 1
  for (const trouble of troubles) {
    const seen = orders.length
    name()
    version++
    const holder = waitForHolder(system, seen)
    time.runUntil(time.now() + 30)
    if (holder !== undefined) trouble(holder)
  }
  const named = time.now()
  name()
  version++
  const orderedWorkers = () => new Set(orders.filter(order => order.version === version).map(({ worker }) => worker)).size
  while (time.now() < named + waitLimit && orderedWorkers() < workers.length) time.runUntil(time.now() + step)
  return time.now() - named
}

const program = new Command()
  .option('--sizes <list>', 'numbers of instances', '3,7,60')
  .option('--seeds <count>', 'plays of each scenario', '20')
  .option('--workers <count>', 'number of workers', '3')
  .parse()
const { sizes, seeds, workers } = program.opts<Settings>()

console.log('| scenario | instances | median s | longest s | turns | reversals |')
console.log('|---|---|---|---|---|---|')
for (const [scenario, troubles] of Object.entries(scenarios)) {
  for (const instances of sizes.split(',').map(Number)) {
    const plays = Array.from({ length: Number(seeds) }, (_, index) => {
      const system = buildRolloutSystem({ instances, workers: Number(workers), seed: index + 1 })
      return { time: play(system, troubles), turns: findTurns(system.orders, reacquireAfter).length, reversals: findFenceReversals(system.orders).length }
    })
    const times = plays.map(({ time }) => time).sort((left, right) => left - right)
    const inSeconds = (ms: number | undefined): string => ((ms ?? 0) / 1_000).toFixed(2)
    const broken = (key: 'turns' | 'reversals'): number => plays.filter(result => result[key] > 0).length
    console.log(`| ${scenario} | ${instances} | ${inSeconds(times[times.length >> 1])} | ${inSeconds(times.at(-1))} | ${broken('turns')} | ${broken('reversals')} |`)
  }
}
