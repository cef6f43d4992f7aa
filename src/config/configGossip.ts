/**
 * Spreads versions between instances. A new version goes as line differences
 * to a few random peers at once, then digests follow in short rounds; whoever
 * hears of a higher version asks for what it lacks. Slow periodic digests
 * repair what the rounds missed.
 */
import { applyStep, takeRevision } from './configFold.js'
import type { Step } from './configFold.js'
import { digestOf, putInForce, sizeOfStep, versionInForce, vouchedThrough } from './configDb.js'
import type { ConfigDb } from './configDb.js'
import type { ConfigChange, ConfigDigest, ConfigMessage, ConfigText } from './configMessages.js'
import type { Revision } from './configTypes.js'
import type { PeerEffect } from '../ports/peerPort.js'

/** Peers that get a new version's differences at once. */
const changeFanout = 6
/** Peers that get a digest in each round after that. */
const roundFanout = 3
/** Rounds of digests after a new version. */
const rounds = 6
/** Ms between rounds. */
const roundInterval = 200
/** Ms between periodic digests to one random peer. */
const gossipInterval = 1000
/** Characters of differences that are sent without being asked for. */
const maxUnaskedSize = 4096
/** Ms after which an unanswered question for a version goes to another peer. */
const wantTimeout = 250
/** Questions for a version after which the others wait for `slowWantTimeout` ms, as the text may be long on the way. */
const quickWants = 6
const slowWantTimeout = 2000
/** Characters of whole texts sent in a ms at most. */
const textRate = 4000

/** An effect of spreading. */
export type GossipEffect = PeerEffect<ConfigMessage>

/** Talks to peers. */
export interface ConfigGossip {
  /** Announces a version that came into force. */
  readonly announce: (now: number) => readonly GossipEffect[]
  readonly tick: (now: number) => readonly GossipEffect[]
  /** Asks `count` random peers for their version; their answers carry `question`, a number from 1. */
  readonly ask: (count: number, question: number) => readonly GossipEffect[]
  /** Takes a message; `changed` tells whether a higher version came into force. */
  readonly take: (from: string, message: ConfigMessage, now: number) => { readonly changed: boolean, readonly effects: readonly GossipEffect[] }
  readonly lost: (from: string) => void
}

interface Want {
  readonly peer: string
  readonly at: number
}

/**
 * Creates a spreader.
 *
 * @param db - the feature's state
 * @returns the spreader
 */
export const createConfigGossip = (db: ConfigDb): ConfigGossip => {
  const { random, hash } = db.options
  let roundsLeft = 0
  let nextRound = Infinity
  let nextGossip = -Infinity
  let want: Want | undefined
  /** Questions since the last version came into force. */
  let wants = 0
  let textReadyAt = -Infinity

  const send = (to: string, message: ConfigMessage): GossipEffect => ({ kind: 'peer.send', to, message })

  /** Distinct random peers, in random order. */
  const pick = (count: number): string[] => {
    const picked = new Set<string>()
    if (db.peers.length <= count) return [...db.peers]
    while (picked.size < count) picked.add(db.peers[random.below(db.peers.length)])
    return [...picked]
  }

  const digest = (ask: number, answers: number): ConfigDigest => ({
    kind: 'config.digest',
    version: versionInForce(db),
    digest: db.digest,
    cursor: db.fold.anchored ? db.fold.cursor : -1,
    fresh: db.check === undefined,
    understood: db.understood,
    snapshotAt: db.snapshotAt,
    ask,
    answers
  })

  const digestsTo = (peers: readonly string[], ask = 0, answers = 0): GossipEffect[] => {
    const message = digest(ask, answers)
    return peers.map(peer => send(peer, message))
  }

  const stepsAfter = (version: number): readonly Step[] | undefined => {
    const index = db.steps.findIndex(step => step.publication.version === version + 1)
    return index < 0 ? undefined : db.steps.slice(index)
  }

  const changeFrom = (from: number, steps: readonly Step[]): ConfigChange => ({
    kind: 'config.change',
    from,
    steps: steps.map(({ patch, publication }) => ({ patch: patch.map(hunk => ({ ...hunk })), publication })),
    digest: db.digest,
    through: vouchedThrough(db)
  })

  const wholeText = (now: number): ConfigText | undefined => {
    const { lines, history } = db.fold.revision
    if (now < textReadyAt || history.length === 0) return undefined
    const size = lines.reduce((sum, line) => sum + line.length + 1, 0)
    textReadyAt = now + size / textRate
    return { kind: 'config.text', lines: [...lines], history: [...history], digest: db.digest, through: vouchedThrough(db) }
  }

  const announce = (now: number): readonly GossipEffect[] => {
    roundsLeft = rounds
    nextRound = now + roundInterval
    const last = db.steps.slice(-1)
    const small = last.length === 1 && sizeOfStep(last[0]) <= maxUnaskedSize
    if (!small) return digestsTo(pick(changeFanout))
    const message = changeFrom(versionInForce(db) - 1, last)
    return pick(changeFanout).map(peer => send(peer, message))
  }

  const waitsForAnswer = (now: number): boolean =>
    want !== undefined && now - want.at < (wants > quickWants ? slowWantTimeout : wantTimeout)

  const requestFrom = (peer: string, whole: boolean, now: number): GossipEffect[] => {
    if (waitsForAnswer(now) && !whole) return []
    wants++
    want = { peer, at: now }
    return [send(peer, { kind: 'config.want', have: versionInForce(db), whole })]
  }

  /** Asks another peer when the one asked before has not answered. */
  const renewWant = (now: number): GossipEffect[] => {
    if (want === undefined || waitsForAnswer(now)) return []
    const ahead = [...db.versions].filter(([, heard]) => heard.version > versionInForce(db)).map(([peer]) => peer)
    want = undefined
    return ahead.length === 0 ? [] : requestFrom(ahead[random.below(ahead.length)], false, now)
  }

  const tick = (now: number): readonly GossipEffect[] => {
    if (now < nextRound && now < nextGossip && want === undefined) return []
    const effects = renewWant(now)
    if (now >= nextRound) {
      roundsLeft--
      nextRound = roundsLeft > 0 ? now + roundInterval : Infinity
      effects.push(...digestsTo(pick(roundFanout)))
    }
    if (now >= nextGossip) {
      nextGossip = now + gossipInterval * (0.8 + 0.4 * random.unit())
      effects.push(...digestsTo(pick(1)))
    }
    return effects
  }

  /** An equal version lets an instance that lost its place in the log find it again. */
  const anchorBy = (message: ConfigDigest): void => {
    if (db.fold.anchored || message.cursor < 0 || message.digest !== db.digest) return
    db.fold = takeRevision(db.fold, db.fold.revision, message.cursor - 1)
  }

  /** Helps a peer that is behind: with the differences if they are short, else by naming the version. */
  const bringUp = (peer: string, version: number, asked: number): readonly GossipEffect[] => {
    const steps = stepsAfter(version)
    const small = steps !== undefined && steps.reduce((size, step) => size + sizeOfStep(step), 0) <= maxUnaskedSize
    if (small) return [send(peer, changeFrom(version, steps))]
    return asked > 0 ? [] : digestsTo([peer])
  }

  const takeDigest = (from: string, message: ConfigDigest, now: number): readonly GossipEffect[] => {
    const { version, understood, fresh } = message
    db.versions.set(from, { version, understood, fresh, at: now })
    db.snapshotAt = Math.max(db.snapshotAt, message.snapshotAt)
    if (fresh && db.check?.question === message.answers) db.check.heard.add(from)
    const own = versionInForce(db)
    const reply = message.ask > 0 ? digestsTo([from], 0, message.ask) : []
    if (version > own) return [...requestFrom(from, false, now), ...reply]
    if (version < own) return [...bringUp(from, version, message.ask), ...reply]
    anchorBy(message)
    return reply
  }

  const takeWant = (from: string, have: number, whole: boolean, now: number): readonly GossipEffect[] => {
    if (have >= versionInForce(db) && !whole) return []
    const steps = whole ? undefined : stepsAfter(have)
    const message = steps === undefined ? wholeText(now) : changeFrom(have, steps)
    return message === undefined ? [] : [send(from, message)]
  }

  const adopt = (revision: Revision, through: number, steps: readonly Step[]): boolean => {
    const offset = revision.history.at(-1)?.offset ?? -1
    const changed = putInForce(db, takeRevision(db.fold, revision, Math.max(through, offset)), steps)
    if (changed) {
      want = undefined
      wants = 0
    }
    return changed
  }

  const takeChange = (from: string, message: ConfigChange, now: number): { changed: boolean, effects: readonly GossipEffect[] } => {
    const own = versionInForce(db)
    const steps = message.steps.filter(step => step.publication.version > own)
    if (steps.length === 0) return { changed: false, effects: [] }
    if (message.from > own) return { changed: false, effects: requestFrom(from, false, now) }
    let revision: Revision | undefined = db.fold.revision
    for (const step of steps) revision = revision && applyStep(revision, step)
    if (revision === undefined || digestOf(hash, revision.lines) !== message.digest) {
      db.dropped++
      return { changed: false, effects: requestFrom(from, true, now) }
    }
    return { changed: adopt(revision, message.through, steps), effects: [] }
  }

  const takeText = ({ lines, history, digest: expected, through }: ConfigText): boolean => {
    if (digestOf(hash, lines) !== expected) {
      db.dropped++
      return false
    }
    return adopt({ version: history[history.length - 1].version, lines, history }, through, [])
  }

  const take: ConfigGossip['take'] = (from, message, now) => {
    switch (message.kind) {
      case 'config.digest': return { changed: false, effects: takeDigest(from, message, now) }
      case 'config.want': return { changed: false, effects: takeWant(from, message.have, message.whole, now) }
      case 'config.change': return takeChange(from, message, now)
      case 'config.text': return { changed: takeText(message), effects: [] }
    }
  }

  return { announce, tick, ask: (count, question) => digestsTo(pick(count), question), take, lost: from => { db.versions.delete(from) } }
}
