/** Starts the processes of a deployment on loopback: first the stand-ins for its platform, engines and services, then the entry instances. */
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

/** A child process that listens on a port. */
export interface ServerProcess {
  /** Name or ID of the process. */
  readonly name: string
  readonly process: ChildProcess
  readonly origin: Origin
}

/** A running entry instance; `origin` is its address for callers. */
export interface Instance extends ServerProcess {
  readonly id: string
  /** Its address for operators. */
  readonly operator: Origin
}

/** A running deployment. */
export interface Fleet {
  readonly deployment: Deployment
  readonly instances: readonly Instance[]
  readonly engines: readonly ServerProcess[]
  readonly services: readonly ServerProcess[]
  /** Starts an instance again with the same settings, after its process has exited. */
  readonly restart: (id: string) => Promise<Instance>
  /** Kills all processes of the deployment. */
  readonly stop: () => Promise<void>
  /** The stand-in of the log service. */
  readonly log: ServerProcess
}

/** A section of an INI file. */
type Section = Record<string, string>

const sectionSchema = z.record(z.string(), z.coerce.string())

const exampleSchema = z.object({
  worker: z.record(z.string(), sectionSchema),
  service: z.record(z.string(), sectionSchema)
}).catchall(sectionSchema)

type Example = z.infer<typeof exampleSchema>

/** The JSON line that a process prints once it listens. */
const startLineSchema = z.object({ port: z.number().optional(), callerPort: z.number().optional(), operatorPort: z.number().optional() })

const host = '127.0.0.1'
const startTimeout = 20_000 // ms
const cacheBlocks = 300 // capacity of each engine's prefix cache, in blocks
const standInsScript = 'dist/standins.cjs'
const binary = 'dist/wasabireel'

/** Thrown when a process does not start to listen. */
class StartFailed extends Error {
  override readonly name = 'StartFailed'
}

/** Waits for the start line of a child process; rejects with `StartFailed` if the process exits or the timeout passes. */
const waitForStartLine = (name: string, child: ChildProcess): Promise<z.infer<typeof startLineSchema>> => new Promise((resolve, reject) => {
  const timer = setTimeout(() => reject(new StartFailed(`${name} did not start in time`)), startTimeout)
  child.once('error', error => reject(new StartFailed(`${name}: ${error.message}; run npm run build first`)))
  child.once('exit', code => reject(new StartFailed(`${name} exited with code ${code} before it listened`)))
  if (child.stdout === null) return reject(new StartFailed(`${name} has no stdout pipe`))
  createInterface({ input: child.stdout }).once('line', line => {
    clearTimeout(timer)
    const parsed = startLineSchema.safeParse(JSON.parse(line))
    if (parsed.success) resolve(parsed.data)
    else reject(new StartFailed(`${name} printed an invalid start line: ${line}`))
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
 * Starts a stand-in.
 *
 * @param name - name in error messages
 * @param args - command-line arguments
 * @returns the process, once it listens
 * @throws StartFailed if it does not start to listen
 */
export const startStandIn = async (name: string, args: readonly string[]): Promise<ServerProcess> => {
  const child = launch(process.execPath, [standInsScript, ...args])
  const { port = 0 } = await waitForStartLine(name, child)
  return { name, process: child, origin: { host, port } }
}

const url = ({ origin }: ServerProcess): string => `http://${origin.host}:${origin.port}`

/**
 * The lowest port to use. The range is below the system's ephemeral ports, so that the system does
 * not assign a port to another socket between the check that it is free and its use.
 */
const firstPort = 21_000
const portBlocks = 500
const portsPerBlock = 20
/** Starts at a block that depends on the process ID. */
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
 * Kills a process with SIGKILL and waits until it has exited.
 *
 * @param child - the process
 */
export const killProcess = (child: ChildProcess): Promise<void> => new Promise(resolve => {
  if (child.exitCode !== null || child.signalCode !== null) return resolve()
  child.once('exit', () => resolve())
  child.kill('SIGKILL')
})

/**
 * Reads the settings file of a deployment.
 *
 * @param file - path of the INI file of one instance
 * @returns its sections
 * @throws ZodError if a section has an unexpected shape
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

/** Returns the settings of an instance as INI text: those of the example, with the addresses of this run. */
const settingsText = (example: Example, instance: Deployment['instances'][number], callerPort: number, peerPort: number, seeds: string, platform: Section, ports: ReadonlyMap<string, number>): string => {
  const withAddresses = (sections: Record<string, Section>): Record<string, Section> => Object.fromEntries(
    Object.entries(sections).map(([name, section]) => [name, { ...section, host, port: String(ports.get(name)) }])
  )
  return stringify({
    ...example,
    instance: { ...example.instance, id: instance.id, data_centre: instance.dataCentre, size: String(instance.size) },
    caller: { ...example.caller, host, port: String(callerPort) },
    operator: { ...example.operator, host, port: '0' },
    peer: { ...example.peer, host, port: String(peerPort), seeds },
    platform: { ...example.platform, ...platform },
    worker: withAddresses(example.worker),
    service: withAddresses(example.service)
  })
}

/**
 * Starts an entry instance of the built binary.
 *
 * @param id - instance ID, for error messages
 * @param file - path of its settings file
 * @returns the process, once it listens
 * @throws StartFailed if it does not start to listen
 */
export const startInstance = async (id: string, file: string): Promise<Instance> => {
  const child = launch(binary, ['entry', '--settings', file])
  const { callerPort = 0, operatorPort = 0 } = await waitForStartLine(id, child)
  return { id, name: id, process: child, origin: { host, port: callerPort }, operator: { host, port: operatorPort } }
}

/**
 * Starts a deployment. If a process fails to start, those that already listen are killed.
 *
 * @param deployment - the deployment
 * @param folder - folder into which the settings files are written
 * @returns the fleet, without published rules
 * @throws StartFailed if a process does not start to listen
 */
export const startFleet = async (deployment: Deployment, folder: string): Promise<Fleet> => {
  const example = readExample(join(deployment.example, deployment.settings))
  const processes: ServerProcess[] = []
  const track = async <Kind extends ServerProcess>(startup: Promise<Kind>): Promise<Kind> => {
    const serverProcess = await startup
    processes.push(serverProcess)
    return serverProcess
  }
  const stop = async (): Promise<void> => {
    await Promise.all(processes.map(({ process: child }) => killProcess(child)))
  }
  try {
    const [log, membershipList, weights, kv] = await Promise.all([
      track(startStandIn('log', ['log'])),
      track(startStandIn('membership', ['membership', '--lag', '1000'])),
      track(startStandIn('weights', ['weights', '--at-once', String(deployment.parallelWeightLoads)])),
      track(startStandIn('kv', ['kv']))
    ])
    const engines = await Promise.all(Object.entries(example.worker).map(([id, section], index) =>
      track(startEngine(deployment, index, id, section, example.routing.block_bytes, weights, kv))))
    const services = await Promise.all(Object.keys(example.service).map(id => track(startStandIn(id, ['service', '--id', id, '--run-time', '20']))))
    const ports = new Map([...engines, ...services].map(({ name, origin }) => [name, origin.port]))
    const callerPorts = await Promise.all(deployment.instances.map(freePort))
    const peerPorts = await Promise.all(deployment.instances.map(freePort))
    const seeds = deployment.instances.map(({ id }, index) => `${id}@${host}:${peerPorts[index]}`).join(',')
    const settingsFile = (id: string): string => join(folder, `${id}.ini`)
    const instances = await Promise.all(deployment.instances.map((instance, index) => {
      writeFileSync(settingsFile(instance.id), settingsText(example, instance, callerPorts[index], peerPorts[index], seeds, { log_url: url(log), membership_url: url(membershipList) }, ports))
      return track(startInstance(instance.id, settingsFile(instance.id)))
    }))
    const restart = async (id: string): Promise<Instance> => {
      const instance = await track(startInstance(id, settingsFile(id)))
      instances.splice(instances.findIndex(known => known.id === id), 1, instance)
      return instance
    }
    return { deployment, instances, engines, services, log, restart, stop }
  } catch (error) {
    await stop()
    throw error
  }
}
