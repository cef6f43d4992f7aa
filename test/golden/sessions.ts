/** Whole sessions of both deployments, each a short script on a small fleet. */
import type { Hash } from '../../src/hash.js'
import { booking, chat, type Conversation } from '../fakes/fakeCaller.js'
import { epoch, idempotencyKeyAt, rulesFor, deploymentLayouts, startDeployment, type Deployment } from '../fakes/deployments.js'
import { noFaultHooks, type FakeFleet, type FleetHooks } from '../fakes/fakeFleet.js'

/** What a session's script uses. */
interface Stage {
  readonly fleet: FakeFleet
  readonly nodes: readonly string[]
  readonly engines: readonly string[]
  readonly services: readonly string[]
  /** Runs an action at a time, in ms after the epoch. */
  readonly at: (time: number, action: () => void) => void
  readonly ask: (name: string, time: number, node: number) => Conversation
  readonly book: (name: string, time: number, node: number, key?: number) => Conversation
  /** What the platform does at present. */
  readonly platform: { logAway: boolean }
}

const endTime = 9_000
const tokens = 12

const scripts = {
  normal: ({ ask, book }) => {
    ask('ann', 1_100, 0)
    ask('bob', 1_120, 1)
    book('cyd', 1_140, 2)
  },
  herdRestart: ({ fleet, nodes, at, ask }) => {
    ask('ann', 1_100, 0)
    at(1_180, () => nodes.forEach(fleet.crash))
    at(1_900, () => nodes.forEach(fleet.start))
    ask('bob', 3_000, 1)
  },
  outage: ({ fleet, nodes, platform, at, ask, book }) => {
    at(1_050, () => { platform.logAway = true })
    ask('ann', 1_100, 0)
    book('bob', 1_200, 1)
    at(1_300, () => fleet.crash(nodes[2]))
    at(1_600, () => fleet.start(nodes[2]))
    ask('cyd', 2_600, 2)
    at(4_000, () => { platform.logAway = false })
  },
  operatorRace: ({ fleet, nodes, at, ask }) => {
    const text = (version: string): string => rulesFor(['listings', 'viewings', 'dispatch', 'households'], version)
    at(1_100, () => fleet.publish(nodes[0], 1, text('7'), 'Ines'))
    at(1_101, () => fleet.publish(nodes[1], 1, `${text('7')}# a comment\n`, 'Tom'))
    ask('ann', 2_500, 2)
  },
  drain: ({ fleet, nodes, at, ask }) => {
    ask('ann', 1_100, 0)
    at(1_150, () => fleet.feed(nodes[0], { kind: 'drain.start' }))
    ask('bob', 1_800, 0)
    ask('cyd', 6_000, 0)
  },
  crashedEngine: ({ fleet, engines, at, ask }) => {
    ask('ann', 1_100, 0)
    at(1_190, () => engines.filter(id => (fleet.engines.get(id)?.generations.length ?? 0) > 0).forEach(id => fleet.engines.get(id)?.crash()))
    at(3_000, () => engines.forEach(id => fleet.engines.get(id)?.restart()))
    ask('bob', 4_500, 1)
  },
  repeatedBooking: ({ fleet, nodes, at, book }) => {
    book('ann', 1_100, 0, 1)
    book('ann again', 1_110, 1, 1)
    at(1_600, () => fleet.crash(nodes[0]))
    book('ann later', 3_000, 2, 1)
    at(3_500, () => fleet.start(nodes[0]))
  }
} as const satisfies Record<string, (stage: Stage) => void>

/** A session's name. */
export type SessionName = keyof typeof scripts

/** All sessions. */
export const sessionNames = Object.keys(scripts) as SessionName[]

/** The deployments. */
export const deployments = Object.keys(deploymentLayouts) as Deployment[]

/**
 * Plays a session.
 *
 * @param hash - hash functions
 * @param deployment - whose names are used
 * @param name - which session
 * @returns the transcript: ms since the start, who to whom, what
 */
export const runSession = (hash: Hash, deployment: Deployment, name: SessionName): string => {
  const lines: string[] = []
  const platform = { logAway: false }
  const hooks: FleetHooks = { ...noFaultHooks, note: line => lines.push(line), logFault: () => platform.logAway ? 'outage' : 'none' }
  const fleet = startDeployment(hash, deployment, 1, hooks)
  const nodes = [...fleet.nodes.keys()]
  const [forChat, forBookings] = deploymentLayouts[deployment].workspaces
  const at = (time: number, action: () => void): void => fleet.time.at(epoch + time, action)
  const begin = (conversation: Conversation, time: number, node: number): Conversation => {
    at(time, () => fleet.call(conversation, nodes[node]))
    return conversation
  }
  const ask = (who: string, time: number, node: number): Conversation =>
    begin(chat({ name: who, workspace: forChat, prompt: ['guidance '.repeat(80), `case of ${who}`], tokens }), time, node)
  const book = (who: string, time: number, node: number, key = 1): Conversation =>
    begin(booking(who, forBookings, idempotencyKeyAt(epoch, key)), time, node)
  const conversations: Conversation[] = []
  const kept = <Arguments extends readonly unknown[]>(make: (...given: Arguments) => Conversation) => (...given: Arguments): Conversation => {
    const conversation = make(...given)
    conversations.push(conversation)
    return conversation
  }
  scripts[name]({ fleet, nodes, engines: [...fleet.engines.keys()], services: [...fleet.services.keys()], at, ask: kept(ask), book: kept(book), platform })
  fleet.time.runUntil(epoch + endTime)
  const runs = [...fleet.services.values()].flatMap(service => service.runs.map(({ key, at: time }) => `${service.id} ran ${key} at ${time - epoch}`))
  const results = conversations.map(({ name: who, text, result }) => `${who}: ${result?.kind === 'whole' ? text || result.body : JSON.stringify(result)}`)
  return [`${name} at ${deployment}`, '', ...lines, '', 'In the end', ...results, ...runs, ''].join('\n')
}
