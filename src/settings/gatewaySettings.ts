/** Schema of the gateway settings file. Units, allowed values and descriptions are generated into `docs/SETTINGS.md`. */
import { z } from 'zod'
import { boolean, emptyOr, host, integer, name, number, withDefault, port, text } from './settingsFields.js'

const seconds = (description: string) => number('s', 0.1, 86_400, description)
const milliseconds = (description: string) => number('ms', 1, 86_400_000, description)
const ipAndPort = (description: string) => text('IP:PORT', /^[\d.]+:\d{1,5}$/, description)

/** Default of `[weights] reacquire_after`, in ms. */
const defaultReacquireAfter = 3_000
const millisecondsOrEmpty = (emptyValue: number, description: string) => emptyOr(emptyValue, 'ms', 1, 86_400_000, description)

const logLevels = z.enum(['debug', 'info', 'warn', 'error'])

/** Schema of the whole gateway settings file. */
export const gatewaySettingsSchema = z.strictObject({
  instance: z.strictObject({
    id: name('Name of this instance, unique in the fleet.'),
    data_centre: name('Data centre of this instance.'),
    host: host('Address of this instance.'),
    processors: withDefault(number('processors', 0.001, 1_024, 'Number of processors, or fraction of one processor, that this instance may use.'), 1),
    processor_speed: withDefault(number('times', 0.001, 1_024, 'Speed of these processors relative to those of other instances.'), 1),
    log_level: withDefault(logLevels.meta({ unit: 'level', allowed: 'debug, info, warn or error', description: 'Lowest severity of the log lines that are written.' }), 'info')
  }),
  listen: z.strictObject({
    front: ipAndPort('Address and port that callers connect to.'),
    ready: ipAndPort('Address and port of the readiness check for the platform.'),
    directory: ipAndPort('Address and port of the directory, from which callers get the addresses of instances.'),
    peer_port: port('Port for other instances.'),
    descriptors: withDefault(integer('descriptors', 0, 2 ** 30, 'Descriptors that the process may open; 0 takes the limit that the system states for it. Callers may have connections on 0.6 of them, and each of `ready`, `directory` and `metrics_port` on 0.05; beyond that the one without a request, whose body has stopped, or idle for the longest time is closed.'), 0),
    metrics_port: withDefault(port('Port for metrics and the state dump.'), 9464)
  }),
  platform: z.strictObject({
    store: ipAndPort('Address and port of the platform\'s store.')
  }),
  configuration: z.strictObject({
    apply_within: milliseconds('Time after the acceptance of a configuration within which it has to be in force.'),
    revoke_within: milliseconds('Time after the acceptance of a configuration within which the keys that it removes have to be refused.'),
    strict_revoke: boolean('Whether `revoke_within` also applies to instances that are cut off from configuration updates.')
  }),
  retries: z.strictObject({
    fraction: number('share of requests', 0, 1, 'Retries allowed per request, over all instances.'),
    slack: number('sends', 0, 100_000, 'Retries allowed in addition to `fraction` in each window, over all instances.'),
    window: seconds('Length of the window over which requests and retries are counted.')
  }),
  shutdown: z.strictObject({
    grace: seconds('Time from the signal to shut down until the process is killed.')
  }),
  addresses: z.strictObject({
    time_to_live: withDefault(milliseconds('Time for which callers may cache a response of the directory.'), 800),
    kept_times: withDefault(number('times', 1, 10, 'Callers may cache a response for up to this many times `time_to_live`.'), 3)
  }).prefault({}),
  memory: z.strictObject({
    limit: withDefault(number('MB', 0, 2 ** 20, 'Memory that the process may take, in units of 1,000,000 bytes; 0 reads it from the control group or derives it from the limit of the heap.'), 0),
    bodies: withDefault(integer('bytes', 0, 2 ** 40, 'Bound for the bodies of all requests that are being read or in progress; 0 derives it from the memory of the process as for `unread`. A quarter is kept for bodies of up to 128 KiB, which may take all that larger ones leave; beyond the bound, bodies that are still being read give way with status 503, those of the workspace that holds the most first. There is always room for one body of the full size.'), 0),
    unread: withDefault(integer('bytes', 0, 2 ** 40, 'Bound for what callers together have not read of their responses; 0 derives it from the memory of the process, as its control group or the limit of its heap states it: a twelfth of it, from 16 MiB to 256 MiB, or 64 MiB if neither does.'), 0)
  }).prefault({}),
  weights: z.strictObject({
    apply_within: milliseconds('Time from the announcement of new weights until every request has to begin on them.'),
    load_share: withDefault(number('share of workers', 0, 1, 'Maximum share of the workers of a service that may load weights at the same time.'), 0.286),
    reacquire_after: withDefault(millisecondsOrEmpty(defaultReacquireAfter, 'Time after its last order to a worker within which an instance does not acquire the rollout lease again once another instance may have held it, as orders of two instances must not alternate.'), defaultReacquireAfter)
  })
})

/** Validated settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
