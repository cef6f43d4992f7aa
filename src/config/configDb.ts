/** State of the configuration feature on one instance: the active version, the versions of peers and the pending version check. */
import { createRuleset } from '../rules/rulesMatcher.js'
import { parseRules } from '../rules/rulesParser.js'
import { initialFoldState } from './configFold.js'
import type { FoldState, VersionStep } from './configFold.js'
import type { CurrentConfig, PeerVersion, Publication } from './configTypes.js'
import type { Hash } from '../hash.js'
import type { Random } from '../random.js'
import type { Ruleset } from '../rules/rulesTypes.js'

/** Dependencies and settings that the process passes to the configuration feature. */
export interface ConfigOptions {
  /** Id of this instance. */
  readonly self: string
  readonly hash: Hash
  readonly random: Random
  /** How long the log retains records, in ms. */
  readonly retention: number
}

/** A pending check whether this instance missed a version before it started or while it was paused. */
export interface VersionCheck {
  /** Time at which the check began, in ms. */
  readonly since: number
  /** Sent with each request of this check. Only replies that carry it count, so messages buffered during the pause do not. */
  readonly correlationId: number
  /** Ids of the peers that have replied. */
  readonly responders: Set<string>
  /** Time of the next request to peers, in ms. */
  nextRequestAt: number
}

/** The last digest received from another instance. */
export interface PeerState extends PeerVersion {
  /** False while that instance has a version check of its own pending. */
  readonly fresh: boolean
}

/** State of the configuration feature. */
export interface ConfigDb {
  readonly options: ConfigOptions
  /** The active revision and the position in the log up to which it is folded. */
  fold: FoldState
  /** Hash of the active text, 16 hexadecimal digits. */
  digest: string
  /** The rules of the highest version that this software could parse. */
  ruleset: Ruleset | undefined
  /** Version of `ruleset`. */
  rulesetVersion: number
  /** The configuration exposed to callers; undefined until rules could be parsed. */
  current: CurrentConfig | undefined
  /** Whether the rules of the active version could be parsed. */
  understood: boolean
  /** The most recent consecutive steps, in ascending order; the last one made the active version. */
  steps: VersionStep[]
  /** Ids of the other live instances. */
  peers: readonly string[]
  /** Last digest of each peer, by its id. */
  readonly versions: Map<string, PeerState>
  /** The version check in progress, if there is one. */
  check: VersionCheck | undefined
  /** Time of the last input, in ms. */
  lastInputAt: number | undefined
  /** Log timestamp of the newest known snapshot, in ms; 0 if none is known. */
  snapshotAt: number
  /** Send time of the latest read that reached the end of the log, in ms. */
  caughtUpAt: number
  /** Token of the next log operation. Starts at a random number, so that a log answer addressed to another process matches no operation of this one. */
  nextToken: number
  /** Number of messages discarded because they did not match their schema or the state. */
  dropped: number
}

/** Upper bound of the random first token. */
const maxFirstToken = 2 ** 30
/** Maximum number of steps kept to send to peers. */
const maxSteps = 64
/** Maximum total size of the steps kept to send to peers, in characters. */
const maxStepsSize = 256 * 1024

/**
 * Computes the digest by which instances compare their texts.
 *
 * @param hash - the hash functions
 * @param lines - the lines of the text
 * @returns the 64-bit hash as 16 hexadecimal digits
 */
export const computeDigest = (hash: Hash, lines: readonly string[]): string =>
  hash.h64(lines.join('\n')).toString(16).padStart(16, '0')

/**
 * Creates the initial state: version 0, no rules and no known peers.
 *
 * @param options - dependencies and settings of the process
 * @returns the state
 */
export const createConfigDb = (options: ConfigOptions): ConfigDb => ({
  options,
  fold: initialFoldState,
  digest: computeDigest(options.hash, []),
  ruleset: undefined,
  rulesetVersion: 0,
  current: undefined,
  understood: true,
  steps: [],
  peers: [],
  versions: new Map(),
  check: undefined,
  lastInputAt: undefined,
  snapshotAt: 0,
  caughtUpAt: -Infinity,
  nextToken: 1 + options.random.below(maxFirstToken),
  dropped: 0
})

/**
 * Returns the active version.
 *
 * @param db - the feature's state
 * @returns the version, 0 if there is none
 */
export const activeVersion = (db: ConfigDb): number => db.fold.revision.version

/**
 * Returns the publish that made the active version.
 *
 * @param db - the feature's state
 * @returns the publish, or undefined at version 0
 */
export const lastPublication = (db: ConfigDb): Publication | undefined => db.fold.revision.history.at(-1)

/**
 * Returns the last log offset that the active version is known to account for.
 *
 * @param db - the feature's state
 * @returns the offset before the cursor; if the instance lost its position in the log, that of the record that made the active version, or -1 at version 0
 */
export const lastFoldedOffset = (db: ConfigDb): number =>
  db.fold.anchored ? db.fold.cursor - 1 : lastPublication(db)?.offset ?? -1

/**
 * Estimates the size of a step when it is sent to a peer.
 *
 * @param step - the step
 * @returns the approximate size in characters
 */
export const stepSize = (step: VersionStep): number =>
  step.patch.reduce((size, hunk) => size + 16 + hunk.insert.reduce((sum, line) => sum + line.length + 3, 0), 96)

const storeSteps = (db: ConfigDb, steps: readonly VersionStep[]): void => {
  const kept = [...db.steps, ...steps].slice(-maxSteps)
  const chainStart = kept.findLastIndex((step, index) => index > 0 && step.publication.version !== kept[index - 1].publication.version + 1)
  const chain = chainStart > 0 ? kept.slice(chainStart) : kept
  let size = 0
  const lastDropped = chain.findLastIndex(step => (size += stepSize(step)) > maxStepsSize)
  const remaining = chain.slice(lastDropped + 1)
  db.steps = remaining.at(-1)?.publication.version === activeVersion(db) ? remaining : []
}

const readRules = (db: ConfigDb): void => {
  const text = `${db.fold.revision.lines.join('\n')}\n`
  const parsed = parseRules(text, db.ruleset?.rules)
  db.understood = parsed.isOk()
  if (parsed.isOk()) {
    db.ruleset = createRuleset(parsed.value)
    db.rulesetVersion = activeVersion(db)
  }
  const publication = lastPublication(db)
  if (db.ruleset === undefined || publication === undefined) return
  const { version, publisher, at } = publication
  db.current = { version, ruleset: db.ruleset, rulesetVersion: db.rulesetVersion, text, publisher, at }
}

/**
 * Replaces the fold state and, if its version is higher, activates that version.
 * A fold state with a lower version is ignored, so the active version never decreases.
 *
 * @param db - the feature's state, which is updated
 * @param fold - the new fold state
 * @param steps - the steps from the active version to the new one, empty if unknown
 * @returns whether a higher version became active
 */
export const activateFold = (db: ConfigDb, fold: FoldState, steps: readonly VersionStep[]): boolean => {
  const before = activeVersion(db)
  if (fold.revision.version < before) return false
  db.fold = fold
  db.snapshotAt = Math.max(db.snapshotAt, fold.snapshotAt ?? 0)
  if (fold.revision.version === before) return false
  db.digest = computeDigest(db.options.hash, fold.revision.lines)
  storeSteps(db, steps)
  readRules(db)
  return true
}
