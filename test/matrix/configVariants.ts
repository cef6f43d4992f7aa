/** Variants of the configuration feature with one deliberate defect each, built as wrappers of the correct one, to test the checkers. */
import { createConfig } from '../../src/config/configMachine.js'
import type { Config, ConfigMachineEffect, ConfigMachineInput } from '../../src/config/configMachine.js'
import type { ConfigOptions } from '../../src/config/configDb.js'
import type { LogInput } from '../../src/ports/logPort.js'
import type { PromiseName } from './matrixTypes.js'

/** The defective variants, each with the promise that it violates. */
export const configVariants = {
  ignoresBase: 'configForward',
  snapshotLowersVersion: 'configForward',
  trustsLostAnswer: 'configForward',
  trustsAnswer: 'configForward',
  withoutSpreading: 'configForward',
  withoutWakeCheck: 'configForward',
  withoutSnapshots: 'configForward'
} as const satisfies Record<string, PromiseName>

type RecordsInput = Extract<LogInput, { kind: 'log.records' }>
interface Payload { readonly kind: string, readonly base?: number, readonly history?: readonly { version: number }[], readonly through?: number }

const payloadOf = (payload: unknown): Payload => payload as Payload

const versionOf = (config: Config): number => config.current()?.version ?? 0

/** Replaces the input handler of a configuration feature. */
const wrap = (config: Config, handle: Config['handle']): Config => ({ ...config, handle })

/** Defect: accepts every publish as if it named the current version as its base. */
const ignoreBase = (config: Config): Config => wrap(config, (input, now) => {
  if (input.kind !== 'log.records') return config.handle(input, now)
  let version = versionOf(config)
  const records = input.records.map(record => {
    const payload = payloadOf(record.payload)
    if (payload.kind !== 'publish' || record.offset < Number(config.dump().cursor)) return record
    return { ...record, payload: { ...payload, base: version++ } }
  })
  return config.handle({ ...input, records }, now)
})

/** Defect: restarts from a snapshot that it reads even if the snapshot has a lower version. */
const restartFromOlderSnapshots = (options: ConfigOptions): Config => {
  let config = createConfig(options)
  const restartFrom = (input: RecordsInput, now: number): readonly ConfigMachineEffect[] => {
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

/** Defect: reports the result of a publish from the log's answer to the append, without reading it back. */
const trustLogResult = (config: Config, trusted: 'log.failed' | 'log.appended'): Config => {
  const appends = new Map<number, number>()
  let request = 0
  const answer = (input: ConfigMachineInput): ConfigMachineEffect[] => {
    if (input.kind !== trusted || !appends.has(input.token)) return []
    const appendedRequest = appends.get(input.token) ?? 0
    return trusted === 'log.failed'
      ? [{ kind: 'config.published', request: appendedRequest, result: { kind: 'unavailable', retryAfter: 60_000, outcome: 'notRun' } }]
      : [{ kind: 'config.published', request: appendedRequest, result: { kind: 'accepted', version: versionOf(config) + 1 } }]
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

/** Defect: omits some effects, such as all messages to peers or all snapshots. */
const withoutEffects = (config: Config, isOmitted: (effect: ConfigMachineEffect) => boolean): Config =>
  wrap(config, (input, now) => config.handle(input, now).filter(effect => !isOmitted(effect)))

/** Defect: is ready with any version, without checking whether it missed one. */
const serveUnchecked = (config: Config): Config => ({ ...config, ready: () => config.current() !== undefined })

/**
 * Creates a configuration feature, correct or with a defect.
 *
 * @param variant - the name of a defective variant; any other name, such as `sound`, creates the correct feature
 * @param options - options of the feature
 * @returns the feature
 */
export const createConfigVariant = (variant: string, options: ConfigOptions): Config => {
  switch (variant as keyof typeof configVariants) {
    case 'ignoresBase': return ignoreBase(createConfig(options))
    case 'snapshotLowersVersion': return restartFromOlderSnapshots(options)
    case 'trustsLostAnswer': return trustLogResult(createConfig(options), 'log.failed')
    case 'trustsAnswer': return trustLogResult(createConfig(options), 'log.appended')
    case 'withoutSpreading': return withoutEffects(createConfig(options), effect => effect.kind === 'peer.send')
    case 'withoutWakeCheck': return serveUnchecked(createConfig(options))
    case 'withoutSnapshots': return withoutEffects(createConfig(options), effect => effect.kind === 'log.append' && payloadOf(effect.payload).kind === 'snapshot')
    default: return createConfig(options)
  }
}
