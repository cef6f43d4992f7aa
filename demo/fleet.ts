/** Starts the processes of one deployment: stand-ins first, then entry instances. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { parse, stringify } from 'ini'
import { z } from 'zod'
import type { Origin } from './client.js'
import type { Deployment } from './deployments.js'

/** A process that serves on a port. */
export interface ServerProcess {
  readonly name: string
  readonly process: ChildProcess
  readonly origin: Origin
}

/** A running entry instance. */
export interface Instance extends ServerProcess {
  readonly id: string
  readonly operator: Origin
}

/** A running deployment. */
export interface Fleet {
  readonly deployment: Deployment
  readonly instances: readonly Instance[]
  readonly engines: readonly ServerProcess[]
  readonly services: readonly ServerProcess[]
  /** Starts an instance again, with the same settings, after its process has ended. */
  readonly restart: (id: string) => Promise<Instance>
  readonly stop: () => Promise<void>
  /** The log service. */
  readonly log: ServerProcess
}

type Section = Record<string, string>

const sectionSchema = z.record(z.string(), z.coerce.string())

const exampleSchema = z.object({
  worker: z.record(z.string(), sectionSchema),
  service: z.record(z.string(), sectionSchema)
}).catchall(sectionSchema)

type Example = z.infer<typeof exampleSchema>

const startedSchema = z.object({ port: z.number().optional(), callerPort: z.number().optional(), operatorPort: z.number().optional() })

const host = '127.0.0.1'
const startTimeout = 20_000 // ms
const cacheBlocks = 300
const standIns = 'dist/standins.cjs'
const binary = 'dist/wasabireel'

class StartFailed extends Error {
  override readonly name = 'StartFailed'
}

const started = (name: string, child: ChildProcess): Promise<z.infer<typeof startedSchema>> => new Promise((resolve, reject) => {
  const timer = setTimeout(() => reject(new StartFailed(`${name} did not start in time`)), startTimeout)
  child.once('error', error => reject(new StartFailed(`${name}: ${error.message}; run npm run build first`)))
  child.once('exit', code => reject(new StartFailed(`${name} ended with ${code}`)))
  if (child.stdout === null) return reject(new StartFailed(`${name} has no output`))
  createInterface({ input: child.stdout }).once('line', line => {
    clearTimeout(timer)
    const parsed = startedSchema.safeParse(JSON.parse(line))
    if (parsed.success) resolve(parsed.data)
    else reject(new StartFailed(`${name} printed ${line}`))
  })
})

const children = new Set<ChildProcess>()

process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL')
})

const launch = (command: string, args: readonly string[]): ChildProcess => {
  const child = spawn(command, args, { stdio: ['ignore', 'pipe', 'ignore'] })
  children.add(child)
  child.once('exit', () => children.delete(child))
  return child
}

/**
 * Starts one stand-in.
 *
 * @param name - for messages
 * @param args - its arguments
 * @returns the process, once it listens
 */
export const startStandIn = async (name: string, args: readonly string[]): Promise<ServerProcess> => {
  const child = launch(process.execPath, [standIns, ...args])
  const { port = 0 } = await started(name, child)
  return { name, process: child, origin: { host, port } }
}

const url = ({ origin }: ServerProcess): string => `http://${origin.host}:${origin.port}`

/** Ports below those that the system gives out by itself, so that nobody else takes one meanwhile. */
const firstPort = 21_000
const portBlocks = 500
const portsPerBlock = 20
let nextPort = firstPort + (process.pid % portBlocks) * portsPerBlock

const canListen = (port: number): Promise<boolean> => new Promise(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

const freePort = async (): Promise<number> => {
  const port = nextPort++
  return await canListen(port) ? port : freePort()
}

/**
 * Ends a process at once.
 *
 * @param child - the process
 */
export const killProcess = (child: ChildProcess): Promise<void> => new Promise(resolve => {
  if (child.exitCode !== null || child.signalCode !== null) return resolve()
  child.once('exit', () => resolve())
  child.kill('SIGKILL')
})

/**
 * Reads a deployment's settings.
 *
 * @param file - INI file of one instance
 * @returns its sections
 */
export const readExample = (file: string): Example => exampleSchema.parse(parse(readFileSync(file, 'utf8')))

const startEngine = (deployment: Deployment, index: number, id: string, section: Section, blockBytes: string, weights: ServerProcess, kv: ServerProcess): Promise<ServerProcess> =>
  startStandIn(id, [
    'engine', '--id', id, '--models', section.models, '--slots', section.slots,
    '--block-bytes', blockBytes, '--cache-blocks', String(cacheBlocks),
    '--prefill-tokens-per-second', String(deployment.prefillSpeeds[index % deployment.prefillSpeeds.length]),
    '--decode-time', String(deployment.decodeTimes[index % deployment.decodeTimes.length]),
    '--weights-url', url(weights), '--kv-url', url(kv),
    ...section.fenced === 'true' ? [] : ['--unfenced']
  ])

const settingsOf = (example: Example, instance: Deployment['instances'][number], callerPort: number, peerPort: number, seeds: string, platform: Section, ports: ReadonlyMap<string, number>): string => {
  const placed = (sections: Record<string, Section>): Record<string, Section> => Object.fromEntries(
    Object.entries(sections).map(([name, section]) => [name, { ...section, host, port: String(ports.get(name)) }])
  )
  return stringify({
    ...example,
    instance: { ...example.instance, id: instance.id, data_centre: instance.dataCentre, size: String(instance.size) },
    caller: { ...example.caller, host, port: String(callerPort) },
    operator: { ...example.operator, host, port: '0' },
    peer: { ...example.peer, host, port: String(peerPort), seeds },
    platform: { ...example.platform, ...platform },
    worker: placed(example.worker),
    service: placed(example.service)
  })
}

/**
 * Starts an entry instance.
 *
 * @param id - for messages
 * @param file - its settings
 * @returns the process, once it listens
 */
export const startInstance = async (id: string, file: string): Promise<Instance> => {
  const child = launch(binary, ['entry', '--settings', file])
  const { callerPort = 0, operatorPort = 0 } = await started(id, child)
  return { id, name: id, process: child, origin: { host, port: callerPort }, operator: { host, port: operatorPort } }
}

/**
 * Starts a deployment.
 *
 * @param deployment - what to start
 * @param folder - where the settings files are written
 * @returns the fleet, without a configuration yet
 */
export const startFleet = async (deployment: Deployment, folder: string): Promise<Fleet> => {
  const example = readExample(join(deployment.example, deployment.settings))
  const kept: ServerProcess[] = []
  const keep = async <Kind extends ServerProcess>(starting: Promise<Kind>): Promise<Kind> => {
    const served = await starting
    kept.push(served)
    return served
  }
  const stop = async (): Promise<void> => {
    await Promise.all(kept.map(({ process: child }) => killProcess(child)))
  }
  try {
    const [log, list, weights, kv] = await Promise.all([
      keep(startStandIn('log', ['log'])),
      keep(startStandIn('membership', ['membership', '--lag', '1000'])),
      keep(startStandIn('weights', ['weights', '--at-once', String(deployment.loadsAtOnce)])),
      keep(startStandIn('kv', ['kv']))
    ])
    const engines = await Promise.all(Object.entries(example.worker).map(([id, section], index) =>
      keep(startEngine(deployment, index, id, section, example.routing.block_bytes, weights, kv))))
    const services = await Promise.all(Object.keys(example.service).map(id => keep(startStandIn(id, ['service', '--id', id, '--run-time', '20']))))
    const ports = new Map([...engines, ...services].map(({ name, origin }) => [name, origin.port]))
    const callerPorts = await Promise.all(deployment.instances.map(freePort))
    const peerPorts = await Promise.all(deployment.instances.map(freePort))
    const seeds = deployment.instances.map(({ id }, index) => `${id}@${host}:${peerPorts[index]}`).join(',')
    const fileOf = (id: string): string => join(folder, `${id}.ini`)
    const instances = await Promise.all(deployment.instances.map((instance, index) => {
      writeFileSync(fileOf(instance.id), settingsOf(example, instance, callerPorts[index], peerPorts[index], seeds, { log_url: url(log), membership_url: url(list) }, ports))
      return keep(startInstance(instance.id, fileOf(instance.id)))
    }))
    const restart = async (id: string): Promise<Instance> => {
      const instance = await keep(startInstance(id, fileOf(id)))
      instances.splice(instances.findIndex(known => known.id === id), 1, instance)
      return instance
    }
    return { deployment, instances, engines, services, log, restart, stop }
  } catch (error) {
    await stop()
    throw error
  }
}
