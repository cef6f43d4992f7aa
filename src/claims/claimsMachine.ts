/**
 * At-most-once execution of non-idempotent calls. An instance claims a call on
 * the log before it dispatches it: it sends the claim to the holder of the
 * call's partition, which appends it, reads the stream back and replies with the
 * verdict. An instance that gives up an attempt first removes it from memory, so
 * that it can no longer be dispatched, and then resends a close record until the
 * log holds it or the key has expired.
 */
import { createClaimsDb, addAttempt, createClose, removeAttempt, sweepClaimsDb } from './claimsDb.js'
import type { LocalAttempt } from './claimsDb.js'
import { createHolder } from './claimsHolder.js'
import { keyTime } from './claimsKey.js'
import { callName, claimsMessageSchema } from './claimsMessages.js'
import type { Claim, ClaimsMessage, Verdict } from './claimsMessages.js'
import { refusalByTime, refusalFromMemory } from './claimsLocal.js'
import { createPlacement, partitionOf } from './claimsPlacement.js'
import { createDuplicateHandler } from './claimsDuplicates.js'
import { createCloseRecorder } from './claimsCloseRecorder.js'
import { RetentionTooShort } from './claimsErrors.js'
import { claimTimeout, defaultAnswerBytes, settleTimeout, holderTimeout, logUnavailableBackoff, lookupTimeout, maxAttempts, retryAfterBase, sweepInterval } from './claimsTimes.js'
import { clockSkew, keyWindow } from './claimsTypes.js'
import type { BeginInput, ClaimsDump, ClaimsEffect, ClaimsInput, ClaimsOptions, NotRunReason, Outcome, Refusal } from './claimsTypes.js'
import { assertNever } from '../errors.js'
import type { PartitionReply } from './claimsPartition.js'

/** The claims state machine of one instance. */
export interface Claims {
  /** Handles one input and returns the resulting effects. */
  readonly handle: (input: ClaimsInput, now: number) => readonly ClaimsEffect[]
  /**
   * Must be called immediately before a dispatch. Returns true at most once for
   * a grant, once more after each `claims.unsent`, and never after the deadline.
   * After false the attempt ends with `claims.refused`, unless it has already
   * ended.
   */
  readonly mayDispatch: (request: number, now: number) => boolean
  /** Whether a leaving instance may stop: no attempt is in progress, every close record is on the log, and no instance is waiting for a verdict. */
  readonly isDrained: () => boolean
  readonly dump: () => ClaimsDump
}

/**
 * Creates the claims state machine of an instance.
 *
 * @param options - the instance's identity, hash and random number generator, and limits
 * @returns claims without any attempt
 * @throws RetentionTooShort if the log may drop a claim before its key expires
 */
export const createClaims = (options: ClaimsOptions): Claims => {
  const { self, incarnation, hash, random, window = keyWindow, skew = clockSkew, retention } = options
  const minRetention = window + 4 * skew
  if (retention <= minRetention) throw new RetentionTooShort(retention, minRetention)
  const db = createClaimsDb(options.answerBytes ?? defaultAnswerBytes)
  const placement = createPlacement(hash)
  const holder = createHolder({ window, skew, retention, hash })
  const logUnavailableUntil = new Map<number, number>()
  let effects: ClaimsEffect[] = []
  let attemptCount = 0
  let lastSweepAt = -Infinity
  let malformed = 0

  const createAttemptId = (): string => hash.h64(`${self}|${incarnation}|${attemptCount++}|${random.below(2 ** 30)}`).toString(36)

  /** Delay in ms, with jitter, after which a caller should retry. */
  const retryAfter = (): number => retryAfterBase + random.below(retryAfterBase)

  const refuse = (request: number, refusal: Refusal): void => {
    effects.push({ kind: 'claims.refused', request, refusal })
  }

  const send = (to: string, message: ClaimsMessage, now: number): void => {
    if (to === self) receive(self, message, now)
    else effects.push({ kind: 'peer.send', to, message })
  }

  const holderFor = (partition: number, tries: number): string => {
    const holders = placement.holders(partition)
    return holders[tries % holders.length] ?? self
  }

  const { record, resendDue } = createCloseRecorder(db, (close, tries, now) =>
    send(holderFor(partitionOf(hash, close), tries), { kind: 'claims.close', close }, now))

  const begin = (input: BeginInput, now: number): void => {
    const refusal = immediateRefusal(input, now)
    if (refusal !== undefined) return refuse(input.request, refusal)
    const { request, workspace, key, fingerprint, deadline } = input
    const claim: Claim = { kind: 'claim', workspace, key, attempt: createAttemptId(), claimant: self, incarnation, fingerprint, deadline }
    const attempt: LocalAttempt = { request, claim, name: callName(input), keyTime: keyTime(key) ?? now, begunAt: now, phase: { kind: 'granted' } }
    addAttempt(db, attempt)
    sendClaim(attempt, 0, now)
  }

  const immediateRefusal = (input: BeginInput, now: number): Refusal | undefined => {
    const refusal = refusalFromMemory(db, input, retryAfter()) ?? refusalByTime(input, { window, skew }, now)
    if (refusal !== undefined) return refusal
    if (db.byRequest.size + db.ended.size + db.pendingCloses.size >= maxAttempts) return { kind: 'notRun', reason: 'overloaded', scope: 'attempt', retryAfter: retryAfter() }
    const until = logUnavailableUntil.get(partitionOf(hash, input)) ?? -Infinity
    if (now < until) return { kind: 'notRun', reason: 'logUnavailable', scope: 'attempt', retryAfter: until - now + retryAfter() }
    return undefined
  }

  const sendClaim = (attempt: LocalAttempt, tries: number, now: number): void => {
    const to = holderFor(partitionOf(hash, attempt.claim), tries)
    attempt.phase = { kind: 'claiming', holder: to, sentAt: now, tries }
    send(to, { kind: 'claims.claim', claim: attempt.claim }, now)
  }

  const end = (attempt: LocalAttempt, refusal: Refusal): void => {
    removeAttempt(db, attempt)
    refuse(attempt.request, refusal)
  }

  const duplicates = createDuplicateHandler({
    db,
    self,
    incarnation,
    window,
    find: placement.find,
    send,
    end,
    record,
    retryAfter
  })

  /** Removes the attempt from memory, then records it as not run; the order ensures that a recorded attempt is never dispatched. */
  const giveUp = (attempt: LocalAttempt, reason: NotRunReason, now: number, mayBeAppended = true): void => {
    const scope = attempt.phase.kind === 'granted' ? 'call' : 'attempt'
    const isRetryable = reason === 'logUnavailable' || reason === 'claimTimeout' || reason === 'superseded'
    end(attempt, { kind: 'notRun', reason, scope, ...isRetryable && { retryAfter: retryAfter() } })
    if (mayBeAppended) record(createClose(attempt.claim, 'notRun'), attempt.keyTime, now)
  }

  const settle = (request: number, outcome: Outcome, now: number): void => {
    const attempt = db.byRequest.get(request)
    if (attempt === undefined) return
    removeAttempt(db, attempt)
    if (outcome.kind === 'ran') db.answers.set(attempt.name, outcome.answer)
    if (outcome.kind !== 'notRun') {
      const { fingerprint } = attempt.claim
      db.ended.set(attempt.name, { attempt: attempt.claim.attempt, fingerprint, keyTime: attempt.keyTime, outcome: outcome.kind })
    }
    record(createClose(attempt.claim, outcome.kind), attempt.keyTime, now)
  }

  const abandon = (request: number, now: number): void => {
    const attempt = db.byRequest.get(request)
    if (attempt !== undefined && attempt.phase.kind !== 'dispatched') giveUp(attempt, 'abandoned', now)
  }

  const unsent = (request: number): void => {
    const attempt = db.byRequest.get(request)
    if (attempt?.phase.kind === 'dispatched') attempt.phase = { kind: 'granted' }
  }

  const mayDispatch = (request: number, now: number): boolean => {
    const attempt = db.byRequest.get(request)
    if (attempt?.phase.kind !== 'granted' || isLate(attempt, now)) return false
    attempt.phase = { kind: 'dispatched' }
    return true
  }

  const isLate = ({ claim, keyTime: time }: LocalAttempt, now: number): boolean =>
    now >= claim.deadline || now - time > window

  const applyVerdict = (attemptId: string, verdict: Verdict, now: number): void => {
    const attempt = db.byAttempt.get(attemptId)
    if (attempt?.phase.kind !== 'claiming') return
    if (isLate(attempt, now)) return giveUp(attempt, 'deadlinePassed', now)
    switch (verdict.kind) {
      case 'won':
        attempt.phase = { kind: 'granted' }
        effects.push({ kind: 'claims.granted', request: attempt.request })
        return
      case 'taken': return duplicates.taken(attempt, verdict.owner, verdict.state, now)
      case 'spent': return giveUp(attempt, 'superseded', now)
      case 'expired': return giveUpUnknown(attempt, 'keyExpired', now)
      case 'undecided': return giveUpUnknown(attempt, 'recordsExpired', now)
      case 'unavailable':
        logUnavailableUntil.set(partitionOf(hash, attempt.claim), now + logUnavailableBackoff)
        return giveUp(attempt, 'logUnavailable', now, verdict.appended || attempt.phase.tries > 0)
      default: return assertNever(verdict)
    }
  }

  const giveUpUnknown = (attempt: LocalAttempt, reason: 'keyExpired' | 'recordsExpired', now: number): void => {
    end(attempt, { kind: 'unknown', reason })
    record(createClose(attempt.claim, 'notRun'), attempt.keyTime, now)
  }

  const receive = (from: string, message: ClaimsMessage, now: number): void => {
    switch (message.kind) {
      case 'claims.claim': return applyStep(holder.claim(message.claim, from, now), now)
      case 'claims.close': return applyStep(holder.close(message.close, from, now), now)
      case 'claims.verdict': return applyVerdict(message.attempt, message.verdict, now)
      case 'claims.queued': return extendTimeout(message.attempt, from, now)
      case 'claims.closed':
        db.pendingCloses.delete(message.attempt)
        return
      case 'claims.lookup':
        return send(from, { kind: 'claims.found', asker: message.asker, attempt: message.owner.attempt, finding: duplicates.findingOn(message.owner, now) }, now)
      case 'claims.found': return duplicates.found(message.asker, message.attempt, message.finding)
      default: return assertNever(message)
    }
  }

  /** Restarts the timeout of the holder that reported the claim as queued, so that no other holder is tried. */
  const extendTimeout = (attemptId: string, from: string, now: number): void => {
    const attempt = db.byAttempt.get(attemptId)
    if (attempt?.phase.kind === 'claiming' && attempt.phase.holder === from) attempt.phase = { ...attempt.phase, sentAt: now }
  }

  const toMessage = (reply: PartitionReply): ClaimsMessage => {
    switch (reply.kind) {
      case 'closed': return { kind: 'claims.closed', attempt: reply.close.attempt }
      case 'queued': return { kind: 'claims.queued', attempt: reply.claim.attempt }
      case 'verdict': return { kind: 'claims.verdict', attempt: reply.claim.attempt, verdict: reply.verdict }
      default: return assertNever(reply)
    }
  }

  const applyStep = (step: ReturnType<typeof holder.tick>, now: number): void => {
    effects.push(...step.effects)
    for (const reply of step.replies) send(reply.to, toMessage(reply), now)
  }

  const handlePeerLost = (peer: string, now: number): void => {
    for (const attempt of [...db.byRequest.values()]) {
      const { phase } = attempt
      if (phase.kind === 'claiming' && phase.holder === peer) sendClaim(attempt, phase.tries + 1, now)
      if (phase.kind === 'asking' && phase.owner.claimant === peer) duplicates.lookupFailed(attempt, phase, now)
    }
  }

  const applyTimeouts = (attempt: LocalAttempt, now: number): void => {
    const { phase } = attempt
    switch (phase.kind) {
      case 'claiming':
        if (isLate(attempt, now)) return giveUp(attempt, 'deadlinePassed', now)
        if (now - attempt.begunAt >= claimTimeout) return giveUp(attempt, 'claimTimeout', now)
        if (now - phase.sentAt >= holderTimeout) sendClaim(attempt, phase.tries + 1, now)
        return
      case 'asking':
        if (now - phase.sentAt >= lookupTimeout) duplicates.lookupFailed(attempt, phase, now)
        return
      case 'granted':
        if (isLate(attempt, now)) giveUp(attempt, 'deadlinePassed', now)
        return
      case 'dispatched':
        if (now - attempt.claim.deadline >= settleTimeout) settle(attempt.request, { kind: 'unknown' }, now)
        return
      default: assertNever(phase)
    }
  }

  const tick = (now: number): void => {
    for (const attempt of db.byRequest.values()) applyTimeouts(attempt, now)
    applyStep(holder.tick(now), now)
    if (now - lastSweepAt < sweepInterval) return
    lastSweepAt = now
    sweepClaimsDb(db, now - window - skew)
    resendDue(now)
  }

  const handleInput = (input: ClaimsInput, now: number): void => {
    switch (input.kind) {
      case 'claims.begin': return begin(input, now)
      case 'claims.settle': return settle(input.request, input.outcome, now)
      case 'claims.unsent': return unsent(input.request)
      case 'claims.abandon': return abandon(input.request, now)
      case 'claims.members': return placement.update(input.instances)
      case 'log.appended':
      case 'log.records':
      case 'log.failed': return applyStep(holder.log(input, now), now)
      case 'peer.message': return receiveUnparsed(input.from, input.message, now)
      case 'peer.lost': return handlePeerLost(input.from, now)
      case 'tick': return tick(now)
      default: assertNever(input)
    }
  }

  const receiveUnparsed = (from: string, unparsed: unknown, now: number): void => {
    const parsed = claimsMessageSchema.safeParse(unparsed)
    if (parsed.success) receive(from, parsed.data, now)
    else malformed++
  }

  const handle = (input: ClaimsInput, now: number): readonly ClaimsEffect[] => {
    effects = []
    handleInput(input, now)
    return effects
  }

  const isDrained = (): boolean => db.byRequest.size + db.pendingCloses.size === 0 && holder.isDrained()

  const dump = (): ClaimsDump => ({
    attempts: [...db.byRequest.values()].map(({ request, claim, phase }) => ({ request, workspace: claim.workspace, key: claim.key, attempt: claim.attempt, phase: phase.kind })),
    ended: db.ended.size,
    answers: db.answers.size,
    answerBytes: db.answers.calculatedSize,
    pendingCloses: db.pendingCloses.size,
    partitions: holder.dump(),
    malformed
  })

  return { handle, mayDispatch, isDrained, dump }
}
