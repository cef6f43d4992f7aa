/**
 * Checks the promise `configForward`: an accepted version becomes active
 * everywhere in time and no instance returns to a lower one. Which publishes
 * were accepted is derived here from all records ever appended, independently
 * of the code under test.
 */
import type { Config } from '../../src/config/configMachine.js'
import type { PublishResult } from '../../src/config/configTypes.js'
import type { LogRecord } from '../../src/ports/logPort.js'
import type { Violation } from './matrixTypes.js'

/** Time within which an accepted version must be active on every instance, in ms. */
export const propagationBound = 4000
/** Age from which an accepted version must be found by the version check of an instance that starts or resumes, in ms. */
const discoveryBound = 2000

/** An accepted publish, derived from the records of the log. */
export interface AcceptedPublish {
  readonly version: number
  readonly id: string
  readonly publisher: string
  /** Log timestamp of the record, in ms. */
  readonly at: number
}

interface PublishPayload { readonly kind: string, readonly id: string, readonly base: number, readonly publisher: string }

/**
 * Derives which publishes were accepted: for each base version, the first record that names it.
 *
 * @param records - all records ever appended, in ascending order of offset
 * @returns the accepted publishes, in ascending order of version
 */
export const deriveAccepted = (records: readonly LogRecord[]): AcceptedPublish[] => {
  const accepted: AcceptedPublish[] = []
  for (const { payload, at } of records) {
    const { kind, id, base, publisher } = payload as PublishPayload
    if (kind === 'publish' && base === accepted.length) accepted.push({ version: base + 1, id, publisher, at })
  }
  return accepted
}

/** Returns the highest version accepted at or before `time`. */
const versionAt = (accepted: readonly AcceptedPublish[], time: number): number => {
  let version = accepted.length
  while (version > 0 && accepted[version - 1].at > time) version--
  return version
}

/** The state of an instance that the checker observes. */
export interface ObservedInstance {
  readonly id: string
  readonly config: Config
  /** Time at which its process last started or resumed, in ms. */
  readonly since: number
  /** The highest version observed on this process. */
  highestVersion: number
  /** Time at which `highestVersion` was first observed, in ms. */
  highestVersionSince: number
}

/** The fault conditions of an instance at a point in time. */
export interface InstanceConditions {
  /** Time at which the last fault of its process or its links ended, in ms; Infinity while one lasts. */
  readonly faultFreeSince: number
  /** Whether it can reach neither the log nor a peer, or could not until less than a tick ago. */
  readonly isolated: boolean
  /** Whether a version has been available in the fleet since `time`: because some instance could reach the log, or because some fault-free instance had the version active. */
  readonly isDiscoverable: (version: number, time: number) => boolean
}

/** Observes a session and collects violations of the promise. */
export interface ConfigChecker {
  /** Checks an instance at the time `now` in ms. */
  readonly observe: (instance: ObservedInstance, conditions: InstanceConditions, now: number) => void
  /** Records the result that the operator of publish `id` received. */
  readonly result: (id: string, result: PublishResult) => void
  /** Checks the recorded results and the final state of all instances; returns all violations. */
  readonly finish: (instances: readonly ObservedInstance[], now: number) => readonly Violation[]
}

/**
 * Creates a checker of `configForward`.
 *
 * @param appended - all records ever appended; the array grows during the session
 * @returns the checker
 */
export const createConfigChecker = (appended: readonly LogRecord[]): ConfigChecker => {
  const violations: Violation[] = []
  const results: { readonly id: string, readonly result: PublishResult }[] = []
  let accepted: AcceptedPublish[] = []
  let processedRecords = 0

  const refresh = (): void => {
    if (processedRecords === appended.length) return
    accepted = deriveAccepted(appended)
    processedRecords = appended.length
  }

  const addViolation = (detail: string): void => {
    if (violations.length < 20) violations.push({ promise: 'configForward', detail })
  }

  const observe = (instance: ObservedInstance, { faultFreeSince, isolated, isDiscoverable }: InstanceConditions, now: number): void => {
    refresh()
    const version = instance.config.current()?.version ?? 0
    if (version < instance.highestVersion) addViolation(`${instance.id} went from version ${instance.highestVersion} to ${version} at ${now}`)
    if (version > accepted.length) addViolation(`${instance.id} has version ${version}, but the log has accepted only ${accepted.length}`)
    if (version > instance.highestVersion) {
      instance.highestVersion = version
      instance.highestVersionSince = now
    }
    const dueSince = now - propagationBound
    const dueVersion = versionAt(accepted, dueSince)
    if (faultFreeSince <= dueSince && version < dueVersion && isDiscoverable(dueVersion, dueSince)) addViolation(`${instance.id} has version ${version} at ${now} although ${dueVersion} should be active by then`)
    const discoverySince = Math.min(instance.since, now) - discoveryBound
    const discoverableVersion = versionAt(accepted, discoverySince)
    if (instance.config.ready(now) && !isolated && version < discoverableVersion && isDiscoverable(discoverableVersion, discoverySince)) addViolation(`${instance.id} serves version ${version} at ${now} although ${discoverableVersion} was accepted before it started or resumed`)
  }

  const checkResult = (id: string, result: PublishResult): void => {
    const own = accepted.find(each => each.id === id)
    switch (result.kind) {
      case 'accepted':
        if (own?.version !== result.version) addViolation(`${id} was reported as accepted as version ${result.version}, but the log has ${own?.version ?? 'none'}`)
        return
      case 'conflict': {
        const last = accepted.at(-1)
        if (own !== undefined) addViolation(`${id} was reported as a conflict but was accepted as version ${own.version}`)
        if (last === undefined || !accepted.some(each => each.publisher === result.winner)) addViolation(`${id} was reported as a conflict with ${result.winner}, who has no accepted publish`)
        return
      }
      case 'unavailable':
        if (own !== undefined && result.outcome === 'notRun') addViolation(`${id} was reported as not run but was accepted as version ${own.version}`)
        return
      case 'invalid':
      case 'forbidden': addViolation(`${id} was refused as ${result.kind}`)
    }
  }

  const finish = (instances: readonly ObservedInstance[], now: number): readonly Violation[] => {
    refresh()
    for (const { id, result } of results) checkResult(id, result)
    const last = accepted.at(-1)
    if (last === undefined) addViolation('no publish was accepted')
    for (const { id, config } of instances) {
      const version = config.current()?.version ?? 0
      if (version !== accepted.length) addViolation(`${id} ends with version ${version}, but the log with ${accepted.length}`)
      if (!config.ready(now)) addViolation(`${id} is not ready at the end`)
    }
    const digests = new Set(instances.map(({ config }) => config.dump().digest))
    if (digests.size > 1) addViolation('instances end with different texts')
    return violations
  }

  return { observe, result: (id, result) => { results.push({ id, result }) }, finish }
}
