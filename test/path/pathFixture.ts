/** A small fleet in one process that communicates over real sockets: platform, engines, services and entry instances. */
import { createHash } from 'node:crypto'
import { stringify } from 'ini'
import { createCaller } from '../../demo/client.js'
import type { Caller, Origin } from '../../demo/client.js'
import { loadHash } from '../../src/hash.js'
import type { Hash } from '../../src/hash.js'
import { startEntry } from '../../src/processes/entry.js'
import type { EntryProcess } from '../../src/processes/entry.js'
import { readSettings } from '../../src/settings/settingsReader.js'
import { createEngine } from '../../src/standins/engine/engine.js'
import { parseSample, createTokenFunction } from '../../src/standins/engine/engineSample.js'
import type { EngineEntry } from '../../src/standins/engine/engineTypes.js'
import { createLogService } from '../../src/standins/logService.js'
import type { AppendedRecord } from '../../src/standins/logService.js'
import { createMembershipList } from '../../src/standins/membershipList.js'
import { createService } from '../../src/standins/service.js'
import type { ServiceRun } from '../../src/standins/service.js'
import type { StandIn } from '../../src/standins/standInServer.js'

/** The running fleet. */
export interface PathFleet {
  readonly engines: readonly StandIn<EngineEntry>[]
  readonly services: readonly StandIn<ServiceRun>[]
  readonly log: StandIn<AppendedRecord>
  readonly origins: readonly Origin[]
  readonly entries: readonly EntryProcess[]
  /** Creates a caller that tries the instances with the given indexes in order, once each. */
  readonly callerAt: (workspace: string, ...instances: number[]) => Caller
  /** Number of runs with an idempotency key, over all services. */
  readonly runsOf: (key: string) => number
  /** Closes the callers, drains the instances and stops the stand-ins. */
  readonly close: () => Promise<void>
}

const host = '127.0.0.1'
const workspaces = ['north', 'south']

const rules = [
  ...workspaces.flatMap(name => [
    `workspace ${name} deadline=5s # asked by the test`,
    `key workspace=${name} hash=sha256:${createHash('sha256').update(`demo-key-${name}`).digest('hex')} # asked by the test`
  ]),
  `key role=read hash=sha256:${createHash('sha256').update('demo-operator-read').digest('hex')} # asked by the test`,
  'model drafter version=1 # asked by the test',
  'once service=bookings method=POST # asked by the test'
].join('\n')

const settingsText = (id: string, endpoints: { readonly engines: readonly Origin[], readonly services: readonly Origin[] }, log: Origin, membership: Origin): string => stringify({
  instance: { id, data_centre: 'dc', log_level: 'error' },
  platform: { log_url: `http://${host}:${log.port}`, membership_url: `http://${host}:${membership.port}`, list_interval: 200, list_lag: 0 },
  addresses: { time_to_live: 100 },
  streams: { resume_keys: 'a-key-only-for-this-test' },
  worker: Object.fromEntries(endpoints.engines.map(({ port }, index) => [`w${index}`, { host, port, data_centre: 'dc', models: 'drafter@1' }])),
  service: Object.fromEntries(endpoints.services.map(({ port }, index) => [`s${index}`, { host, port, data_centre: 'dc', service: 'bookings' }]))
})

const publishRules = async (entry: EntryProcess): Promise<void> => {
  const body = JSON.stringify({ base: 0, text: rules, publisher: 'test', publishId: 'test' })
  while (!(await fetch(`http://${host}:${entry.operatorPort}/v1/rules`, { method: 'POST', body })).ok) await pause()
}

const waitUntilReady = async (entry: EntryProcess): Promise<void> => {
  while (!(await fetch(`http://${host}:${entry.operatorPort}/ready`)).ok) await pause()
}

/** Waits 20 ms between polls. */
const pause = (): Promise<void> => new Promise(resolve => { setTimeout(resolve, 20) })

/**
 * Starts two engines, two services and two entry instances.
 *
 * @param serviceRunTime - processing time of a service's call, in ms
 * @returns the fleet, with the rules in force and every instance ready
 */
export const startPathFleet = async (serviceRunTime = 2): Promise<PathFleet> => {
  const hash = await loadHash()
  const log = createLogService()
  const membership = createMembershipList()
  const engines = [0, 1].map(index => createEngine(hash, { id: `w${index}`, decodeTime: 5 }))
  const services = [0, 1].map(index => createService({ id: `s${index}`, runTime: serviceRunTime }))
  const listening = await Promise.all([log, membership, ...engines, ...services].map(standIn => standIn.listen()))
  const [logOrigin, membershipOrigin, ...endpointOrigins] = listening
  const endpoints = { engines: endpointOrigins.slice(0, 2), services: endpointOrigins.slice(2) }
  const entries = await Promise.all(['e0', 'e1'].map(id =>
    startEntry(readSettings(id, settingsText(id, endpoints, logOrigin, membershipOrigin))._unsafeUnwrap())))
  await publishRules(entries[0])
  await Promise.all(entries.map(waitUntilReady))
  const origins = entries.map(({ callerPort }) => ({ host, port: callerPort }))
  const callers: Caller[] = []

  const callerAt = (workspace: string, ...instances: number[]): Caller => {
    const seeds = instances.map(index => origins[index])
    const caller = createCaller({ workspace, key: `demo-key-${workspace}`, seeds, direct: true, attempts: seeds.length })
    callers.push(caller)
    return caller
  }

  const close = async (): Promise<void> => {
    await Promise.all(callers.map(caller => caller.close()))
    for (const entry of entries) entry.drain()
    await Promise.all(entries.map(({ ended }) => ended))
    await Promise.all([log, membership, ...engines, ...services].map(standIn => standIn.close()))
  }

  const runsOf = (key: string): number => services.flatMap(({ record }) => record).filter(run => run.key === key).length

  return { engines, services, log, origins, entries, callerAt, runsOf, close }
}

/**
 * Computes the text that engines generate for a request.
 *
 * @param hash - hash functions
 * @param body - body of the caller's request
 * @param tokens - number of tokens
 * @returns the text, or the complaint about an invalid body
 */
export const expectedText = (hash: Hash, body: Readonly<Record<string, unknown>>, tokens: number): string => {
  const read = parseSample({ ...body, stream: true }, '1')
  if ('complaint' in read) return read.complaint
  const token = createTokenFunction(hash, read.sample.key)
  return Array.from({ length: tokens }, (_, position) => token(position)).join('')
}
