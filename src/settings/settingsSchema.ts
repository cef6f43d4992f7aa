/**
 * Schema of the entry instance's settings file. The unit, allowed values and
 * description of each key are generated into `docs/SETTINGS.md`.
 */
import { z } from 'zod'
import { addressPattern, boolean, host, name, number, withDefault, port, text, integer } from './settingsFields.js'
import { settingsDefaults as defaults } from './settingsDefaults.js'

const httpUrl = (description: string) => text('an http:// or https:// address, or empty', /^(https?:\/\/[^\s/]+(:\d+)?)?$/, description)
const fileName = (description: string) => text('a file name, or empty', /^.*$/, description)

const seedPattern = new RegExp(`^[a-z0-9-]+@(${addressPattern}|(?![\\d.]+:)[^\\s@,]+):\\d+$`)

const seeds = z.string()
  .transform(list => list.split(',').map(part => part.trim()).filter(part => part !== ''))
  .pipe(z.array(z.string().regex(seedPattern)))
  .transform(parts => parts.map(part => {
    const [id, address] = part.split('@')
    const colon = address.lastIndexOf(':')
    return { id, host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
  }))
  .meta({ unit: 'list', allowed: 'id@host:port, separated by commas', description: 'Instances to contact at startup, before the membership list has been read.' })

const modelPattern = /^[a-z0-9.-]+(\+[a-z0-9.-]+)?@[a-z0-9.-]+$/

const models = z.string()
  .transform(list => list.split(',').map(part => part.trim()).filter(part => part !== ''))
  .pipe(z.array(z.string().regex(modelPattern)))
  .transform(parts => parts.map(part => {
    const [names, weightVersion] = part.split('@')
    const [model, adapter] = names.split('+')
    return adapter === undefined ? { model, weightVersion } : { model, adapter, weightVersion }
  }))
  .meta({ unit: 'list', allowed: 'model@version or model+adapter@version, separated by commas', description: 'Models and adapters assumed to be loaded on the worker until it reports its own.' })

const resumeKeys = z.string()
  .transform(list => list.split(',').map(part => part.trim()).filter(part => part !== ''))
  .pipe(z.array(z.string().regex(/^[\x21-\x7e]{16,}$/)))
  .meta({ unit: 'list', allowed: 'secrets of 16 characters or more, separated by commas', description: 'Keys of resume tokens, the same on all instances: the first key signs tokens, all keys verify them. An empty list disables resuming on other instances.' })

const endpointShape = {
  host: host('Address of the endpoint.'),
  port: port('Port of the endpoint.'),
  data_centre: name('Data centre of the endpoint.'),
  slots: withDefault(integer('requests', 1, 4_096, 'Number of requests that the endpoint serves at the same time.'), defaults.endpoint.slots)
}

/** Schema of a `[worker.NAME]` section. */
export const workerSection = z.strictObject({
  ...endpointShape,
  fenced: withDefault(boolean('Whether the engine refuses orders with an outdated fencing token.'), defaults.endpoint.fenced),
  models: withDefault(models, defaults.endpoint.models)
})

/** Schema of a `[service.NAME]` section. */
export const serviceSection = z.strictObject({
  ...endpointShape,
  service: name('Name of the service in rules and in requests of callers.')
})

/** Schemas of the sections whose names are fixed. */
export const fixedSections = {
  instance: z.strictObject({
    id: name('Name of this instance, unique in the fleet.'),
    data_centre: name('Data centre of this instance.'),
    size: withDefault(number('relative size', 0.1, 100, 'Size of the machine relative to a standard machine, which has size 1.'), defaults.instance.size),
    incarnation: withDefault(text('letters, digits and -, or empty', /^[a-z0-9-]*$/, 'Identifier of this start of the process; if empty, the process generates one.'), defaults.instance.incarnation),
    log_level: withDefault(z.enum(['debug', 'info', 'warn', 'error']).meta({ unit: 'level', allowed: 'debug, info, warn or error', description: 'Lowest severity of the log lines that are written.' }), defaults.instance.log_level)
  }),
  caller: z.strictObject({
    host: withDefault(host('Address that callers connect to.'), defaults.caller.host),
    port: withDefault(port('Port for callers; 0 selects a free port.'), defaults.caller.port),
    body_limit: withDefault(integer('bytes', 1_024, 67_108_864, 'Maximum size of a request body.'), defaults.caller.body_limit),
    header_limit: withDefault(integer('bytes', 1_024, 131_072, 'Maximum size of the request headers.'), defaults.caller.header_limit),
    receive_timeout: withDefault(integer('ms', 100, 600_000, 'Maximum time for a whole request to arrive.'), defaults.caller.receive_timeout),
    write_buffer: withDefault(integer('bytes', 1_024, 16_777_216, 'Bytes buffered for a slow caller before its stream is paused.'), defaults.caller.write_buffer)
  }).prefault({}),
  operator: z.strictObject({
    host: withDefault(host('Address that operators connect to.'), defaults.operator.host),
    port: withDefault(port('Port for operators; 0 selects a free port.'), defaults.operator.port)
  }).prefault({}),
  peer: z.strictObject({
    host: withDefault(host('Address that other instances connect to.'), defaults.peer.host),
    port: withDefault(port('Port for other instances; 0 selects a free port.'), defaults.peer.port),
    seeds: withDefault(seeds, defaults.peer.seeds),
    frame_limit: withDefault(integer('bytes', 1_024, 67_108_864, 'Maximum size of a frame from another instance.'), defaults.peer.frame_limit)
  }).prefault({}),
  platform: z.strictObject({
    log_url: withDefault(httpUrl('URL of the log service.'), defaults.platform.log_url),
    membership_url: withDefault(httpUrl('URL of the membership list.'), defaults.platform.membership_url),
    log_timeout: withDefault(integer('ms', 50, 60_000, 'Maximum wait for one response of the log service.'), defaults.platform.log_timeout),
    log_retention: withDefault(integer('ms', 400_000, 31_536_000_000, 'Minimum time for which the log keeps a record.'), defaults.platform.log_retention),
    list_interval: withDefault(integer('ms', 100, 600_000, 'Interval at which the membership list is read.'), defaults.platform.list_interval),
    list_lag: withDefault(integer('ms', 0, 600_000, 'Maximum time by which the membership list may be out of date.'), defaults.platform.list_lag)
  }).prefault({}),
  routing: z.strictObject({
    objective: withDefault(number('share', 0, 1, 'Objective of the routing score: 0 weighs only the time to first token, 1 gives recomputation the greatest weight.'), defaults.routing.objective),
    block_bytes: withDefault(integer('bytes', 64, 65_536, 'Prompt bytes per prefix block; the engines use the same block size.'), defaults.routing.block_bytes),
    expected_tokens: withDefault(integer('tokens', 1, 100_000, 'Number of generated tokens assumed for a request that sets no maximum.'), defaults.routing.expected_tokens),
    default_deadline: withDefault(integer('ms', 1, 600_000, 'Deadline for the first token if no rule sets one.'), defaults.routing.default_deadline)
  }).prefault({}),
  cache: z.strictObject({
    followed: withDefault(integer('workers', 0, 4_096, 'Maximum number of workers whose cache events this instance follows at the same time; the most used workers take precedence. With 0, it learns the cache contents from answers only.'), defaults.cache.followed),
    depth: withDefault(z.enum(['all', 'levels', 'none']).meta({ unit: 'depth', allowed: 'all, levels or none', description: 'Which blocks of the cache events are stored: `all` blocks, only those at the end of a message of a prompt seen by this instance (`levels`), or `none`.' }), defaults.cache.depth)
  }).prefault({}),
  limits: z.strictObject({
    retry_share: withDefault(number('share of first attempts', 0, 1, 'Maximum number of retries per first attempt.'), defaults.limits.retry_share),
    in_flight: withDefault(integer('requests', 1, 1_000_000, 'Maximum number of unfinished requests on this instance.'), defaults.limits.in_flight)
  }).prefault({}),
  claims: z.strictObject({
    answer_bytes: withDefault(integer('bytes', 0, 67_108_864, 'Maximum memory for cached answers to calls that callers may repeat.'), defaults.claims.answer_bytes)
  }).prefault({}),
  addresses: z.strictObject({
    per_workspace: withDefault(integer('instances', 1, 64, 'Number of instances assigned to each workspace.'), defaults.addresses.per_workspace),
    time_to_live: withDefault(integer('ms', 100, 3_600_000, 'Time for which callers may cache the address list.'), defaults.addresses.time_to_live)
  }).prefault({}),
  streams: z.strictObject({
    resume_grace: withDefault(integer('ms', 0, 60_000, 'Time for which generation continues after the caller has disconnected.'), defaults.streams.resume_grace),
    resume_window: withDefault(integer('ms', 0, 3_600_000, 'Age after which a resume token is refused.'), defaults.streams.resume_window),
    stall_timeout: withDefault(integer('ms', 100, 600_000, 'Time without a token after which a started stream gets a second attempt at another worker, if there is one and the retry budget allows it. The first attempt is kept until one of the two brings a token, and counts as failed after ten times this time.'), defaults.streams.stall_timeout),
    resume_keys: withDefault(resumeKeys, defaults.streams.resume_keys)
  }).prefault({}),
  orders: z.strictObject({
    loads_at_once: withDefault(integer('loads', 1, 1_000, 'Maximum number of concurrent weight loads; as many as the weight store can serve.'), defaults.orders.loads_at_once)
  }).prefault({}),
  tls: z.strictObject({
    ca: withDefault(fileName('File with the certificate authority for callers, operators, peers and endpoints; if empty, TLS is off.'), defaults.tls.ca),
    cert: withDefault(fileName('File with the certificate of this instance.'), defaults.tls.cert),
    key: withDefault(fileName('File with the private key of this instance.'), defaults.tls.key)
  }).prefault({})
} as const

/** Schema of the whole settings file. */
export const settingsSchema = z.strictObject({
  ...fixedSections,
  worker: z.record(z.string(), workerSection).prefault({}),
  service: z.record(z.string(), serviceSection).prefault({})
})

/** Validated settings of one entry instance. */
export type Settings = z.infer<typeof settingsSchema>
