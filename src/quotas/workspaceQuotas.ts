/**
 * Keeps all instances together to the quotas of workspaces. For each workspace with
 * a quota one instance, chosen by rendezvous hashing, grants credit; the others ask
 * it when a request needs some. An instance that was denied credit refuses the
 * workspace's requests without a question until the time that the granter states,
 * so that the number of questions follows the quota and not the number of requests.
 */
import { LRUCache } from 'lru-cache'
import { assertNever } from '../errors.js'
import type { Workspace } from '../catalog/catalogTypes.js'
import { createCreditHolding, type Credit, type CreditHolding, type CreditState } from './creditHolding.js'
import { createGranterContacts } from './granterContacts.js'
import { createGranterShare } from './granterShare.js'
import { createQuotaGranter, creditValidity, returnTime, type CreditRequest, type QuotaFigures, type QuotaGranter } from './quotaGranter.js'
import type { QuotaLogEvent } from './quotaLog.js'
import type { QuotaDecision, QuotaMessage } from './quotaMessages.js'
import { createRelayedRequests } from './relayedRequests.js'

/** What the quotas depend on; times in ms. */
export interface WorkspaceQuotasOptions {
  readonly self: string
  /** Returns the instance that grants the credit of a workspace. */
  readonly granterOf: (workspace: string) => string
  /** Number of live instances, this one included. */
  readonly instances: () => number
  /** Fraction of the known instances that are live. */
  readonly liveShare: () => number
  /** Version of the configuration in force; 0 without one. */
  readonly version: () => number
  /** A workspace of the configuration in force. */
  readonly workspace: (name: string) => Workspace | undefined
  /** Returns some of the other live instances, others with each `turn`. */
  readonly somePeers: (count: number, turn: number) => readonly string[]
  readonly send: (to: string, message: QuotaMessage) => void
  /** Called when a granter has answered. */
  readonly onDecision: () => void
  readonly log: (event: QuotaLogEvent) => void
}

/** Credit for a request, or why there is none. */
export type CreditResult =
  | { readonly kind: 'unlimited' }
  | { readonly kind: 'taken', readonly credit: Credit }
  | Exclude<CreditState, { kind: 'available' }>

/** The quotas at one instance; times in ms. */
export interface WorkspaceQuotas {
  /** Whether a request can have credit now, without a question to the granter. */
  readonly stateFor: (workspace: Workspace, cost: number, now: number) => CreditState | { readonly kind: 'unlimited' }
  /** Takes credit for a request, or asks for some. */
  readonly take: (workspace: Workspace, cost: number, now: number) => CreditResult
  /** Gives credit back of a request that was not run; a second time it does nothing. */
  readonly giveBack: (credit: Credit, now: number) => void
  /** Counts a request that has arrived. */
  readonly noteArrival: (workspace: Workspace, cost: number, now: number) => void
  /** Counts a request that was refused for want of credit, of which some comes after `wait`. */
  readonly noteRefused: (workspace: string, wait: number) => void
  /** Records the credit of a request that another instance relays; it goes back if that one tells late that the request counts already. */
  readonly noteRelayed: (id: string, credit: Credit) => void
  /** Tells an instance that the request which it is about to get counts already. */
  readonly tellCounted: (to: string, workspace: string, id: string) => void
  /** Whether another instance has counted the request. */
  readonly isCounted: (workspace: string, id: string, now: number) => boolean
  readonly receive: (from: string, message: QuotaMessage, now: number) => void
  /** Records that other instances have come or gone, so that another one may have granted until now. */
  readonly noteMembershipChange: (now: number) => void
  readonly tick: (now: number) => void
  readonly sizes: () => { readonly denied: number, readonly granting: number }
}

/** Time after a change of the live instances from which on a new granter saves up credit, in ms: until then, one that is out of this instance's sight may not know yet that it is, and grants on. */
const takeoverDelay = 500
/** Time between two checks of what this instance grants, in ms. */
const checkInterval = 100
/** Time without such a check after which a granter starts anew, in ms: the process was frozen, and another may have granted meanwhile. */
const lapseTime = 1_000
/** Time without a denial after which a workspace counts as within its quota, in ms. */
const availableAfter = 5_000
/** Time after which what is held of a workspace without requests is forgotten, in ms. */
const idleTime = 60_000
/** Number of workspaces that are remembered. */
const maxWorkspaces = 2_000

interface Granting {
  readonly granter: QuotaGranter
  figures: QuotaFigures
  checkedAt: number
}

interface Shortage {
  refused: number
}

/**
 * Creates the quotas of one instance.
 *
 * @param options - the configuration and the other instances
 */
export const createWorkspaceQuotas = (options: WorkspaceQuotasOptions): WorkspaceQuotas => {
  const { self, log } = options
  const holdings = new LRUCache<string, CreditHolding>({ max: maxWorkspaces })
  const grantings = new LRUCache<string, Granting>({ max: maxWorkspaces })
  const relayed = createRelayedRequests()
  const returned = new WeakSet<Credit>()
  const shortages = new LRUCache<string, Shortage>({ max: maxWorkspaces })
  const granterShare = createGranterShare()
  const contacts = createGranterContacts(options)
  let stableSince: number | undefined
  let lastInstances: number | undefined
  let nextCheck = -Infinity

  const holdingOf = (workspace: string, now: number): CreditHolding => {
    const known = holdings.get(workspace)
    if (known !== undefined) return known
    const created = createCreditHolding(workspace, now)
    holdings.set(workspace, created)
    return created
  }

  const noteMembershipChange = (now: number): void => {
    stableSince = now + takeoverDelay
  }

  /** Notes a change of the live instances that `noteMembershipChange` has not reported yet. */
  const checkMembership = (now: number): void => {
    const instances = options.instances()
    if (lastInstances !== undefined && instances !== lastInstances) noteMembershipChange(now)
    lastInstances = instances
  }

  /** The newer of the figures that this instance and the asker know; undefined if the newer configuration has no quota. */
  const newerFigures = (workspace: string, asked: QuotaFigures): QuotaFigures | undefined => {
    const version = options.version()
    if (asked.version > version) return asked
    const quota = options.workspace(workspace)?.quota
    return quota === undefined ? undefined : { version, rate: quota.rate, burst: quota.burst }
  }

  const grantingOf = (workspace: string, figures: QuotaFigures, now: number): Granting => {
    const known = grantings.get(workspace)
    if (known !== undefined && now - known.checkedAt < lapseTime) {
      if (figures.version >= known.figures.version) known.figures = figures
      return known
    }
    checkMembership(now)
    // Nobody else has granted since the live instances last changed; what was saved up before this process was frozen may have been granted by another.
    const at = known === undefined ? stableSince ?? now + takeoverDelay : now
    const created = { granter: createQuotaGranter({ level: 0, at }), figures, checkedAt: now }
    grantings.set(workspace, created)
    if (known === undefined) log({ kind: 'quotaGranting', workspace, granting: true })
    return created
  }

  const decide = (workspace: string, request: CreditRequest, asked: QuotaFigures, now: number): QuotaDecision => {
    const newest = newerFigures(workspace, asked)
    if (newest === undefined) return { kind: 'granted', amount: request.amount + request.more, validity: creditValidity, wait: 0 }
    const { granter, figures } = grantingOf(workspace, newest, now)
    return granter.decide(request, figures, granterShare.value(), now)
  }

  const ask = (workspace: Workspace, quota: NonNullable<Workspace['quota']>, cost: number, now: number): void => {
    const { name } = workspace
    const holding = holdingOf(name, now)
    const granter = options.granterOf(name)
    const figures = { version: options.version(), rate: quota.rate, burst: quota.burst }
    const question = holding.noteAsked(granter, now)
    const amount = Math.max(0, cost - holding.held(now))
    const more = Math.min(Number.MAX_SAFE_INTEGER, holding.expectedDemand(cost, now))
    if (granter === self) return holding.apply(question, decide(name, { instance: self, amount, more }, figures, now), now)
    options.send(granter, { kind: 'fleet.quotaRequest', workspace: name, question, ...figures, amount, more })
  }

  const stateFor: WorkspaceQuotas['stateFor'] = ({ name, quota }, cost, now) => {
    if (quota === undefined) return { kind: 'unlimited' }
    const holding = holdingOf(name, now)
    holding.noteQuota(quota)
    return holding.stateFor(cost, now)
  }

  const take: WorkspaceQuotas['take'] = (workspace, cost, now) => {
    const { quota } = workspace
    if (quota === undefined) return { kind: 'unlimited' }
    const holding = holdingOf(workspace.name, now)
    holding.noteQuota(quota)
    if (holding.stateFor(cost, now).kind === 'wanted') ask(workspace, quota, cost, now)
    const credit = holding.take(cost, now)
    if (credit !== undefined) return { kind: 'taken', credit }
    const state = holding.stateFor(cost, now)
    return state.kind === 'available' ? { kind: 'wanted' } : state
  }

  const returnTo = (granter: string, workspace: string, amount: number, now: number): void => {
    if (granter === self) grantings.get(workspace)?.granter.takeBack(self, amount, now)
    else options.send(granter, { kind: 'fleet.quotaReturn', workspace, amount })
  }

  const giveBack = (credit: Credit, now: number): void => {
    if (returned.has(credit)) return
    returned.add(credit)
    const invalid = holdings.get(credit.workspace)?.putBack(credit, now) ?? credit.amount
    if (invalid > 0 && now < credit.until + returnTime - creditValidity) returnTo(credit.granter, credit.workspace, invalid, now)
  }

  const noteRefused = (workspace: string, wait: number): void => {
    const known = shortages.get(workspace)
    if (known !== undefined) {
      known.refused++
      return
    }
    shortages.set(workspace, { refused: 1 })
    log({ kind: 'quotaDenied', workspace, wait: Math.round(wait) })
  }

  /** Answers if this instance is the granter; an asker that does not know who is asks again. */
  const answer = (from: string, { workspace, question, version, rate, burst, amount, more }: QuotaMessage & { kind: 'fleet.quotaRequest' }, now: number): void => {
    if (rate <= 0 || options.granterOf(workspace) !== self) return
    const decision = decide(workspace, { instance: from, amount, more }, { version, rate, burst }, now)
    options.send(from, { kind: 'fleet.quotaDecision', workspace, question, decision })
  }

  const noteCounted = (workspace: string, id: string, now: number): void => {
    const credit = relayed.noteCounted(workspace, id, now)
    if (credit !== undefined) giveBack(credit, now)
  }

  const receive = (from: string, message: QuotaMessage, now: number): void => {
    switch (message.kind) {
      case 'fleet.quotaRequest': return answer(from, message, now)
      case 'fleet.quotaDecision':
        holdings.get(message.workspace)?.apply(message.question, message.decision, now)
        return options.onDecision()
      case 'fleet.quotaReturn':
        grantings.get(message.workspace)?.granter.takeBack(from, message.amount, now)
        return
      case 'fleet.quotaContact': return options.send(from, { kind: 'fleet.quotaContactAnswer', turn: message.turn })
      case 'fleet.quotaContactAnswer': return contacts.noteAnswer(from, message.turn)
      case 'fleet.quotaCounted': return noteCounted(message.workspace, message.id, now)
      default: assertNever(message)
    }
  }

  const checkGrantings = (now: number): void => {
    checkMembership(now)
    if (grantings.size > 0) contacts.tick(now)
    granterShare.note(Math.min(options.liveShare(), contacts.share(now)), now)
    for (const [workspace, granting] of grantings.entries()) {
      const isLapsed = now - granting.checkedAt >= lapseTime
      if (!isLapsed && options.granterOf(workspace) === self) {
        granting.checkedAt = now
        continue
      }
      grantings.delete(workspace)
      if (isLapsed) noteMembershipChange(now)
      log({ kind: 'quotaGranting', workspace, granting: false })
    }
  }

  const endShortages = (now: number): void => {
    for (const [workspace, { refused }] of shortages.entries()) {
      if (now < (holdings.peek(workspace)?.deniedUntil() ?? -Infinity) + availableAfter) continue
      shortages.delete(workspace)
      log({ kind: 'quotaAvailable', workspace, refused })
    }
  }

  const returnExpired = (now: number): void => {
    for (const [workspace, holding] of holdings.entries()) {
      for (const { granter, amount } of holding.removeExpired(now)) returnTo(granter, workspace, amount, now)
      if (now - holding.usedAt() > idleTime) holdings.delete(workspace)
    }
  }

  const tick = (now: number): void => {
    stableSince ??= now + takeoverDelay
    returnExpired(now)
    if (now < nextCheck) return
    nextCheck = now + checkInterval
    checkGrantings(now)
    endShortages(now)
  }

  return {
    stateFor,
    take,
    giveBack,
    noteArrival: (workspace, cost, now) => { if (workspace.quota !== undefined) holdingOf(workspace.name, now).noteDemand(cost, now) },
    noteRefused,
    noteRelayed: relayed.noteTaken,
    tellCounted: (to, workspace, id) => options.send(to, { kind: 'fleet.quotaCounted', workspace, id }),
    isCounted: relayed.isCounted,
    receive,
    noteMembershipChange,
    tick,
    sizes: () => ({ denied: shortages.size, granting: grantings.size })
  }
}
