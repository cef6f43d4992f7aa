/**
 * Keeps the rules in force: follows the log, spreads versions between
 * instances, publishes for operators and re-appends snapshots. An instance that
 * has just started, or that was paused, does not serve before it knows whether
 * it missed a version.
 */
import { createConfigDb, lastPublication, versionInForce } from './configDb.js'
import { createConfigFollower } from './configFollower.js'
import { configMessageSchema } from './configMessages.js'
import { createConfigPublisher } from './configPublisher.js'
import { createConfigSnapshots } from './configSnapshots.js'
import { createConfigGossip } from './configGossip.js'
import type { ConfigDb, ConfigOptions, MissedCheck } from './configDb.js'
import type { ConfigMessage } from './configMessages.js'
import type { ConfigEffect, ConfigInput, CurrentConfig, PeerVersion, Publication } from './configTypes.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'
import type { PeerEffect, PeerInput, Tick } from '../ports/peerPort.js'

/** Ms without any input after which the process counts as paused. */
export const pauseThreshold = 1000
/** Ms after which an instance that nobody answers serves what it knows. */
const checkPatience = 3000
/** Ms between questions to peers during a check. */
const askInterval = 250
/** Peers asked at a time during a check, and answers that end it. */
const checkPeers = 3
/** Questions are numbered from 1 to this. */
const maxQuestion = 2 ** 30

/** What the feature takes. */
export type ConfigMachineInput = ConfigInput | LogInput | PeerInput | Tick
/** What the feature asks for. */
export type ConfigMachineEffect = ConfigEffect | LogEffect | PeerEffect<ConfigMessage>

/** The configuration feature of one instance. */
export interface Config {
  readonly handle: (input: ConfigMachineInput, now: number) => readonly ConfigMachineEffect[]
  /** The configuration in force, if there is one. */
  readonly current: () => CurrentConfig | undefined
  /** The version that an instance said it has, this one included. */
  readonly versionOf: (instance: string) => PeerVersion | undefined
  /** Whether requests may be served under the rules at hand. */
  readonly ready: (now: number) => boolean
  /** Accepted publishes that the log still tells of, in ascending order. */
  readonly history: () => readonly Publication[]
  readonly dump: () => Readonly<Record<string, unknown>>
}

/** Whether a check has its answer: the log's end was read, or enough peers know nothing higher. */
const isAnswered = (db: ConfigDb, check: MissedCheck, now: number): boolean => {
  if (db.caughtUpAt >= check.since) return true
  if ([...db.versions.values()].some(({ version }) => version > versionInForce(db))) return false
  if (check.heard.size >= Math.min(checkPeers, db.peers.length) && check.heard.size > 0) return true
  return now - check.since >= checkPatience
}

/** Whether some peer can read a version that this software cannot. */
const isOutdated = (db: ConfigDb): boolean =>
  !db.understood && [...db.versions.values()].some(({ version, understood }) => understood && version >= versionInForce(db))

const dumpOf = (db: ConfigDb, publishing: number): Readonly<Record<string, unknown>> => ({
  version: versionInForce(db),
  digest: db.digest,
  rulesetVersion: db.rulesetVersion,
  understood: db.understood,
  lines: db.fold.revision.lines.length,
  cursor: db.fold.cursor,
  anchored: db.fold.anchored,
  snapshotAt: db.snapshotAt,
  caughtUpAt: Number.isFinite(db.caughtUpAt) ? db.caughtUpAt : null,
  checking: db.check === undefined ? null : { since: db.check.since, heard: db.check.heard.size },
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
 * @param options - what the process gives
 * @returns the feature, which knows nothing yet
 */
export const createConfig = (options: ConfigOptions): Config => {
  const db = createConfigDb(options)
  const follower = createConfigFollower(db)
  const spreader = createConfigGossip(db)
  const publisher = createConfigPublisher(db)
  const snapshots = createConfigSnapshots(db)

  const noticePause = (now: number): void => {
    const paused = db.lastSeen === undefined || now - db.lastSeen > pauseThreshold
    db.lastSeen = now
    if (!paused) return
    db.check = { since: now, question: 1 + options.random.below(maxQuestion), heard: new Set(), nextAsk: now }
    follower.urge(now)
  }

  const changed = (now: number): readonly ConfigMachineEffect[] => [
    { kind: 'config.changed', version: versionInForce(db), publisher: lastPublication(db)?.publisher ?? '' },
    ...spreader.announce(now)
  ]

  const setPeers = (peers: readonly string[]): void => {
    db.peers = peers.filter(peer => peer !== options.self)
    const known = new Set(db.peers)
    for (const peer of db.versions.keys()) if (!known.has(peer)) db.versions.delete(peer)
  }

  const takeRecords = (input: Extract<LogInput, { kind: 'log.records' }>, now: number): readonly ConfigMachineEffect[] =>
    follower.take(input, now) ? changed(now) : []

  const takeFailure = (input: Extract<LogInput, { kind: 'log.failed' }>, now: number): readonly ConfigMachineEffect[] => {
    follower.fail(input)
    publisher.answer(input, now)
    return []
  }

  const takeMessage = (from: string, message: unknown, now: number): readonly ConfigMachineEffect[] => {
    const parsed = configMessageSchema.safeParse(message)
    if (!parsed.success) {
      db.dropped++
      return []
    }
    const { changed: higher, effects } = spreader.take(from, parsed.data, now)
    return higher ? [...effects, ...changed(now)] : effects
  }

  const take = (input: ConfigMachineInput, now: number): readonly ConfigMachineEffect[] => {
    switch (input.kind) {
      case 'tick': return []
      case 'config.peers':
        setPeers(input.peers)
        return []
      case 'config.survey': return spreader.ask(db.peers.length, 1 + options.random.below(maxQuestion))
      case 'config.publish': return publisher.start(input, now)
      case 'log.records': return takeRecords(input, now)
      case 'log.failed': return takeFailure(input, now)
      case 'log.appended':
        publisher.answer(input, now)
        return []
      case 'peer.message': return input.message.kind.startsWith('config.') ? takeMessage(input.from, input.message, now) : []
      case 'peer.lost':
        spreader.lost(input.from)
        return []
    }
  }

  const advanceCheck = (now: number): readonly ConfigMachineEffect[] => {
    const { check } = db
    if (check === undefined) return []
    if (isAnswered(db, check, now)) {
      db.check = undefined
      return []
    }
    if (now < check.nextAsk) return []
    check.nextAsk = now + askInterval
    return spreader.ask(checkPeers, check.question)
  }

  const handle = (input: ConfigMachineInput, now: number): readonly ConfigMachineEffect[] => {
    noticePause(now)
    const effects = [...take(input, now), ...publisher.advance(now)]
    if (publisher.wantsRead()) follower.urge(now)
    effects.push(...advanceCheck(now), ...follower.tick(now))
    if (input.kind === 'tick') effects.push(...spreader.tick(now), ...snapshots.tick(now))
    return effects
  }

  const versionOf = (instance: string): PeerVersion | undefined => {
    if (instance === options.self) return { version: versionInForce(db), understood: db.understood, at: db.lastSeen ?? 0 }
    return db.versions.get(instance)
  }

  const ready = (now: number): boolean =>
    db.lastSeen !== undefined && now - db.lastSeen <= pauseThreshold &&
    db.check === undefined && db.ruleset !== undefined && !isOutdated(db)

  return { handle, current: () => db.current, versionOf, ready, history: () => db.fold.revision.history, dump: () => dumpOf(db, publisher.pending()) }
}
