/**
 * The demonstration (`npm run demo`): starts both deployments as separate
 * processes on loopback, runs a workload against them, kills an instance in the
 * middle of a stream and prints tables of the results. Exits with 0 if every
 * model request got exactly the expected tokens, otherwise with 1.
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
import { countRuns, formatReport } from './report.js'
import { createWorkload } from './workload.js'
import type { CheckedGeneration, Workload } from './workload.js'

/** A deployment and the workload that runs against it. */
interface RunningDeployment {
  readonly fleet: Fleet
  readonly workload: Workload
}

const requestsPerDeployment = 240
const bookingsPerDeployment = 60
const perSecond = 20 // requests and bookings of each deployment
const longStreamTokens = 120
const killAtToken = 45
const longStreamDelay = 5_000 // ms of load before the long stream starts
const readyTimeout = 20_000 // ms
const readyPollInterval = 100 // ms
const runTimeout = 110_000 // ms
const seed = 7
const lineWidth = 100 // characters

/** Thrown when a deployment or an instance does not become ready in time. */
class NotReady extends Error {
  override readonly name = 'NotReady'
}

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const sleep = (ms: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })

const urlOf = ({ host, port }: Origin): string => `http://${host}:${port}`

const publishRules = async (fleet: Fleet): Promise<void> => {
  const text = readFileSync(join(fleet.deployment.example, 'rules.txt'), 'utf8')
  const body = JSON.stringify({ base: 0, text, publisher: 'demo', publishId: `demo-${fleet.deployment.title}` })
  const until = Date.now() + readyTimeout
  let lastError = ''
  while (Date.now() < until) {
    const response = await fetch(`${urlOf(fleet.instances[0].operator)}/v1/rules`, { method: 'POST', body })
    if (response.ok) return
    lastError = await response.text()
    await sleep(readyPollInterval)
  }
  throw new NotReady(`the rules of ${fleet.deployment.title} were not accepted: ${lastError}`)
}

const waitUntilReady = async ({ id, operator }: Instance): Promise<void> => {
  const until = Date.now() + readyTimeout
  while (!(await fetch(`${urlOf(operator)}/ready`)).ok) {
    if (Date.now() > until) throw new NotReady(`${id} did not become ready`)
    await sleep(readyPollInterval)
  }
}

const start = async (deployment: Deployment, folder: string): Promise<RunningDeployment> => {
  const fleet = await startFleet(deployment, folder)
  await publishRules(fleet)
  await Promise.all(fleet.instances.map(waitUntilReady))
  const { engines, services, instances } = fleet
  print(`${deployment.title}: ${engines.length} engines, ${services.length} services, ${instances.length} entry instances are ready (${instances.map(({ id }) => id).join(', ')})`)
  const workload = createWorkload(await loadHash(), createRandom(seed), deployment, instances.map(({ origin }) => origin))
  return { fleet, workload }
}

/** Creates a printer of streamed tokens in lines of limited width, and of notices on lines of their own. */
const createTokenPrinter = (): { readonly write: (text: string) => void, readonly line: (text: string) => void } => {
  let column = 0
  const line = (text: string): void => {
    if (column > 0) process.stdout.write('\n')
    print(text)
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

/** Prints a long stream and kills the instance that serves it in the middle, then restarts the instance. */
const killDuringStream = async ({ fleet, workload }: RunningDeployment): Promise<CheckedGeneration> => {
  const printer = createTokenPrinter()
  const instanceAt = (origin: Origin) => fleet.instances.find(instance => instance.origin.port === origin.port)
  let tokens = 0
  let lastResumes = 0
  let killedId = ''
  printer.line('\nA long stream, token by token:')
  const result = await workload.generateLong(longStreamTokens, (text, origin, resumes) => {
    if (resumes > lastResumes) {
      lastResumes = resumes
      printer.line(`>> resumed at ${instanceAt(origin)?.id} with Last-Event-ID, from token ${tokens + 1} on`)
    }
    printer.write(text)
    if (++tokens !== killAtToken) return
    const instance = instanceAt(origin)
    instance?.process.kill('SIGKILL')
    killedId = instance?.id ?? ''
    printer.line(`>> killed ${instance?.id} (process ${instance?.process.pid}) with ${tokens} of ${longStreamTokens} tokens sent`)
  })
  printer.line(`>> ${tokens} tokens in total, ${result.exact ? 'exactly those that the engine generates, in order' : 'NOT those that the engine generates'}`)
  const restartedAt = Date.now()
  const instance = await fleet.restart(killedId)
  const startedAt = Date.now()
  await waitUntilReady(instance)
  printer.line(`>> ${killedId} restarted: process started after ${startedAt - restartedAt} ms, ready ${Date.now() - startedAt} ms later\n`)
  return result
}

/** Runs the workloads of all deployments, and the long stream of the first one meanwhile. */
const runLoad = async (deployed: readonly RunningDeployment[]): Promise<void> => {
  const load = deployed.map(({ workload }) => workload.run(requestsPerDeployment, bookingsPerDeployment, perSecond))
  await sleep(longStreamDelay)
  const [first] = deployed
  first.workload.tally.answered.push(await killDuringStream(first))
  print('Waiting for the remaining requests and bookings ...')
  await Promise.all(load)
}

/** Runs the demonstration; returns whether every model request got exactly the expected tokens. */
const runDemonstration = async (): Promise<boolean> => {
  const startedAt = Date.now()
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-demo-'))
  const deployed: RunningDeployment[] = []
  try {
    print('Starting the engines, services and entry instances of both deployments as processes on loopback ...')
    deployed.push(...await Promise.all(deployments.map(deployment => start(deployment, folder))))
    print(`\nSending ${requestsPerDeployment} model requests and ${bookingsPerDeployment} bookings to each deployment, at the addresses that its instances return.`)
    await runLoad(deployed)
    const outcomes = await Promise.all(deployed.map(async ({ fleet, workload }) =>
      ({ title: fleet.deployment.title, tally: workload.tally, runs: await countRuns(fleet) })))
    print(`\n${formatReport(outcomes)}\n\n${Math.round((Date.now() - startedAt) / 1_000)} s in total.`)
    return outcomes.every(({ tally }) => tally.answered.every(({ exact }) => exact))
  } finally {
    await Promise.all(deployed.map(async ({ fleet, workload }) => {
      await workload.close()
      await fleet.stop()
    }))
    rmSync(folder, { recursive: true, force: true })
  }
}

const main = async (): Promise<void> => {
  try {
    process.exitCode = await runDemonstration() ? 0 : 1
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? `${error.name}: ${error.message}` : String(error)}\n`)
    process.exitCode = 1
  }
}

process.once('SIGINT', () => process.exit(130))
process.once('SIGTERM', () => process.exit(143))
setTimeout(() => {
  process.stderr.write(`the demonstration did not finish within ${runTimeout / 1_000} s\n`)
  process.exit(1)
}, runTimeout)
main().then(() => process.exit())
