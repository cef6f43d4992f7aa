/**
 * Time from the last named version of weights until each worker is ordered to
 * load it, in calm and while holders of the rollout lease fail, in virtual time:
 * `npx tsx bench/rolloutTime.ts [--sizes 3,7,60] [--seeds 20] [--random]`.
 */
import { Command } from 'commander'
import { buildRolloutSystem, findFenceReversals, findTurns, reacquireAfter, type RolloutSystem } from '../test/fixtures/rolloutSystem.js'
import { cut, kill, playRandomly, playSeries, settleTime, stop, suspend, type Trouble } from '../test/fixtures/rolloutTroubles.js'

interface Settings {
  readonly sizes: string
  readonly seeds: string
  readonly workers: string
  readonly random?: boolean
}

const waitLimit = 20_000
const step = 5

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

/** Plays one scenario; returns the time from the last named version to the last worker's first order for it, in ms. */
const play = (system: RolloutSystem, troubles: readonly Trouble[]): number => {
  const { time, orders, workers, name } = system
  time.runUntil(settleTime)
  playSeries(system, troubles)
  const version = troubles.length + 2
  const named = time.now()
  name()
  const orderedWorkers = () => new Set(orders.filter(order => order.version === version).map(({ worker }) => worker)).size
  while (time.now() < named + waitLimit && orderedWorkers() < workers.length) time.runUntil(time.now() + step)
  return time.now() - named
}

const program = new Command()
  .option('--sizes <list>', 'numbers of instances', '3,7,60')
  .option('--seeds <count>', 'plays of each scenario', '20')
  .option('--workers <count>', 'number of workers', '3')
  .option('--random', 'plays random series of troubles in place of the scenarios, and counts those with a fault')
  .parse()
const settings = program.opts<Settings>()
const sizes = settings.sizes.split(',').map(Number)
const seeds = Array.from({ length: Number(settings.seeds) }, (_, index) => index + 1)
const workers = Number(settings.workers)
const orderDelays = [5, 150]

const faultsOf = ({ orders }: RolloutSystem): { readonly turns: number, readonly reversals: number } =>
  ({ turns: findTurns(orders, reacquireAfter).length, reversals: findFenceReversals(orders).length })

const countSeries = (): void => {
  console.log('| instances | orders take ms | series | with turns | with reversals | orders | seeds with a fault |')
  console.log('|---|---|---|---|---|---|---|')
  for (const instances of sizes) {
    for (const maxOrderDelay of orderDelays) {
      const plays = seeds.map(seed => {
        const system = playRandomly({ instances, workers, seed, maxOrderDelay })
        return { seed, orders: system.orders.length, ...faultsOf(system) }
      })
      const faulty = plays.filter(({ turns, reversals }) => turns + reversals > 0).map(({ seed }) => seed)
      const orders = plays.reduce((sum, play) => sum + play.orders, 0)
      console.log(`| ${instances} | ${maxOrderDelay} | ${plays.length} | ${plays.filter(({ turns }) => turns > 0).length} | ${plays.filter(({ reversals }) => reversals > 0).length} | ${orders} | ${faulty.slice(0, 5).join(' ')} |`)
    }
  }
}

const inSeconds = (ms: number | undefined): string => ((ms ?? 0) / 1_000).toFixed(2)

const timeScenarios = (): void => {
  console.log('| scenario | instances | median s | longest s | turns | reversals |')
  console.log('|---|---|---|---|---|---|')
  for (const [scenario, troubles] of Object.entries(scenarios)) {
    for (const instances of sizes) {
      const plays = seeds.map(seed => {
        const system = buildRolloutSystem({ instances, workers, seed })
        return { time: play(system, troubles), ...faultsOf(system) }
      })
      const times = plays.map(({ time }) => time).sort((left, right) => left - right)
      console.log(`| ${scenario} | ${instances} | ${inSeconds(times[times.length >> 1])} | ${inSeconds(times.at(-1))} | ${plays.filter(({ turns }) => turns > 0).length} | ${plays.filter(({ reversals }) => reversals > 0).length} |`)
    }
  }
}

if (settings.random === true) countSeries()
else timeScenarios()
