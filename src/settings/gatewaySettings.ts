/** Schema of the gateway settings file. Units, allowed values and descriptions are generated into `docs/SETTINGS.md`. */
import { z } from 'zod'
import { boolean, host, name, number, withDefault, port, text } from './settingsFields.js'

const seconds = (description: string) => number('s', 0.1, 86_400, description)
const milliseconds = (description: string) => number('ms', 1, 86_400_000, description)
const ipAndPort = (description: string) => text('IP:PORT', /^[\d.]+:\d{1,5}$/, description)

const logLevels = z.enum(['debug', 'info', 'warn', 'error'])

/** Schema of the whole gateway settings file. */
export const gatewaySettingsSchema = z.strictObject({
  instance: z.strictObject({
    id: name('Name of this instance, unique in the fleet.'),
    data_centre: name('Data centre of this instance.'),
    host: host('Address of this instance.'),
    processors: withDefault(number('processors', 0.001, 1_024, 'Part of a processor, or number of processors, that this instance may use.'), 1),
    processor_speed: withDefault(number('times', 0.001, 1_024, 'Speed of these processors, beside those of other instances.'), 1),
    log_level: withDefault(logLevels.meta({ unit: 'level', allowed: 'debug, info, warn or error', description: 'Least severe log lines written.' }), 'info')
  }),
  listen: z.strictObject({
    front: ipAndPort('Where callers connect.'),
    ready: ipAndPort('Where the platform asks whether the instance is ready.'),
    directory: ipAndPort('Where callers ask for addresses.'),
    peer_port: port('Port for other instances.'),
    metrics_port: withDefault(port('Port for metrics and the state dump.'), 9464)
  }),
  platform: z.strictObject({
    store: ipAndPort('Where the platform\'s store is.')
  }),
  configuration: z.strictObject({
    apply_within: milliseconds('Time from the acceptance of a configuration to its being in force.'),
    revoke_within: milliseconds('Time from the acceptance of a configuration to the end of the keys that it takes away.'),
    strict_revoke: boolean('Whether that holds for instances that are cut off, too.')
  }),
  retries: z.strictObject({
    fraction: number('share of requests', 0, 1, 'Repeated sends allowed per request, over all instances.'),
    slack: number('sends', 0, 100_000, 'Repeated sends allowed beside, over all instances.'),
    window: seconds('Window over which they are counted.')
  }),
  shutdown: z.strictObject({
    grace: seconds('Time from the signal to leave until the process is ended.')
  }),
  addresses: z.strictObject({
    time_to_live: withDefault(milliseconds('Time for which callers may keep an answer of the directory.'), 800),
    kept_times: withDefault(number('times', 1, 10, 'Callers keep an answer up to this many times as long.'), 3)
  }).prefault({}),
  weights: z.strictObject({
    apply_within: milliseconds('Time from the naming of weights within which every request has to begin on them.'),
    load_share: withDefault(number('share of workers', 0, 1, 'Workers of a service that may load weights at once.'), 0.286)
  })
})

/** Validated settings of a gateway. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>
