/**
 * Exchanges versions between instances by gossip. A new version is pushed as a
 * patch to a few random peers at once, followed by rounds of digests at short
 * intervals. An instance that learns of a higher version requests what it
 * lacks. Periodic digests at a longer interval reach instances that the rounds
 * missed (anti-entropy).
 */
import { adoptRevision, applyStep } from './configFold.js'
import type { VersionStep } from './configFold.js'
import { activateFold, activeVersion, computeDigest, lastFoldedOffset, stepSize } from './configDb.js'
import type { ConfigDb } from './configDb.js'
import type { ConfigChange, ConfigDigest, ConfigMessage, ConfigText } from './configMessages.js'
import type { Revision } from './configTypes.js'
import type { PeerEffect } from '../ports/peerPort.js'

/** Number of random peers to which a new version is pushed at once. */
const changeFanout = 6
/** Number of random peers that receive a digest in each round after that. */
const digestFanout = 3
/** Number of digest rounds after a new version. */
const digestRounds = 6
/** Interval between digest rounds, in ms. */
const digestRoundInterval = 200
/** Interval between periodic digests to one random peer, in ms, before jitter. */
const gossipInterval = 1000
/** Maximum size of patches that are sent without a request, in characters. */
const maxPushSize = 4096
/** Time after which an unanswered request for a version is sent to another peer, in ms. */
const wantTimeout = 250
/** Number of requests for a version that use `wantTimeout`; later ones use `slowWantTimeout`, because the text may take long to arrive. */
const maxFastWants = 6
/** Time after which a later unanswered request is sent to another peer, in ms. */
const slowWantTimeout = 2000
/** Maximum rate at which whole texts are sent, in characters per ms. */
const maxTextRate = 4000

/** Effects of the gossip protocol. */
export type GossipEffect = PeerEffect<ConfigMessage>

/** Exchanges versions with peers. */
export interface ConfigGossip {
  /** Announces a version that became active. */
  readonly announce: (now: number) => readonly GossipEffect[]
  /** Returns the messages that are due. */
  readonly tick: (now: number) => readonly GossipEffect[]
  /** Requests the versions of `count` random peers; their replies carry `correlationId`, a number from 1. */
  readonly ask: (count: number, correlationId: number) => readonly GossipEffect[]
  /** Handles a message of a peer; `changed` is true if a higher version became active. */
  readonly handleMessage: (from: string, message: ConfigMessage, now: number) => { readonly changed: boolean, readonly effects: readonly GossipEffect[] }
  /** Removes the known version of a peer whose connection was lost. */
  readonly lost: (from: string) => void
}

/** A request for a version that has not been answered. */
interface PendingWant {
  readonly peer: string
  /** Send time, in ms. */
  readonly at: number
}

/**
 * Creates the gossip protocol of an instance.
 *
 * @param db - the feature's state, which messages update
 * @returns the protocol
 */
export const createConfigGossip = (db: ConfigDb): ConfigGossip => {
  const { random, hash } = db.options
  let roundsLeft = 0
  let nextRound = Infinity
  let nextGossip = -Infinity
  let pendingWant: PendingWant | undefined
  /** Number of requests since a version last became active through a peer. */
  let wantsSent = 0
  let nextTextAt = -Infinity

  const send = (to: string, message: ConfigMessage): GossipEffect => ({ kind: 'peer.send', to, message })

  /** Picks distinct random peers; all peers, in their order, if there are not more than `count`. */
  const pickPeers = (count: number): string[] => {
    const picked = new Set<string>()
    if (db.peers.length <= count) return [...db.peers]
    while (picked.size < count) picked.add(db.peers[random.below(db.peers.length)])
    return [...picked]
  }

  const createDigest = (ask: number, answers: number): ConfigDigest => ({
    kind: 'config.digest',
    version: activeVersion(db),
    digest: db.digest,
    cursor: db.fold.anchored ? db.fold.cursor : -1,
    fresh: db.check === undefined,
    understood: db.understood,
    snapshotAt: db.snapshotAt,
    ask,
    answers
  })

  const sendDigests = (peers: readonly string[], ask = 0, answers = 0): GossipEffect[] => {
    const message = createDigest(ask, answers)
    return peers.map(peer => send(peer, message))
  }

  const stepsAfter = (version: number): readonly VersionStep[] | undefined => {
    const index = db.steps.findIndex(step => step.publication.version === version + 1)
    return index < 0 ? undefined : db.steps.slice(index)
  }

  const createChange = (from: number, steps: readonly VersionStep[]): ConfigChange => ({
    kind: 'config.change',
    from,
    steps: steps.map(({ patch, publication }) => ({ patch: patch.map(hunk => ({ ...hunk })), publication })),
    digest: db.digest,
    through: lastFoldedOffset(db)
  })

  const createText = (now: number): ConfigText | undefined => {
    const { lines, history } = db.fold.revision
    if (now < nextTextAt || history.length === 0) return undefined
    const size = lines.reduce((sum, line) => sum + line.length + 1, 0)
    nextTextAt = now + size / maxTextRate
    return { kind: 'config.text', lines: [...lines], history: [...history], digest: db.digest, through: lastFoldedOffset(db) }
  }

  const announce = (now: number): readonly GossipEffect[] => {
    roundsLeft = digestRounds
    nextRound = now + digestRoundInterval
    const last = db.steps.slice(-1)
    const small = last.length === 1 && stepSize(last[0]) <= maxPushSize
    if (!small) return sendDigests(pickPeers(changeFanout))
    const message = createChange(activeVersion(db) - 1, last)
    return pickPeers(changeFanout).map(peer => send(peer, message))
  }

  const isWantPending = (now: number): boolean =>
    pendingWant !== undefined && now - pendingWant.at < (wantsSent > maxFastWants ? slowWantTimeout : wantTimeout)

  const sendWant = (peer: string, whole: boolean, now: number): GossipEffect[] => {
    if (isWantPending(now) && !whole) return []
    wantsSent++
    pendingWant = { peer, at: now }
    return [send(peer, { kind: 'config.want', have: activeVersion(db), whole })]
  }

  /** Sends an unanswered request to another peer once it has timed out. */
  const retryWant = (now: number): GossipEffect[] => {
    if (pendingWant === undefined || isWantPending(now)) return []
    const ahead = [...db.versions].filter(([, state]) => state.version > activeVersion(db)).map(([peer]) => peer)
    pendingWant = undefined
    return ahead.length === 0 ? [] : sendWant(ahead[random.below(ahead.length)], false, now)
  }

  const tick = (now: number): readonly GossipEffect[] => {
    if (now < nextRound && now < nextGossip && pendingWant === undefined) return []
    const effects = retryWant(now)
    if (now >= nextRound) {
      roundsLeft--
      nextRound = roundsLeft > 0 ? now + digestRoundInterval : Infinity
      effects.push(...sendDigests(pickPeers(digestFanout)))
    }
    if (now >= nextGossip) {
      nextGossip = now + gossipInterval * (0.8 + 0.4 * random.unit())
      effects.push(...sendDigests(pickPeers(1)))
    }
    return effects
  }

  /** Restores a lost position in the log from a peer that has the same text. */
  const anchorFromPeer = (message: ConfigDigest): void => {
    if (db.fold.anchored || message.cursor < 0 || message.digest !== db.digest) return
    db.fold = adoptRevision(db.fold, db.fold.revision, message.cursor - 1)
  }

  /** Updates a peer with a lower version: sends the patches if they are small, else a digest unless a reply to its request already carries one. */
  const sendUpdate = (peer: string, version: number, ask: number): readonly GossipEffect[] => {
    const steps = stepsAfter(version)
    const small = steps !== undefined && steps.reduce((size, step) => size + stepSize(step), 0) <= maxPushSize
    if (small) return [send(peer, createChange(version, steps))]
    return ask > 0 ? [] : sendDigests([peer])
  }

  const handleDigest = (from: string, message: ConfigDigest, now: number): readonly GossipEffect[] => {
    const { version, understood, fresh } = message
    db.versions.set(from, { version, understood, fresh, at: now })
    db.snapshotAt = Math.max(db.snapshotAt, message.snapshotAt)
    if (fresh && db.check?.correlationId === message.answers) db.check.responders.add(from)
    const own = activeVersion(db)
    const reply = message.ask > 0 ? sendDigests([from], 0, message.ask) : []
    if (version > own) return [...sendWant(from, false, now), ...reply]
    if (version < own) return [...sendUpdate(from, version, message.ask), ...reply]
    anchorFromPeer(message)
    return reply
  }

  const handleWant = (from: string, have: number, whole: boolean, now: number): readonly GossipEffect[] => {
    if (have >= activeVersion(db) && !whole) return []
    const steps = whole ? undefined : stepsAfter(have)
    const message = steps === undefined ? createText(now) : createChange(have, steps)
    return message === undefined ? [] : [send(from, message)]
  }

  const activateRevision = (revision: Revision, through: number, steps: readonly VersionStep[]): boolean => {
    const offset = revision.history.at(-1)?.offset ?? -1
    const changed = activateFold(db, adoptRevision(db.fold, revision, Math.max(through, offset)), steps)
    if (changed) {
      pendingWant = undefined
      wantsSent = 0
    }
    return changed
  }

  const handleChange = (from: string, message: ConfigChange, now: number): { changed: boolean, effects: readonly GossipEffect[] } => {
    const own = activeVersion(db)
    const steps = message.steps.filter(step => step.publication.version > own)
    if (steps.length === 0) return { changed: false, effects: [] }
    if (message.from > own) return { changed: false, effects: sendWant(from, false, now) }
    let revision: Revision | undefined = db.fold.revision
    for (const step of steps) revision = revision && applyStep(revision, step)
    if (revision === undefined || computeDigest(hash, revision.lines) !== message.digest) {
      db.dropped++
      return { changed: false, effects: sendWant(from, true, now) }
    }
    return { changed: activateRevision(revision, message.through, steps), effects: [] }
  }

  const handleText = ({ lines, history, digest: expected, through }: ConfigText): boolean => {
    if (computeDigest(hash, lines) !== expected) {
      db.dropped++
      return false
    }
    return activateRevision({ version: history[history.length - 1].version, lines, history }, through, [])
  }

  const handleMessage: ConfigGossip['handleMessage'] = (from, message, now) => {
    switch (message.kind) {
      case 'config.digest': return { changed: false, effects: handleDigest(from, message, now) }
      case 'config.want': return { changed: false, effects: handleWant(from, message.have, message.whole, now) }
      case 'config.change': return handleChange(from, message, now)
      case 'config.text': return { changed: handleText(message), effects: [] }
    }
  }

  return { announce, tick, ask: (count, correlationId) => sendDigests(pickPeers(count), correlationId), handleMessage, lost: from => { db.versions.delete(from) } }
}
