/** Random series of inputs: each request that arrived has an answer, a refusal or a caller that left, and a live attempt is never given up for its worker's silence. */
import fc from 'fast-check'
import { createFakeForwarding } from '../../test/fakes/fakeForwarding.js'
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import type { Catalog } from '../catalog/catalogTypes.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

/** Longest patience and route timeout, in ms. */
const longest = 6_000

/** One step of a series; `pick` chooses among what is in progress. */
const steps = fc.oneof(
  fc.record({ kind: fc.constant('arrive' as const), route: fc.constantFrom('model', 'desk', 'once'), patience: fc.integer({ min: 100, max: 6_000 }) }),
  fc.record({ kind: fc.constant('head' as const), pick: fc.nat(), status: fc.constantFrom(200, 200, 200, 500, 503), notRun: fc.boolean() }),
  fc.record({ kind: fc.constant('data' as const), pick: fc.nat(), text: fc.constantFrom('id: 1\ndata: t\n\n', 'id: 2\nda', 'ta: t\n\n') }),
  fc.record({ kind: fc.constant('end' as const), pick: fc.nat() }),
  fc.record({ kind: fc.constant('fail' as const), pick: fc.nat(), failure: fc.constantFrom('unsent', 'cut', 'garbled') }),
  fc.record({ kind: fc.constant('leave' as const), pick: fc.nat() }),
  fc.record({ kind: fc.constant('probe' as const), worker: fc.constantFrom('m1', 'm2', 'w1', 'w2'), reachable: fc.boolean() }),
  fc.record({ kind: fc.constant('worker' as const), worker: fc.constantFrom('m1', 'm2', 'w1', 'w2'), present: fc.boolean() }),
  fc.record({ kind: fc.constant('configuration' as const), form: fc.nat() }),
  fc.record({ kind: fc.constant('wait' as const), time: fc.integer({ min: 1, max: 1_500 }) })
)

/** Steps of streams whose workers are silent at times and reject some attempts, but neither break off nor crash. */
const soundSteps = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('arrive' as const), route: fc.constant('model'), patience: fc.constant(longest) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('head' as const), pick: fc.nat(), status: fc.constant(200), notRun: fc.constant(false) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('data' as const), pick: fc.nat(), text: fc.constant('id: 1\ndata: t\n\n') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('reject' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('configuration' as const), form: fc.nat() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), time: fc.integer({ min: 100, max: 1_500 }) }) }
)

type Step = (typeof steps | typeof soundSteps) extends fc.Arbitrary<infer Value> ? Value : never

const tickInterval = 20 // ms

const serviceOf = (worker: string): string => worker.startsWith('m') ? 'model' : 'desk'

const workerOf = (id: string, startedAt = 1) => buildWorker(id, { service: serviceOf(id), startedAt, slots: 4, models: id.startsWith('m') ? [{ name: 'llm', version: 1 }] : [] })

/** Configurations that move routes, drop them, leave them without a target or change their timeouts. */
const buildConfiguration = (form: number): Catalog => {
  const model = buildRoute({ name: 'model', host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: form % 2 === 0, timeout: form % 3 === 0 ? 1_000 : longest, objective: 500, targets: [{ service: form % 5 === 1 ? 'desk' : 'model', weight: 1 }] })
  const desk = buildRoute({ name: 'desk', timeout: form % 3 === 1 ? 500 : longest, targets: form % 5 === 2 ? [] : [{ service: 'desk', weight: 1 }] })
  const once = buildRoute({ name: 'once', pathPrefix: '/once/', kind: 'once', maxWorkers: 1, timeout: longest })
  return buildCatalog({ version: form + 1, routes: [model, desk, once].filter((_, index) => form % 7 !== index + 1) })
}

const callOf = (route: string, id: string, patience: number) => {
  if (route === 'model') return buildCall({ id, patience, host: 'model.example', path: '/model/x', prompt: { model: 'llm', inputTokens: 900, maxOutputTokens: 50, parts: [{ id: 'a1', tokens: 500 }, { id: 'b2', tokens: 400 }] } })
  return buildCall({ id, patience, path: route === 'once' ? '/once/x' : '/desk/x' })
}

const playSeries = (series: readonly Step[]) => {
  const fake = createFakeForwarding({ hash, catalog: buildConfiguration(0), workers: ['m1', 'm2', 'w1', 'w2'].map(id => workerOf(id)) })
  const requests: number[] = []
  const left = new Set<number>()
  const ended = new Set<number>()
  let starts = 1
  let now = 0

  const pass = (time: number): void => {
    for (const end = now + time; now < end; now += Math.min(tickInterval, end - now)) fake.tick(now)
    fake.lease.renew({ steady: now, wall: now })
  }
  const open = (pick: number): number | undefined => {
    const inProgress = fake.sends().map(({ attempt }) => attempt).filter(attempt => !ended.has(attempt) && !fake.cancelled().includes(attempt))
    return inProgress[pick % Math.max(1, inProgress.length)]
  }
  const onAttempt = (pick: number, action: (attempt: number) => void): void => {
    const attempt = open(pick)
    if (attempt !== undefined) action(attempt)
  }
  const apply = (step: Step): void => {
    switch (step.kind) {
      case 'arrive': requests.push(fake.arrive(callOf(step.route, `c${requests.length}`, step.patience), now)); return
      case 'head': return onAttempt(step.pick, attempt => fake.head(attempt, { status: step.status, notRun: step.notRun && step.status === 503 }, now))
      case 'data': return onAttempt(step.pick, attempt => fake.data(attempt, step.text, now))
      case 'reject': return onAttempt(step.pick, attempt => {
        if (fake.hasHead(attempt)) return
        ended.add(attempt)
        fake.head(attempt, { status: 503, notRun: true }, now)
        fake.end(attempt, now)
      })
      case 'end': return onAttempt(step.pick, attempt => { ended.add(attempt); fake.end(attempt, now) })
      case 'fail': return onAttempt(step.pick, attempt => { ended.add(attempt); fake.fail(attempt, step.failure as 'unsent' | 'cut' | 'garbled', now) })
      case 'leave': {
        const request = requests[step.pick % Math.max(1, requests.length)]
        if (request === undefined || fake.callerView(request)?.state === 'whole') return
        left.add(request)
        return fake.leave(request, now)
      }
      case 'probe': return fake.probed(step.worker, step.reachable, now)
      case 'worker': {
        starts++
        fake.workers.apply([step.present ? { kind: 'present', worker: workerOf(step.worker, starts) } : { kind: 'absent', id: step.worker }], false, now)
        return
      }
      case 'configuration': return fake.setCatalog(buildConfiguration(step.form))
      case 'wait': return pass(step.time)
    }
  }
  series.forEach(apply)
  pass(longest + tickInterval)
  return { fake, requests, left }
}

const endsOf = (effects: readonly { readonly kind: string, readonly request?: number }[], request: number): number =>
  effects.filter(effect => effect.request === request && ['call.answer', 'call.end', 'call.abort'].includes(effect.kind)).length

describe('requests over random series of inputs and configurations', () => {
  it('end exactly once, with an answer, a refusal or because their caller left', () => {
    fc.assert(fc.property(fc.array(steps, { maxLength: 60 }), series => {
      const { fake, requests, left } = playSeries(series)
      const unended = requests.filter(request => !left.has(request) && endsOf(fake.effects, request) !== 1)
      expect(unended).toEqual([])
      expect(requests.filter(request => endsOf(fake.effects, request) > 1)).toEqual([])
    }), { numRuns: 250, seed: 28 })
  })

  it('are not broken off before their time is over while no worker breaks off', () => {
    fc.assert(fc.property(fc.array(soundSteps, { minLength: 20, maxLength: 60 }), series => {
      const { fake } = playSeries(series)
      expect(fake.logEvents.filter(event => event.kind === 'brokenOff' && event.reason !== 'late')).toEqual([])
    }), { numRuns: 250, seed: 29 })
  })
})
