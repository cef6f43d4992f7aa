import { loadHash } from '../hash.js'
import type { NodeEffect } from '../node/nodeTypes.js'
import { startDeployment } from '../../test/fakes/deployments.js'
import { chat, type Conversation } from '../../test/fakes/fakeCaller.js'
import { noFaultHooks, type FakeFleet } from '../../test/fakes/fakeFleet.js'
import { expectedAnswer, type FakeModelEngine, type PartDelivery } from '../../test/fakes/fakeModelEngine.js'

const tokens = 60
const node = 'nm-derby-e1'
const prompt = 'case of ann, '.repeat(30)
const whole = expectedAnswer(prompt, '7', tokens)

/** What becomes of an attempt at another engine than the silent one. */
const otherEngines = ['cut', 'rejected', 'down', 'silent'] as const
type OtherEngines = typeof otherEngines[number]

type Delivery = (engine: string, part: 'head' | 'chunk' | 'end') => PartDelivery

/** A fleet with one request at an engine, and what the instance did for it. */
interface Run {
  readonly fleet: FakeFleet
  readonly caller: Conversation
  /** The engine that got the request first. */
  readonly first: () => FakeModelEngine
  /** Engines of all attempts, in order. */
  readonly dispatched: string[]
  readonly cancelled: string[]
  readonly advance: (ms: number) => void
  /** Says that the caller reads too slowly, or that it reads again. */
  readonly setBlocked: (blocked: boolean) => void
  /** Decides from now on how the parts of the engines' answers are delivered. */
  readonly deliverBy: (delivery: Delivery) => void
  /** Makes attempts at the other engines fail, the silent ones for `ms`. */
  readonly spoilOthers: (how: OtherEngines, ms: number) => void
}

const start = async (stream = true): Promise<Run> => {
  const dispatched: string[] = []
  const cancelled: string[] = []
  const engineOf = new Map<number, string>()
  let request = 0
  let delivery: Delivery = () => 'deliver'
  const onEffect = (at: string, effect: NodeEffect): void => {
    if (at !== node) return
    if (effect.kind === 'endpoint.dispatch' && effect.request.kind === 'model') {
      engineOf.set(effect.attempt, effect.endpoint)
      dispatched.push(effect.endpoint)
    }
    if (effect.kind === 'caller.open') request = effect.request
    if (effect.kind === 'endpoint.cancel') cancelled.push(engineOf.get(effect.attempt) ?? '')
  }
  const fleet = startDeployment(await loadHash(), 'harrowgate', 1, {
    ...noFaultHooks,
    onEffect,
    enginePartDelivery: (engine, part) => delivery(engine, part)
  })
  const caller = chat({ name: 'ann', workspace: 'listings', prompt: [prompt], tokens, stream })
  fleet.call(caller, node)
  fleet.time.runUntil(fleet.time.now() + 5)
  const others = (): FakeModelEngine[] => [...fleet.engines.values()].filter(({ id }) => id !== dispatched[0])

  const deliverBy = (next: Delivery): void => { delivery = next }

  const spoilOthers = (how: OtherEngines, ms: number): void => {
    if (how === 'cut') deliverBy(engine => engine === dispatched[0] ? 'deliver' : 'cut')
    for (const engine of others()) {
      if (how === 'rejected') engine.versions.clear()
      if (how === 'down') engine.crash()
      if (how === 'silent') engine.freezeUntil(fleet.time.now() + ms)
    }
  }

  const first = (): FakeModelEngine => fleet.engines.get(dispatched[0]) as FakeModelEngine
  const setBlocked = (blocked: boolean): void => fleet.feed(node, { kind: blocked ? 'caller.blocked' : 'caller.ready', request })
  return { fleet, caller, dispatched, cancelled, first, deliverBy, spoilOthers, setBlocked, advance: ms => { fleet.time.runUntil(fleet.time.now() + ms) } }
}

const textOf = (caller: Conversation): string => {
  const [answer] = caller.answers
  if (answer?.kind !== 'whole') return JSON.stringify(answer ?? 'no answer')
  return answer.body.startsWith('{') ? (JSON.parse(answer.body) as { choices: { message: { content: string } }[] }).choices[0].message.content : answer.body
}

/** Time before the instance acts on the silence at which the other engines are spoiled, in ms, so that it does not learn of it from probes. */
const spoilLead = 60

/** Makes the first engine silent after `begin` ms, for `ms`; the instance acts on that after `patience` ms. Returns the caller's first answers by what becomes of other attempts. */
const playSilence = async (stream: boolean, begin: number, ms: number, patience: number): Promise<Record<string, string>> => {
  const texts: Record<string, string> = {}
  for (const how of otherEngines) {
    const run = await start(stream)
    run.advance(begin)
    run.first().freezeUntil(run.fleet.time.now() + ms)
    run.advance(patience - spoilLead)
    run.spoilOthers(how, 2 * ms)
    run.advance(12_000)
    texts[how] = textOf(run.caller)
  }
  return texts
}

const allWhole = Object.fromEntries(otherEngines.map(how => [how, whole]))

describe('an engine that is silent for a time and goes on, with other attempts cut, rejected, unreachable or silent', () => {
  it('does not cost a stream that has begun', async () => {
    expect(await playSilence(true, 200, 3_200, 3_000)).toEqual(allWhole)
  })

  it('does not cost a plain request whose answer has begun', async () => {
    expect(await playSilence(false, 200, 3_200, 3_000)).toEqual(allWhole)
  })

  it('does not cost a request without a token', async () => {
    expect(await playSilence(true, 5, 1_700, 1_500)).toEqual(allWhole)
  })
})

it('a stream that its caller resumes is not begun again at another engine while its own one is silent', async () => {
  const run = await start()
  run.advance(200)
  run.fleet.disconnect(run.caller)
  run.deliverBy(engine => engine === run.dispatched[0] ? { late: 1_700 } : 'deliver')
  run.advance(12_000)
  expect([...run.fleet.engines.values()].flatMap(({ generations }) => generations)).toHaveLength(1)
  expect(run.caller.text).toBe(whole)
})

it('a stream that its caller resumes is not lost to one connection that is cut before the response head', async () => {
  const run = await start()
  run.advance(200)
  run.fleet.disconnect(run.caller)
  let cuts = 0
  run.deliverBy((_engine, part) => part === 'head' && cuts++ === 0 ? 'cut' : 'deliver')
  run.advance(12_000)
  expect(run.caller.answers.map(({ kind }) => kind)).toEqual(['cut', 'whole'])
  expect(run.caller.text).toBe(whole)
})

it('a stream that its caller resumes after a continuation has no words twice when that engine is lost, too', async () => {
  const run = await start()
  for (const engine of run.fleet.engines.values()) engine.timing.token = 40
  run.advance(400)
  run.first().crash()
  run.advance(400)
  run.fleet.disconnect(run.caller)
  run.advance(400)
  for (const engine of run.fleet.engines.values()) if (engine.generations.some(({ from }) => from > 0)) engine.crash()
  run.advance(12_000)
  expect(run.caller.answers).toMatchObject([{ kind: 'cut' }, { kind: 'error', type: 'stream_interrupted' }, { kind: 'whole', body: whole }])
})

it('an engine is not taken for silent because its caller did not read for a time', async () => {
  const run = await start()
  run.advance(200)
  run.setBlocked(true)
  run.first().freezeUntil(run.fleet.time.now() + 4_000)
  run.advance(3_900)
  run.setBlocked(false)
  run.advance(8_000)
  expect({ dispatched: run.dispatched, text: run.caller.text }).toEqual({ dispatched: [run.first().id], text: whole })
})

describe('a stream with a second attempt beside a silent engine', () => {
  const silentFor = async (ms: number): Promise<Run> => {
    const run = await start()
    run.advance(200)
    run.first().freezeUntil(run.fleet.time.now() + ms)
    return run
  }

  const advanceToSecond = (run: Run): void => {
    for (let waited = 0; run.dispatched.length < 2 && waited < 3_200; waited += 5) run.advance(5)
  }

  it('goes on at the second engine if that is first, and the silent one is cancelled then, not before', async () => {
    const run = await silentFor(9_000)
    advanceToSecond(run)
    expect([run.dispatched.length, run.cancelled]).toEqual([2, []])
    run.advance(12_000)
    expect([run.dispatched.length, run.cancelled, textOf(run.caller)]).toEqual([2, [run.first().id], whole])
  })

  it('goes on at its own engine if that is first, and the second one is cancelled', async () => {
    const run = await silentFor(3_200)
    run.advance(2_900)
    run.deliverBy(engine => engine === run.dispatched[0] ? 'deliver' : { late: 1_000 })
    run.advance(12_000)
    expect([run.dispatched.length, run.cancelled, textOf(run.caller)]).toEqual([2, [run.dispatched[1]], whole])
  })

  it('goes on at the second engine without a further generation if its own one is lost meanwhile', async () => {
    const run = await silentFor(9_000)
    advanceToSecond(run)
    run.first().crash()
    run.advance(12_000)
    expect(textOf(run.caller)).toBe(whole)
    expect([...run.fleet.engines.values()].flatMap(({ generations }) => generations)).toHaveLength(2)
  })

  it('leaves nothing running at the second engine if its caller leaves', async () => {
    const run = await silentFor(9_000)
    advanceToSecond(run)
    run.fleet.disconnect(run.caller)
    run.advance(10)
    expect(run.cancelled).toEqual([run.dispatched[1]])
  })

  it('is given up after ten times the stall timeout if no other engine can go on', async () => {
    const run = await silentFor(90_000)
    run.spoilOthers('down', 0)
    run.advance(29_700)
    expect(run.caller.answers).toEqual([])
    run.advance(500)
    expect(run.caller.answers[0]).toMatchObject({ kind: 'error', type: 'stream_interrupted' })
  })
})

it('second attempts at a silent engine that answers its probes keep to the retry budget', async () => {
  const run = await start()
  const callers = Array.from({ length: 20 }, (_, index) => chat({ name: `ben-${index}`, workspace: 'listings', prompt: [`${prompt}${index}`], tokens }))
  for (const caller of callers) run.fleet.call(caller, node)
  run.advance(200)
  for (const engine of run.fleet.engines.values()) engine.freezeUntil(run.fleet.time.now() + 3_500)
  run.advance(12_000)
  expect(run.dispatched.length - 21).toBeLessThanOrEqual(1 + 0.1 * 21)
  expect(callers.map(({ answers }) => answers[0]?.kind)).toEqual(callers.map(() => 'whole'))
})
