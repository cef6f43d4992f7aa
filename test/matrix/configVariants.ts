/** Deliberately broken configuration features, each with one defect, built around the sound one. */
import { createConfig } from '../../src/config/configMachine.js'
import type { Config, ConfigMachineEffect, ConfigMachineInput } from '../../src/config/configMachine.js'
import type { ConfigOptions } from '../../src/config/configDb.js'
import type { LogInput } from '../../src/ports/logPort.js'
import type { PromiseName } from './matrixTypes.js'

/** The broken variants and the promise that each breaks. */
export const configVariants = {
  ignoresBase: 'configForward',
  snapshotLowersVersion: 'configForward',
  trustsLostAnswer: 'configForward',
  trustsAnswer: 'configForward',
  withoutSpreading: 'configForward',
  withoutWakeCheck: 'configForward',
  withoutSnapshots: 'configForward'
} as const satisfies Record<string, PromiseName>

type Records = Extract<LogInput, { kind: 'log.records' }>
interface Payload { readonly kind: string, readonly base?: number, readonly history?: readonly { version: number }[], readonly through?: number }

const payloadOf = (payload: unknown): Payload => payload as Payload

const versionOf = (config: Config): number => config.current()?.version ?? 0

/** Wraps what goes in and comes out of a sound feature. */
const wrap = (config: Config, handle: Config['handle']): Config => ({ ...config, handle })

/** Takes every publish as if it named the current version. */
const ignoringBase = (config: Config): Config => wrap(config, (input, now) => {
  if (input.kind !== 'log.records') return config.handle(input, now)
  let version = versionOf(config)
  const records = input.records.map(record => {
    const payload = payloadOf(record.payload)
    if (payload.kind !== 'publish' || record.offset < Number(config.dump().cursor)) return record
    return { ...record, payload: { ...payload, base: version++ } }
  })
  return config.handle({ ...input, records }, now)
})

/** Starts anew from any snapshot that it reads, also from an older one. */
const loweredBySnapshots = (options: ConfigOptions): Config => {
  let config = createConfig(options)
  const restartFrom = (input: Records, now: number): readonly ConfigMachineEffect[] => {
    const snapshot = input.records.find(record => payloadOf(record.payload).kind === 'snapshot')
    if (snapshot !== undefined && (payloadOf(snapshot.payload).history?.at(-1)?.version ?? 0) < versionOf(config)) {
      config = createConfig(options)
      const through = payloadOf(snapshot.payload).through ?? -1
      config.handle({ ...input, records: [{ ...snapshot, offset: through + 1 }], first: through + 1, end: through + 2 }, now)
    }
    return config.handle(input, now)
  }
  return {
    handle: (input, now) => input.kind === 'log.records' ? restartFrom(input, now) : config.handle(input, now),
    current: () => config.current(),
    versionOf: instance => config.versionOf(instance),
    ready: now => config.ready(now),
    history: () => config.history(),
    dump: () => config.dump()
  }
}

/** Answers operators by the log's answer to the append alone. */
const trusting = (config: Config, trusted: 'log.failed' | 'log.appended'): Config => {
  const appends = new Map<number, number>()
  let request = 0
  const answer = (input: ConfigMachineInput): ConfigMachineEffect[] => {
    if (input.kind !== trusted || !appends.has(input.token)) return []
    const named = appends.get(input.token) ?? 0
    return trusted === 'log.failed'
      ? [{ kind: 'config.published', request: named, result: { kind: 'unavailable', retryAfter: 60_000, outcome: 'notRun' } }]
      : [{ kind: 'config.published', request: named, result: { kind: 'accepted', version: versionOf(config) + 1 } }]
  }
  return wrap(config, (input, now) => {
    if (input.kind === 'config.publish') request = input.request
    const effects = [...answer(input), ...config.handle(input, now)]
    for (const effect of effects) {
      if (effect.kind === 'log.append' && payloadOf(effect.payload).kind === 'publish') appends.set(effect.token, request)
    }
    return effects
  })
}

/** Leaves out some effects. */
const without = (config: Config, left: (effect: ConfigMachineEffect) => boolean): Config =>
  wrap(config, (input, now) => config.handle(input, now).filter(effect => !left(effect)))

/** Serves whatever it has, whether it may have missed a version or not. */
const servingUnchecked = (config: Config): Config => ({ ...config, ready: () => config.current() !== undefined })

/**
 * Creates a configuration feature.
 *
 * @param variant - `sound` or the name of a broken variant
 * @param options - as for the sound one
 */
export const createConfigVariant = (variant: string, options: ConfigOptions): Config => {
  switch (variant as keyof typeof configVariants) {
    case 'ignoresBase': return ignoringBase(createConfig(options))
    case 'snapshotLowersVersion': return loweredBySnapshots(options)
    case 'trustsLostAnswer': return trusting(createConfig(options), 'log.failed')
    case 'trustsAnswer': return trusting(createConfig(options), 'log.appended')
    case 'withoutSpreading': return without(createConfig(options), effect => effect.kind === 'peer.send')
    case 'withoutWakeCheck': return servingUnchecked(createConfig(options))
    case 'withoutSnapshots': return without(createConfig(options), effect => effect.kind === 'log.append' && payloadOf(effect.payload).kind === 'snapshot')
    default: return createConfig(options)
  }
}
