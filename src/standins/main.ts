/** Command line that runs one stand-in as a process and prints a JSON line with its kind and port. */
import { Command, InvalidArgumentError } from 'commander'
import type { LoadedModel } from '../endpoints/endpointsTypes.js'
import { loadHash } from '../hash.js'
import { createEngine } from './engine/engine.js'
import { createKvStore } from './kvStore.js'
import { createLogService } from './logService.js'
import { createMembershipList } from './membershipList.js'
import { createService } from './service.js'
import type { StandIn } from './standInServer.js'
import { createWeightStore } from './weightStore.js'

const parseWholeNumber = (text: string): number => {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('expected a non-negative integer')
  return value
}

const parseModelList = (text: string): readonly LoadedModel[] => text.split(',').map(item => {
  const match = /^([^+@\s]+)(?:\+([^+@\s]+))?@([^+@\s]+)$/.exec(item.trim())
  if (match === null) throw new InvalidArgumentError('expected a comma-separated list of model@version or model+adapter@version')
  return { model: match[1], adapter: match[2], weightVersion: match[3] }
})

const runStandIn = async (kind: string, standIn: StandIn<unknown>): Promise<void> => {
  const { port } = await standIn.listen()
  process.stdout.write(`${JSON.stringify({ kind, port })}\n`)
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => { standIn.close().then(() => process.exit(0)) })
  }
}

const program = new Command('standins')
  .description('Stand-ins for engines, services and the platform, for tests and demonstrations.')

const addCommand = (name: string, description: string): Command => program.command(name)
  .description(description)
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--port <port>', 'port to listen on; 0 selects a free port', parseWholeNumber, 0)

addCommand('engine', 'a model engine')
  .option('--id <id>', 'prefix of the incarnation', 'engine')
  .option('--models <list>', 'comma-separated list of model@version or model+adapter@version', parseModelList, parseModelList('drafter@1'))
  .option('--slots <n>', 'maximum number of concurrent requests', parseWholeNumber, 16)
  .option('--prefill-tokens-per-second <n>', 'prompt tokens computed per second', parseWholeNumber, 20_000)
  .option('--decode-time <ms>', 'time between tokens of a stream', parseWholeNumber, 10)
  .option('--cache-blocks <n>', 'capacity of the prefix cache in blocks', parseWholeNumber, 4_000)
  .option('--block-bytes <n>', 'bytes of prompt text per block', parseWholeNumber, 512)
  .option('--event-interval <ms>', 'time between batches of cache events', parseWholeNumber, 250)
  .option('--report-interval <ms>', 'time between load reports', parseWholeNumber, 250)
  .option('--resume-window <ms>', 'how long a stream without a reader continues', parseWholeNumber, 5_000)
  .option('--unfenced', 'ignore fencing tokens')
  .option('--weights-url <url>', 'URL of the weight store')
  .option('--kv-url <url>', 'URL of the KV cache store')
  .action(async ({ unfenced, ...options }) => {
    await runStandIn('engine', createEngine(await loadHash(), { ...options, fenced: unfenced !== true }))
  })

addCommand('service', 'a plain service')
  .option('--id <id>', 'prefix of the incarnation', 'service')
  .option('--run-time <ms>', 'processing time of a call', parseWholeNumber, 2)
  .action(options => runStandIn('service', createService(options)))

addCommand('log', 'the append-only log service')
  .option('--appends-per-second <n>', 'maximum rate of appends', parseWholeNumber, 600)
  .option('--keep-records <n>', 'records retained per stream', parseWholeNumber, 1_000_000)
  .option('--keep-for <ms>', 'maximum age of a retained record', parseWholeNumber, 24 * 3_600_000)
  .action(options => runStandIn('log', createLogService(options)))

addCommand('membership', 'the membership list')
  .option('--lag <ms>', 'delay before a change becomes visible', parseWholeNumber, 0)
  .action(options => runStandIn('membership', createMembershipList(options)))

addCommand('weights', 'the weight store')
  .option('--load-time <ms>', 'duration of a load at full speed', parseWholeNumber, 500)
  .option('--at-once <n>', 'concurrent loads that run at full speed', parseWholeNumber, 2)
  .action(options => runStandIn('weights', createWeightStore(options)))

addCommand('kv', 'the KV cache store')
  .option('--pieces <n>', 'maximum number of stored pieces', parseWholeNumber, 10_000)
  .action(options => runStandIn('kv', createKvStore(options)))

program.parseAsync()
