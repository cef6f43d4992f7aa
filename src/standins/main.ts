/** Runs one stand-in as a process of its own; prints a JSON line with its port. */
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

const wholeNumber = (text: string): number => {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 0) throw new InvalidArgumentError('a whole number is needed')
  return value
}

const modelList = (text: string): readonly LoadedModel[] => text.split(',').map(item => {
  const match = /^([^+@\s]+)(?:\+([^+@\s]+))?@([^+@\s]+)$/.exec(item.trim())
  if (match === null) throw new InvalidArgumentError('models are written model@version or model+adapter@version, with commas between')
  return { model: match[1], adapter: match[2], weightVersion: match[3] }
})

const run = async (kind: string, standIn: StandIn<unknown>): Promise<void> => {
  const { port } = await standIn.listen()
  process.stdout.write(`${JSON.stringify({ kind, port })}\n`)
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => { standIn.close().then(() => process.exit(0)) })
  }
}

const program = new Command('standins')
  .description('Small stand-ins for engines, services and the platform, for tests and demonstrations.')

const add = (name: string, description: string): Command => program.command(name)
  .description(description)
  .option('--host <address>', 'address to listen on', '127.0.0.1')
  .option('--port <port>', 'port to listen on; 0 takes a free one', wholeNumber, 0)

add('engine', 'a model engine')
  .option('--id <id>', 'name in the incarnation', 'engine')
  .option('--models <list>', 'model@version or model+adapter@version, with commas between', modelList, modelList('drafter@1'))
  .option('--slots <n>', 'requests served at once', wholeNumber, 16)
  .option('--prefill-tokens-per-second <n>', 'speed of prefill', wholeNumber, 20_000)
  .option('--decode-time <ms>', 'time between tokens', wholeNumber, 10)
  .option('--cache-blocks <n>', 'blocks in the prefix cache', wholeNumber, 4_000)
  .option('--block-bytes <n>', 'bytes of text in a block', wholeNumber, 512)
  .option('--event-interval <ms>', 'time between batches of cache events', wholeNumber, 250)
  .option('--report-interval <ms>', 'time between load reports', wholeNumber, 250)
  .option('--resume-window <ms>', 'how long a stream without a reader goes on', wholeNumber, 5_000)
  .option('--unfenced', 'ignore fencing numbers')
  .option('--weights-url <url>', 'weight store')
  .option('--kv-url <url>', 'store for kept KV cache')
  .action(async ({ unfenced, ...options }) => {
    await run('engine', createEngine(await loadHash(), { ...options, fenced: unfenced !== true }))
  })

add('service', 'a plain service')
  .option('--id <id>', 'name in the incarnation', 'service')
  .option('--run-time <ms>', 'how long a run takes', wholeNumber, 2)
  .action(options => run('service', createService(options)))

add('log', 'the append-only log service')
  .option('--appends-per-second <n>', 'rate of appends', wholeNumber, 600)
  .option('--keep-records <n>', 'records that a stream keeps', wholeNumber, 1_000_000)
  .option('--keep-for <ms>', 'how long a record is kept', wholeNumber, 24 * 3_600_000)
  .action(options => run('log', createLogService(options)))

add('membership', 'the membership list')
  .option('--lag <ms>', 'how late changes show', wholeNumber, 0)
  .action(options => run('membership', createMembershipList(options)))

add('weights', 'the weight store')
  .option('--load-time <ms>', 'how long a load takes', wholeNumber, 500)
  .option('--at-once <n>', 'loads at once that keep their speed', wholeNumber, 2)
  .action(options => run('weights', createWeightStore(options)))

add('kv', 'the store for kept KV cache')
  .option('--pieces <n>', 'pieces kept', wholeNumber, 10_000)
  .action(options => run('kv', createKvStore(options)))

program.parseAsync()
