/**
 * Keeps the rules of this instance up to date: follows the log, exchanges
 * versions with other instances, publishes for operators and appends snapshots.
 * An instance that has just started, or that was paused, is not ready until it
 * has checked whether it missed a version.
 */
import { activeVersion, createConfigDb, lastPublication } from './configDb.js'
import { createConfigFollower } from './configFollower.js'
import { configMessageSchema } from './configMessages.js'
import { createConfigPublisher } from './configPublisher.js'
import { createConfigSnapshots } from './configSnapshots.js'
import { createConfigGossip } from './configGossip.js'
import type { ConfigDb, ConfigOptions, VersionCheck } from './configDb.js'
import type { ConfigMessage } from './configMessages.js'
import type { ConfigEffect, ConfigInput, CurrentConfig, PeerVersion, Publication } from './configTypes.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'

/** Time without any input after which the process counts as paused, in ms. */
export const pauseThreshold = 1000
/** Time after which a version check ends without enough answers, in ms; the instance then serves the version it has. */
const checkTimeout = 3000
/** Interval between requests to peers during a version check, in ms. */
const checkRetryInterval = 250
/** Number of peers asked at a time during a version check, and number of replies that complete it. */
const checkPeers = 3
/** Correlation ids of requests to peers are random numbers from 1 to this. */
const maxCorrelationId = 2 ** 30

/** Inputs of the configuration feature. */
export type ConfigMachineInput = ConfigInput | LogInput | PeerInput | Tick
/** Effects of the configuration feature. */
export type ConfigMachineEffect = ConfigEffect | LogEffect | PeerEffect<ConfigMessage>

/** The configuration feature of one instance. */
export interface Config {
  /** Handles an input at the time `now` in ms and returns its effects. */
  readonly handle: (input: ConfigMachineInput, now: number) => readonly ConfigMachineEffect[]
  /** Returns the active configuration, or undefined if there is none. */
  readonly current: () => CurrentConfig | undefined
  /** Returns the last known version of an instance, this one included, or undefined if none is known. */
  readonly versionOf: (instance: string) => PeerVersion | undefined
  /** Whether requests may be served under the current rules. */
  readonly ready: (now: number) => boolean
  /** Returns the most recent accepted publishes, in ascending order. */
  readonly history: () => readonly Publication[]
  /** Returns the state for debugging. */
  readonly dump: () => Readonly<Record<string, unknown>>
}

/** Whether a version check is complete: the end of the log was read since it began, enough peers replied and none has a higher version, or it timed out with no higher version known. */
const isCheckComplete = (db: ConfigDb, check: VersionCheck, now: number): boolean => {
  if (db.caughtUpAt >= check.since) return true
  if ([...db.versions.values()].some(({ version }) => version > activeVersion(db))) return false
  if (check.responders.size >= Math.min(checkPeers, db.peers.length) && check.responders.size > 0) return true
  return now - check.since >= checkTimeout
}

/** Whether this software cannot parse the rules of the active version while some peer can parse them or those of a higher version. */
const isOutdated = (db: ConfigDb): boolean =>
  !db.understood && [...db.versions.values()].some(({ version, understood }) => understood && version >= activeVersion(db))

const dumpOf = (db: ConfigDb, publishing: number): Readonly<Record<string, unknown>> => ({
  version: activeVersion(db),
  digest: db.digest,
  rulesetVersion: db.rulesetVersion,
  understood: db.understood,
  lines: db.fold.revision.lines.length,
  cursor: db.fold.cursor,
  anchored: db.fold.anchored,
  snapshotAt: db.snapshotAt,
  caughtUpAt: Number.isFinite(db.caughtUpAt) ? db.caughtUpAt : null,
  checking: db.check === undefined ? null : { since: db.check.since, heard: db.check.responders.size },
  stepsKept: db.steps.length,
  peers: db.peers.length,
  peersHeard: db.versions.size,
  dropped: db.dropped,
  publishing,
  history: db.fold.revision.history.slice(-8)
})

/**
 * Creates the configuration feature.
 *
 * @param options - dependencies and settings of the process
 * @returns the feature, at version 0 and not ready
 */
export const createConfig = (options: ConfigOptions): Config => {
  const db = createConfigDb(options)
  const follower = createConfigFollower(db)
  const gossip = createConfigGossip(db)
  const publisher = createConfigPublisher(db)
  const snapshots = createConfigSnapshots(db)

  const detectPause = (now: number): void => {
    const paused = db.lastInputAt === undefined || now - db.lastInputAt > pauseThreshold
    db.lastInputAt = now
    if (!paused) return
    db.check = { since: now, correlationId: 1 + options.random.below(maxCorrelationId), responders: new Set(), nextRequestAt: now }
    follower.pollSoon(now)
  }

  const announceChange = (now: number): readonly ConfigMachineEffect[] => [
    { kind: 'config.changed', version: activeVersion(db), publisher: lastPublication(db)?.publisher ?? '' },
    ...gossip.announce(now)
  ]

  const setPeers = (peers: readonly string[]): void => {
    db.peers = peers.filter(peer => peer !== options.self)
    const known = new Set(db.peers)
    for (const peer of db.versions.keys()) if (!known.has(peer)) db.versions.delete(peer)
  }

  const handleRecords = (input: Extract<LogInput, { kind: 'log.records' }>, now: number): readonly ConfigMachineEffect[] =>
    follower.handleRecords(input, now) ? announceChange(now) : []

  const handleLogFailure = (input: Extract<LogInput, { kind: 'log.failed' }>, now: number): readonly ConfigMachineEffect[] => {
    follower.handleFailure(input)
    publisher.answer(input, now)
    return []
  }

  const handleMessage = (from: string, message: unknown, now: number): readonly ConfigMachineEffect[] => {
    const parsed = configMessageSchema.safeParse(message)
    if (!parsed.success) {
      db.dropped++
      return []
    }
    const { changed: versionChanged, effects } = gossip.handleMessage(from, parsed.data, now)
    return versionChanged ? [...effects, ...announceChange(now)] : effects
  }

  const handleInput = (input: ConfigMachineInput, now: number): readonly ConfigMachineEffect[] => {
    switch (input.kind) {
      case 'tick': return []
      case 'config.peers':
        setPeers(input.peers)
        return []
      case 'config.survey': return gossip.ask(db.peers.length, 1 + options.random.below(maxCorrelationId))
      case 'config.publish': return publisher.start(input, now)
      case 'log.records': return handleRecords(input, now)
      case 'log.failed': return handleLogFailure(input, now)
      case 'log.appended':
        publisher.answer(input, now)
        return []
      case 'peer.message': return input.message.kind.startsWith('config.') ? handleMessage(input.from, input.message, now) : []
      case 'peer.lost':
        gossip.lost(input.from)
        return []
    }
  }

  const advanceCheck = (now: number): readonly ConfigMachineEffect[] => {
    const { check } = db
    if (check === undefined) return []
    if (isCheckComplete(db, check, now)) {
      db.check = undefined
      return []
    }
    if (now < check.nextRequestAt) return []
    check.nextRequestAt = now + checkRetryInterval
    return gossip.ask(checkPeers, check.correlationId)
  }

  const handle = (input: ConfigMachineInput, now: number): readonly ConfigMachineEffect[] => {
    detectPause(now)
    const effects = [...handleInput(input, now), ...publisher.advance(now)]
    if (publisher.needsRead()) follower.pollSoon(now)
    effects.push(...advanceCheck(now), ...follower.tick(now))
    if (input.kind === 'tick') effects.push(...gossip.tick(now), ...snapshots.tick(now))
    return effects
  }

  const versionOf = (instance: string): PeerVersion | undefined => {
    if (instance === options.self) return { version: activeVersion(db), understood: db.understood, at: db.lastInputAt ?? 0 }
    return db.versions.get(instance)
  }

  const ready = (now: number): boolean =>
    db.lastInputAt !== undefined && now - db.lastInputAt <= pauseThreshold &&
    db.check === undefined && db.ruleset !== undefined && !isOutdated(db)

  return { handle, current: () => db.current, versionOf, ready, history: () => db.fold.revision.history, dump: () => dumpOf(db, publisher.pending()) }
}
