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
  .meta({ unit: 'list', allowed: 'id@host:port, separated by commas', description: 'Instances to ask first, before the membership list answers.' })

const modelPattern = /^[a-z0-9.-]+(\+[a-z0-9.-]+)?@[a-z0-9.-]+$/

const models = z.string()
  .transform(list => list.split(',').map(part => part.trim()).filter(part => part !== ''))
  .pipe(z.array(z.string().regex(modelPattern)))
  .transform(parts => parts.map(part => {
    const [names, weightVersion] = part.split('@')
    const [model, adapter] = names.split('+')
    return adapter === undefined ? { model, weightVersion } : { model, adapter, weightVersion }
  }))
  .meta({ unit: 'list', allowed: 'model@version or model+adapter@version, separated by commas', description: 'What the worker is expected to hold until it reports.' })

const resumeKeys = z.string()
  .transform(list => list.split(',').map(part => part.trim()).filter(part => part !== ''))
  .pipe(z.array(z.string().regex(/^[\x21-\x7e]{16,}$/)))
  .meta({ unit: 'list', allowed: 'secrets of 16 characters or more, separated by commas', description: 'Keys of resume tokens, equal on all instances: the first signs, all verify. Empty turns resuming elsewhere off.' })

const endpointShape = {
  host: host('Address of the endpoint.'),
  port: port('Port of the endpoint.'),
  data_centre: name('Data centre of the endpoint.'),
  slots: withDefault(integer('requests', 1, 4_096, 'Requests that the endpoint serves at once.'), defaults.endpoint.slots)
}

/** Schema of a `[worker.NAME]` section. */
export const workerSection = z.strictObject({
  ...endpointShape,
  fenced: withDefault(boolean('Whether the engine refuses orders with an old fencing number.'), defaults.endpoint.fenced),
  models: withDefault(models, defaults.endpoint.models)
})

/** Schema of a `[service.NAME]` section. */
export const serviceSection = z.strictObject({
  ...endpointShape,
  service: name('The service that rules and callers name.')
})

/** Schemas of the sections whose names are fixed. */
export const fixedSections = {
  instance: z.strictObject({
    id: name('Name of this instance, unique in the fleet.'),
    data_centre: name('Data centre of this instance.'),
    size: withDefault(number('relative size', 0.1, 100, 'Size of the machine; 1 is ordinary.'), defaults.instance.size),
    incarnation: withDefault(text('letters, digits and -, or empty', /^[a-z0-9-]*$/, 'Name of this start; empty lets the process make one.'), defaults.instance.incarnation),
    log_level: withDefault(z.enum(['debug', 'info', 'warn', 'error']).meta({ unit: 'level', allowed: 'debug, info, warn or error', description: 'Least severe log lines written.' }), defaults.instance.log_level)
  }),
  caller: z.strictObject({
    host: withDefault(host('Address that callers connect to.'), defaults.caller.host),
    port: withDefault(port('Port for callers; 0 takes a free one.'), defaults.caller.port),
    body_limit: withDefault(integer('bytes', 1_024, 67_108_864, 'Largest request body.'), defaults.caller.body_limit),
    header_limit: withDefault(integer('bytes', 1_024, 131_072, 'Largest request header.'), defaults.caller.header_limit),
    receive_timeout: withDefault(integer('ms', 100, 600_000, 'Longest time for a whole request to arrive.'), defaults.caller.receive_timeout),
    write_buffer: withDefault(integer('bytes', 1_024, 16_777_216, 'Bytes kept for a slow caller before its stream is paused.'), defaults.caller.write_buffer)
  }).prefault({}),
  operator: z.strictObject({
    host: withDefault(host('Address that operators connect to.'), defaults.operator.host),
    port: withDefault(port('Port for operators; 0 takes a free one.'), defaults.operator.port)
  }).prefault({}),
  peer: z.strictObject({
    host: withDefault(host('Address that other instances connect to.'), defaults.peer.host),
    port: withDefault(port('Port for other instances; 0 takes a free one.'), defaults.peer.port),
    seeds: withDefault(seeds, defaults.peer.seeds),
    frame_limit: withDefault(integer('bytes', 1_024, 67_108_864, 'Largest frame accepted from another instance.'), defaults.peer.frame_limit)
  }).prefault({}),
  platform: z.strictObject({
    log_url: withDefault(httpUrl('Address of the log service.'), defaults.platform.log_url),
    membership_url: withDefault(httpUrl('Address of the membership list.'), defaults.platform.membership_url),
    log_timeout: withDefault(integer('ms', 50, 60_000, 'Longest wait for one answer of the log.'), defaults.platform.log_timeout),
    log_retention: withDefault(integer('ms', 400_000, 31_536_000_000, 'Least time for which the log keeps a record.'), defaults.platform.log_retention),
    list_interval: withDefault(integer('ms', 100, 600_000, 'Time between readings of the membership list.'), defaults.platform.list_interval),
    list_lag: withDefault(integer('ms', 0, 600_000, 'Longest lag of the membership list.'), defaults.platform.list_lag)
  }).prefault({}),
  routing: z.strictObject({
    objective: withDefault(number('share', 0, 1, '0 weighs the time to first token alone, 1 weighs recomputation most.'), defaults.routing.objective),
    block_bytes: withDefault(integer('bytes', 64, 65_536, 'Prompt bytes per prefix block; the engines use the same.'), defaults.routing.block_bytes),
    expected_tokens: withDefault(integer('tokens', 1, 100_000, 'Generated tokens assumed when a request names no maximum.'), defaults.routing.expected_tokens),
    default_deadline: withDefault(integer('ms', 1, 600_000, 'Time to the first token when no rule names one.'), defaults.routing.default_deadline)
  }).prefault({}),
  cache: z.strictObject({
    followed: withDefault(integer('workers', 0, 4_096, 'Workers whose cache events this instance follows at once; those used most go first. 0 leaves it to answers alone.'), defaults.cache.followed),
    depth: withDefault(z.enum(['all', 'levels', 'none']).meta({ unit: 'depth', allowed: 'all, levels or none', description: 'Which blocks of the events are kept: all, those that end a message of a prompt seen here, or none.' }), defaults.cache.depth)
  }).prefault({}),
  limits: z.strictObject({
    retry_share: withDefault(number('share of first attempts', 0, 1, 'Retries allowed per first attempt.'), defaults.limits.retry_share),
    in_flight: withDefault(integer('requests', 1, 1_000_000, 'Requests that this instance holds at once.'), defaults.limits.in_flight)
  }).prefault({}),
  claims: z.strictObject({
    answer_bytes: withDefault(integer('bytes', 0, 67_108_864, 'Memory for answers to calls that may be repeated by callers.'), defaults.claims.answer_bytes)
  }).prefault({}),
  addresses: z.strictObject({
    per_workspace: withDefault(integer('instances', 1, 64, 'Instances given to each workspace.'), defaults.addresses.per_workspace),
    time_to_live: withDefault(integer('ms', 100, 3_600_000, 'Time for which callers may keep the answer.'), defaults.addresses.time_to_live)
  }).prefault({}),
  streams: z.strictObject({
    resume_grace: withDefault(integer('ms', 0, 60_000, 'Time that generation goes on after its caller is cut off.'), defaults.streams.resume_grace),
    resume_window: withDefault(integer('ms', 0, 3_600_000, 'Age at which a resume token is refused.'), defaults.streams.resume_window),
    stall_timeout: withDefault(integer('ms', 100, 600_000, 'Silence in a begun stream after which its worker is given up.'), defaults.streams.stall_timeout),
    resume_keys: withDefault(resumeKeys, defaults.streams.resume_keys)
  }).prefault({}),
  orders: z.strictObject({
    loads_at_once: withDefault(integer('loads', 1, 1_000, 'Weight loads that the store bears at once.'), defaults.orders.loads_at_once)
  }).prefault({}),
  tls: z.strictObject({
    ca: withDefault(fileName('Certificate authority for callers, operators, peers and endpoints; empty leaves TLS off.'), defaults.tls.ca),
    cert: withDefault(fileName('Certificate of this instance.'), defaults.tls.cert),
    key: withDefault(fileName('Private key of this instance.'), defaults.tls.key)
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
