/**
 * The demonstration: starts both deployments as separate processes on loopback,
 * plays their callers, kills an instance in the middle of a stream, and ends
 * with a table.
 */
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { loadHash } from '../src/hash.js'
import { createRandom } from '../src/random.js'
import type { Origin } from './client.js'
import { deployments } from './deployments.js'
import type { Deployment } from './deployments.js'
import { startFleet } from './fleet.js'
import type { Fleet, Instance } from './fleet.js'
import { countRuns, describe } from './report.js'
import { createWorkload } from './workload.js'
import type { Answered, Workload } from './workload.js'

interface Stage {
  readonly fleet: Fleet
  readonly workload: Workload
}

const requestsPerDeployment = 240
const bookingsPerDeployment = 60
const perSecond = 20
const watchedTokens = 120
const killAtToken = 45
const watchAfter = 5_000 // ms of load before the watched stream
const readyTimeout = 20_000 // ms
const readyPause = 100 // ms
const longestRun = 110_000 // ms
const seed = 7
const lineWidth = 100

class NotReady extends Error {
  override readonly name = 'NotReady'
}

const say = (text: string): void => { process.stdout.write(`${text}\n`) }

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

const urlOf = ({ host, port }: Origin): string => `http://${host}:${port}`

const publish = async (fleet: Fleet): Promise<void> => {
  const text = readFileSync(join(fleet.deployment.example, 'rules.txt'), 'utf8')
  const body = JSON.stringify({ base: 0, text, publisher: 'demo', publishId: `demo-${fleet.deployment.title}` })
  const until = Date.now() + readyTimeout
  let answer = ''
  while (Date.now() < until) {
    const response = await fetch(`${urlOf(fleet.instances[0].operator)}/v1/rules`, { method: 'POST', body })
    if (response.ok) return
    answer = await response.text()
    await sleep(readyPause)
  }
  throw new NotReady(`the rules of ${fleet.deployment.title} were not accepted: ${answer}`)
}

const ready = async ({ id, operator }: Instance): Promise<void> => {
  const until = Date.now() + readyTimeout
  while (!(await fetch(`${urlOf(operator)}/ready`)).ok) {
    if (Date.now() > until) throw new NotReady(`${id} did not become ready`)
    await sleep(readyPause)
  }
}

const start = async (deployment: Deployment, folder: string): Promise<Stage> => {
  const fleet = await startFleet(deployment, folder)
  await publish(fleet)
  await Promise.all(fleet.instances.map(ready))
  const { engines, services, instances } = fleet
  say(`${deployment.title}: ${engines.length} engines, ${services.length} services, ${instances.length} entry instances serve (${instances.map(({ id }) => id).join(', ')})`)
  const workload = createWorkload(await loadHash(), createRandom(seed), deployment, instances.map(({ origin }) => origin))
  return { fleet, workload }
}

/** Writes tokens as they come, in lines of a bounded width. */
const createTicker = (): { readonly write: (text: string) => void, readonly line: (text: string) => void } => {
  let column = 0
  const line = (text: string): void => {
    if (column > 0) process.stdout.write('\n')
    say(text)
    column = 0
  }
  const write = (text: string): void => {
    if (column + text.length > lineWidth) {
      process.stdout.write('\n')
      column = 0
    }
    process.stdout.write(column === 0 ? `   ${text}` : text)
    column += text.length
  }
  return { write, line }
}

const watchAndKill = async ({ fleet, workload }: Stage): Promise<Answered> => {
  const ticker = createTicker()
  const at = (origin: Origin) => fleet.instances.find(instance => instance.origin.port === origin.port)
  let tokens = 0
  let resumed = 0
  let killed = ''
  ticker.line('\nOne stream, token by token:')
  const answered = await workload.watch(watchedTokens, (text, origin, resumes) => {
    if (resumes > resumed) {
      resumed = resumes
      ticker.line(`>> taken up at ${at(origin)?.id} with Last-Event-ID, from token ${tokens + 1} on`)
    }
    ticker.write(text)
    if (++tokens !== killAtToken) return
    const instance = at(origin)
    instance?.process.kill('SIGKILL')
    killed = instance?.id ?? ''
    ticker.line(`>> killed ${instance?.id} (process ${instance?.process.pid}) with ${tokens} of ${watchedTokens} tokens sent`)
  })
  ticker.line(`>> ${tokens} tokens in all, ${answered.exact ? 'exactly those of the engine, in order' : 'NOT those of the engine'}`)
  const began = Date.now()
  const instance = await fleet.restart(killed)
  const up = Date.now()
  await ready(instance)
  ticker.line(`>> ${killed} started again: process up after ${up - began} ms, serving ${Date.now() - up} ms later\n`)
  return answered
}

const play = async (stages: readonly Stage[]): Promise<void> => {
  const load = stages.map(({ workload }) => workload.run(requestsPerDeployment, bookingsPerDeployment, perSecond))
  await sleep(watchAfter)
  const [watched] = stages
  watched.workload.tally.answered.push(await watchAndKill(watched))
  say('The other callers go on meanwhile; waiting for their answers ...')
  await Promise.all(load)
}

const demonstrate = async (): Promise<boolean> => {
  const began = Date.now()
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-demo-'))
  const stages: Stage[] = []
  try {
    say('Starting the engines, services and entry instances of both deployments as processes on loopback ...')
    stages.push(...await Promise.all(deployments.map(deployment => start(deployment, folder))))
    say(`\nSending ${requestsPerDeployment} model requests and ${bookingsPerDeployment} bookings to each, through the addresses that any instance names.`)
    await play(stages)
    const outcomes = await Promise.all(stages.map(async ({ fleet, workload }) =>
      ({ title: fleet.deployment.title, tally: workload.tally, runs: await countRuns(fleet) })))
    say(`\n${describe(outcomes)}\n\n${Math.round((Date.now() - began) / 1_000)} s in all.`)
    return outcomes.every(({ tally }) => tally.answered.every(({ exact }) => exact))
  } finally {
    await Promise.all(stages.map(async ({ fleet, workload }) => {
      await workload.close()
      await fleet.stop()
    }))
    rmSync(folder, { recursive: true, force: true })
  }
}

const main = async (): Promise<void> => {
  try {
    process.exitCode = await demonstrate() ? 0 : 1
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? `${error.name}: ${error.message}` : String(error)}\n`)
    process.exitCode = 1
  }
}

process.once('SIGINT', () => process.exit(130))
process.once('SIGTERM', () => process.exit(143))
setTimeout(() => {
  process.stderr.write(`not done after ${longestRun / 1_000} s\n`)
  process.exit(1)
}, longestRun)
main().then(() => process.exit())
