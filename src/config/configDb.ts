/** The state of the configuration feature on one instance. */
import { createRuleset } from '../rules/rulesMatcher.js'
import { parseRules } from '../rules/rulesParser.js'
import { emptyFold } from './configFold.js'
import type { Fold, Step } from './configFold.js'
import type { CurrentConfig, PeerVersion, Publication } from './configTypes.js'
import type { Hash } from '../hash.js'
import type { Random } from '../random.js'
import type { Ruleset } from '../rules/rulesTypes.js'

/** What the feature needs from the process. */
export interface ConfigOptions {
  /** This instance's id. */
  readonly self: string
  readonly hash: Hash
  readonly random: Random
  /** How long the log keeps records, in ms. */
  readonly retention: number
}

/** A check for a version that was missed before the start or during a pause. */
export interface MissedCheck {
  /** When it began, in ms. */
  readonly since: number
  /** Carried by its questions; messages that waited through the pause do not answer it. */
  readonly question: number
  /** Peers that have answered. */
  readonly heard: Set<string>
  /** When peers are asked next, in ms. */
  nextAsk: number
}

/** What another instance said last. */
export interface HeardPeer extends PeerVersion {
  readonly fresh: boolean
}

/** The feature's state. */
export interface ConfigDb {
  readonly options: ConfigOptions
  fold: Fold
  /** Hash of the text in force. */
  digest: string
  ruleset: Ruleset | undefined
  rulesetVersion: number
  /** What callers of the feature see; undefined until rules could be read. */
  current: CurrentConfig | undefined
  /** Whether the rules of the version in force could be read. */
  understood: boolean
  /** The last steps, in order, that led to the version in force. */
  steps: Step[]
  peers: readonly string[]
  readonly versions: Map<string, HeardPeer>
  check: MissedCheck | undefined
  /** When the last input came, in ms. */
  lastSeen: number | undefined
  /** The log's time of the newest snapshot known, in ms. */
  snapshotAt: number
  /** When a read that reached the log's end was sent, in ms. */
  caughtUpAt: number
  /** Starts at a random number, so that an answer meant for another process fits no read of this one. */
  nextToken: number
  /** Messages that were left out because they did not fit their schema or the state. */
  dropped: number
}

/** The first token is below this. */
const maxFirstToken = 2 ** 30
/** Differences kept for peers at most. */
const maxSteps = 64
/** Characters of differences kept for peers at most. */
const maxStepsSize = 256 * 1024

/**
 * Hashes a text.
 *
 * @param hash - the hash functions
 * @param lines - the text
 * @returns 16 hexadecimal digits
 */
export const digestOf = (hash: Hash, lines: readonly string[]): string =>
  hash.h64(lines.join('\n')).toString(16).padStart(16, '0')

/**
 * Creates the state of an instance that knows nothing yet.
 *
 * @param options - what the process gives
 * @returns the state
 */
export const createConfigDb = (options: ConfigOptions): ConfigDb => ({
  options,
  fold: emptyFold,
  digest: digestOf(options.hash, []),
  ruleset: undefined,
  rulesetVersion: 0,
  current: undefined,
  understood: true,
  steps: [],
  peers: [],
  versions: new Map(),
  check: undefined,
  lastSeen: undefined,
  snapshotAt: 0,
  caughtUpAt: -Infinity,
  nextToken: 1 + options.random.below(maxFirstToken),
  dropped: 0
})

/**
 * The version in force.
 *
 * @param db - the state
 * @returns the version, 0 if there is none
 */
export const versionInForce = (db: ConfigDb): number => db.fold.revision.version

/**
 * The publish that made the version in force.
 *
 * @param db - the state
 * @returns the publish, or undefined at version 0
 */
export const lastPublication = (db: ConfigDb): Publication | undefined => db.fold.revision.history.at(-1)

/**
 * The last offset up to which this instance vouches for the version in force.
 *
 * @param db - the state
 * @returns an offset
 */
export const vouchedThrough = (db: ConfigDb): number =>
  db.fold.anchored ? db.fold.cursor - 1 : lastPublication(db)?.offset ?? -1

/**
 * The size of a step in characters.
 *
 * @param step - the step
 * @returns its size, roughly
 */
export const sizeOfStep = (step: Step): number =>
  step.patch.reduce((size, hunk) => size + 16 + hunk.insert.reduce((sum, line) => sum + line.length + 3, 0), 96)

const rememberSteps = (db: ConfigDb, steps: readonly Step[]): void => {
  const kept = [...db.steps, ...steps].slice(-maxSteps)
  const follows = kept.findLastIndex((step, index) => index > 0 && step.publication.version !== kept[index - 1].publication.version + 1)
  const chain = follows > 0 ? kept.slice(follows) : kept
  let size = 0
  const cut = chain.findLastIndex(step => (size += sizeOfStep(step)) > maxStepsSize)
  const rest = chain.slice(cut + 1)
  db.steps = rest.at(-1)?.publication.version === versionInForce(db) ? rest : []
}

const readRules = (db: ConfigDb): void => {
  const text = `${db.fold.revision.lines.join('\n')}\n`
  const parsed = parseRules(text, db.ruleset?.rules)
  db.understood = parsed.isOk()
  if (parsed.isOk()) {
    db.ruleset = createRuleset(parsed.value)
    db.rulesetVersion = versionInForce(db)
  }
  const publication = lastPublication(db)
  if (db.ruleset === undefined || publication === undefined) return
  const { version, publisher, at } = publication
  db.current = { version, ruleset: db.ruleset, rulesetVersion: db.rulesetVersion, text, publisher, at }
}

/**
 * Puts a fold in force. The version never goes down.
 *
 * @param db - the state
 * @param fold - the new place
 * @param steps - the steps that led there from the version in force, if known
 * @returns whether a higher version came into force
 */
export const putInForce = (db: ConfigDb, fold: Fold, steps: readonly Step[]): boolean => {
  const before = versionInForce(db)
  if (fold.revision.version < before) return false
  db.fold = fold
  db.snapshotAt = Math.max(db.snapshotAt, fold.snapshotAt ?? 0)
  if (fold.revision.version === before) return false
  db.digest = digestOf(db.options.hash, fold.revision.lines)
  rememberSteps(db, steps)
  readRules(db)
  return true
}
