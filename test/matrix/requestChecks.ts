/** Checks every promise of the request path against what engines and services recorded. */
import { expectedAnswer, crossedPrompt } from '../fakes/fakeModelEngine.js'
import type { Conversation } from '../fakes/fakeCaller.js'
import type { PromiseName, Violation } from './matrixTypes.js'
import { chatTokens, topology, promptOf, type World } from './requestWorld.js'

const weights = ['7', '8'] as const
/** A leaving endpoint gets no new work after this time, in ms. */
const leavingGrace = 3_000

const wholes = (conversation: Conversation): readonly string[] =>
  weights.map(version => expectedAnswer(promptOf(conversation), version, chatTokens))

const textOf = (body: string): string => {
  if (!body.startsWith('{')) return body
  return (JSON.parse(body) as { choices: { message: { content: string } }[] }).choices[0].message.content
}

const violation = (promise: PromiseName, detail: string): Violation => ({ promise, detail })

const words = (text: string): readonly string[] => text.split(' ').slice(1)

/** Whether some word is another prompt's at that position, and not this one's. */
const isOfAnother = (world: World, own: Conversation, text: string): boolean => {
  const others = [...[...world.chats, ...world.probes].filter(chat => chat !== own).flatMap(wholes), ...weights.map(version => expectedAnswer(crossedPrompt, version, chatTokens))].map(words)
  const mine = wholes(own).map(words)
  return words(text).some((word, place) => mine.every(whole => whole[place] !== word) && others.some(whole => whole[place] === word))
}

const checkChat = (world: World, chat: Conversation): Violation[] => {
  const candidates = wholes(chat)
  const parted = candidates.some(whole => whole.startsWith(chat.text)) ? [] : [chat.text]
  const answered = chat.heard.flatMap(heard => heard.kind === 'whole' ? [textOf(heard.body)] : [])
  const wrong = [...parted, ...answered.filter(text => !candidates.includes(text))]
  return wrong.map(text => isOfAnother(world, chat, text)
    ? violation('ownAnswer', `${chat.name} got "${text}"`)
    : violation('streamWhole', `${chat.name} got "${text}"`))
}

/** With faults that heal, every caller that comes back gets its answer in the end. */
const checkReached = (world: World): Violation[] =>
  world.chats
    .filter(chat => chat.result?.kind !== 'whole')
    .map(chat => violation('streamWhole', `${chat.name} ended with ${JSON.stringify(chat.result ?? chat.heard)}`))

const runsOf = (world: World, key: string): readonly { readonly at: number }[] =>
  [...world.fleet.services.values()].flatMap(service => service.runs.filter(run => run.key === key))

const checkBookings = (world: World): Violation[] => {
  const keys = new Set(world.bookings.map(({ headers }) => headers['idempotency-key']))
  const doubled = [...keys].filter(key => runsOf(world, key).length > 1)
  const foreign = world.bookings.flatMap(({ name, headers, heard }) => heard.flatMap(one =>
    one.kind === 'whole' && (JSON.parse(one.body) as { ran: string }).ran !== headers['idempotency-key'] ? [name] : []))
  const unrun = world.bookings.filter(({ headers, heard }) => heard.some(({ kind }) => kind === 'whole') && runsOf(world, headers['idempotency-key']).length === 0)
  return [
    ...doubled.map(key => violation('atMostOnce', `key ${key} ran ${runsOf(world, key).length} times`)),
    ...foreign.map(name => violation('ownAnswer', `${name} got the answer of another key`)),
    ...unrun.map(({ name }) => violation('ownAnswer', `${name} has an answer without a run`))
  ]
}

const checkNotRun = (world: World): Violation[] => world.observations.answers.flatMap(({ conversation, heard, begun, at }) => {
  if (heard.kind !== 'error' || heard.outcome !== 'not_run') return []
  const key = conversation.headers['idempotency-key']
  const isLast = conversation.result === heard
  const until = isLast ? Infinity : at
  const ran = key === undefined
    ? [...world.fleet.engines.values()].flatMap(engine => engine.generations.filter(({ prompt }) => prompt === promptOf(conversation)))
    : runsOf(world, key)
  const repeats = world.bookings.filter(({ headers }) => key !== undefined && headers['idempotency-key'] === key).length
  if (repeats > 1) return []
  return ran.some(run => run.at >= begun && run.at <= until) ? [violation('notRunTrue', `${conversation.name} was told ${heard.type}`)] : []
})

const checkLeaving = (world: World): Violation[] => {
  const engine = world.fleet.engines.get(topology.leaving)
  const late = engine?.generations.filter(({ at, incarnation }) => at > world.observations.leavingAt + leavingGrace && incarnation === `${topology.leaving}-1`) ?? []
  return late.map(({ at }) => violation('leavingNoNewWork', `work given ${at - world.observations.leavingAt} ms after leaving`))
}

const checkShutdown = (world: World): Violation[] => {
  const cut = world.observations.answers.filter(({ conversation, heard, node, begun }) =>
    heard.kind === 'cut' && !world.observations.faultedNodes.has(node) && !world.observations.closedByTest.has(conversation) && begun < world.observations.drainedAt)
  return cut.map(({ conversation, node }) => violation('gracefulShutdown', `${conversation.name} was cut at ${node}`))
}

const checkStarts = (world: World): Violation[] =>
  world.probes
    .filter(probe => probe.heard[0]?.kind !== 'whole')
    .map(probe => violation('noColdStart', `${probe.name} heard ${JSON.stringify(probe.heard[0])}`))

const checkVersions = (world: World): Violation[] => [...world.observations.versions].flatMap(([start, versions]) =>
  versions.every((version, index) => index === 0 || version > versions[index - 1]) ? [] : [violation('configForward', `${start} ran ${versions.join(', ')}`)])

/**
 * Checks a run.
 *
 * @param world - the run, over
 * @returns every promise seen broken
 */
export const checkWorld = (world: World): readonly Violation[] => [
  ...[...world.chats, ...world.probes].flatMap(chat => checkChat(world, chat)),
  ...checkReached(world),
  ...checkBookings(world),
  ...checkNotRun(world),
  ...checkLeaving(world),
  ...checkShutdown(world),
  ...checkStarts(world),
  ...checkVersions(world)
]
