/**
 * Checks `configForward` from the log's own record: which publishes counted is
 * worked out here from all that was ever appended, apart from the code under
 * test.
 */
import type { Config } from '../../src/config/configMachine.js'
import type { PublishResult } from '../../src/config/configTypes.js'
import type { LogRecord } from '../../src/ports/logPort.js'
import type { Violation } from './matrixTypes.js'

/** Ms within which an accepted version must be in force. */
export const forceBound = 4000
/** Ms that a version may need to be found by an instance that asks for it. */
const checkBound = 2000

/** A publish that counted, by the log's record. */
export interface Accepted {
  readonly version: number
  readonly id: string
  readonly publisher: string
  readonly at: number
}

interface PublishPayload { readonly kind: string, readonly id: string, readonly base: number, readonly publisher: string }

/**
 * Works out which publishes counted.
 *
 * @param records - everything ever appended
 */
export const acceptedOf = (records: readonly LogRecord[]): Accepted[] => {
  const accepted: Accepted[] = []
  for (const { payload, at } of records) {
    const { kind, id, base, publisher } = payload as PublishPayload
    if (kind === 'publish' && base === accepted.length) accepted.push({ version: base + 1, id, publisher, at })
  }
  return accepted
}

const versionAt = (accepted: readonly Accepted[], time: number): number => {
  let version = accepted.length
  while (version > 0 && accepted[version - 1].at > time) version--
  return version
}

/** What the checker sees of an instance. */
export interface Watched {
  readonly id: string
  readonly config: Config
  /** When its process last started or woke, in ms. */
  readonly since: number
  /** The highest version seen of this process, and when it was first seen, in ms. */
  highest: number
  highestSince: number
}

/** How an instance fares at a time. */
export interface Circumstances {
  /** When the last fault on its process or its links ended, in ms; Infinity while one lasts. */
  readonly undisturbedSince: number
  /** Whether it reaches neither the log nor a peer. */
  readonly alone: boolean
  /** Whether someone could know a version since a time: by the log, or because an instance had it in force. */
  readonly knowable: (version: number, time: number) => boolean
}

/** Collects violations as the session goes. */
export interface ConfigChecker {
  readonly watch: (instance: Watched, circumstances: Circumstances, now: number) => void
  readonly result: (id: string, result: PublishResult) => void
  readonly finish: (instances: readonly Watched[], now: number) => readonly Violation[]
}

/**
 * Creates a checker.
 *
 * @param appended - everything ever appended, growing
 */
export const createConfigChecker = (appended: readonly LogRecord[]): ConfigChecker => {
  const violations: Violation[] = []
  const results: { readonly id: string, readonly result: PublishResult }[] = []
  let accepted: Accepted[] = []
  let counted = 0

  const refresh = (): void => {
    if (counted === appended.length) return
    accepted = acceptedOf(appended)
    counted = appended.length
  }

  const violate = (detail: string): void => {
    if (violations.length < 20) violations.push({ promise: 'configForward', detail })
  }

  const watch = (instance: Watched, { undisturbedSince, alone, knowable }: Circumstances, now: number): void => {
    refresh()
    const version = instance.config.current()?.version ?? 0
    if (version < instance.highest) violate(`${instance.id} went from version ${instance.highest} to ${version} at ${now}`)
    if (version > accepted.length) violate(`${instance.id} has version ${version}, the log only ${accepted.length}`)
    if (version > instance.highest) {
      instance.highest = version
      instance.highestSince = now
    }
    const bound = now - forceBound
    const due = versionAt(accepted, bound)
    if (undisturbedSince <= bound && version < due && knowable(due, bound)) violate(`${instance.id} has version ${version} at ${now}, ${due} is due`)
    const asked = Math.min(instance.since, now) - checkBound
    const known = versionAt(accepted, asked)
    if (instance.config.ready(now) && !alone && version < known && knowable(known, asked)) violate(`${instance.id} serves version ${version} at ${now} though ${known} was in force before it woke`)
  }

  const checkResult = (id: string, result: PublishResult): void => {
    const own = accepted.find(each => each.id === id)
    switch (result.kind) {
      case 'accepted':
        if (own?.version !== result.version) violate(`${id} was told version ${result.version}, the log has ${own?.version ?? 'none'}`)
        return
      case 'conflict': {
        const last = accepted.at(-1)
        if (own !== undefined) violate(`${id} was told of a conflict but is version ${own.version}`)
        if (last === undefined || !accepted.some(each => each.publisher === result.winner)) violate(`${id} was told of the winner ${result.winner}, who won nothing`)
        return
      }
      case 'unavailable':
        if (own !== undefined && result.outcome === 'notRun') violate(`${id} was told that it did not run but is version ${own.version}`)
        return
      case 'invalid':
      case 'forbidden': violate(`${id} was refused as ${result.kind}`)
    }
  }

  const finish = (instances: readonly Watched[], now: number): readonly Violation[] => {
    refresh()
    for (const { id, result } of results) checkResult(id, result)
    const last = accepted.at(-1)
    if (last === undefined) violate('nothing was accepted')
    for (const { id, config } of instances) {
      const version = config.current()?.version ?? 0
      if (version !== accepted.length) violate(`${id} ends with version ${version}, the log with ${accepted.length}`)
      if (!config.ready(now)) violate(`${id} ends without being ready`)
    }
    const digests = new Set(instances.map(({ config }) => config.dump().digest))
    if (digests.size > 1) violate('instances end with different texts')
    return violations
  }

  return { watch, result: (id, result) => { results.push({ id, result }) }, finish }
}
