import { loadHash } from '../hash.js'
import { createRandom } from '../random.js'
import type { WorkspaceLimit } from '../rules/rulesTypes.js'
import type { LimitsMessage } from './limitsMessages.js'
import { limitsMessage } from './limitsMessages.js'
import { createLimits } from './limitsMachine.js'
import type { AdmissionRequest, Limits } from './limitsTypes.js'
import { limitsDefaults } from './limitsTypes.js'

const buildRequest = (changes: Partial<AdmissionRequest> = {}): AdmissionRequest =>
  ({ workspace: 'ws', limit: {}, priority: 0, worth: 1, deadline: 1e9, expectedWait: 10, tokens: 100, ...changes })

const createInstance = async (self = 'a', instanceIds: readonly string[] = ['a'], incarnation = `${self}1`): Promise<Limits> =>
  createLimits({ ...limitsDefaults, hash: await loadHash(), self, incarnation, random: createRandom(1), instancesOf: () => instanceIds })

interface Fleet {
  readonly entries: Map<string, Limits>
  /** Runs ticks and sends requests to each instance at its rate per second; returns the number admitted by instance. */
  readonly run: (from: number, to: number, rates: Readonly<Record<string, number>>, limit: WorkspaceLimit) => Record<string, number>
  /** Returns whether messages from one instance to another are lost. */
  cut: (from: string, to: string) => boolean
}

const messageDelay = 20

const createFleet = async (ids: readonly string[]): Promise<Fleet> => {
  const entries = new Map<string, Limits>()
  for (const id of ids) entries.set(id, await createInstance(id, ids))
  let undelivered: { at: number, from: string, to: string, message: LimitsMessage }[] = []

  const deliver = (now: number): void => {
    const due = undelivered.filter(delivery => delivery.at <= now)
    undelivered = undelivered.filter(delivery => delivery.at > now)
    for (const { from, to, message } of due) entries.get(to)?.handle({ kind: 'peer.message', from, message: limitsMessage.parse(message) }, now)
  }

  const tick = (now: number): void => {
    for (const [from, limits] of entries) {
      for (const effect of limits.handle({ kind: 'tick' }, now)) {
        if (!fleet.cut(from, effect.to)) undelivered.push({ at: now + messageDelay, from, to: effect.to, message: effect.message })
      }
    }
  }

  const run: Fleet['run'] = (from, to, rates, limit) => {
    const admitted: Record<string, number> = {}
    const dueRequests: Record<string, number> = {}
    for (let now = from; now < to; now += 10) {
      deliver(now)
      if (now % 50 === 0) tick(now)
      for (const [id, limits] of entries) {
        dueRequests[id] = (dueRequests[id] ?? 0) + (rates[id] ?? 0) / 100
        for (; dueRequests[id] >= 1; dueRequests[id]--) {
          const admission = limits.admit(buildRequest({ limit }), now)
          if (admission.isOk()) admitted[id] = (admitted[id] ?? 0) + 1
          if (admission.isOk()) limits.finished(admission.value, undefined, now)
        }
      }
    }
    return admitted
  }

  const fleet: Fleet = { entries, run, cut: () => false }
  return fleet
}

const sum = (counts: Readonly<Record<string, number>>): number => Object.values(counts).reduce((left, right) => left + right, 0)

const fractions = (fleet: Fleet): number =>
  [...fleet.entries.values()].reduce((total, limits) => total + (limits.dump().workspaces[0]?.fraction ?? 0), 0)

describe('workspace limits over several instances', () => {
  const limit = { requestsPerSecond: 100 }

  it('gives the whole limit to the entry that has the demand', async () => {
    const fleet = await createFleet(['a', 'b', 'c', 'd'])
    fleet.run(0, 5000, { a: 300 }, limit)
    const admitted = fleet.run(5000, 10_000, { a: 300 }, limit)
    expect(sum(admitted)).toBeGreaterThan(450)
    expect(sum(admitted)).toBeLessThanOrEqual(5 * 100 + 25 + 4)
  })

  it('never admits more than the limit and one burst while demand moves', async () => {
    const fleet = await createFleet(['a', 'b', 'c'])
    let from = 0
    const phases: readonly Record<string, number>[] = [{ a: 300 }, { b: 300, c: 10 }, { a: 50, b: 50, c: 300 }, { c: 300 }]
    for (const rates of phases) {
      const admitted = fleet.run(from, from + 3000, rates, limit)
      expect(sum(admitted)).toBeLessThanOrEqual(3 * 100 + 25 + 3)
      expect(fractions(fleet)).toBeLessThanOrEqual(1 + 1e-9)
      from += 3000
    }
  })

  it('falls back to equal parts without overshoot when cut off, in both directions or one', async () => {
    for (const cut of [(): boolean => true, (from: string): boolean => from === 'a', (_: string, to: string): boolean => to === 'a']) {
      const fleet = await createFleet(['a', 'b'])
      fleet.run(0, 4000, { a: 300, b: 5 }, limit)
      fleet.cut = cut
      for (let from = 4000; from < 12_000; from += 1000) {
        const admitted = fleet.run(from, from + 1000, { a: 300, b: 300 }, limit)
        expect(sum(admitted)).toBeLessThanOrEqual(100 + 25 + 2)
      }
      const late = fleet.run(12_000, 17_000, { a: 300, b: 300 }, limit)
      expect(late.a).toBeGreaterThan(230)
      expect(late.b).toBeGreaterThan(230)
      fleet.cut = () => false
      for (let from = 17_000; from < 23_000; from += 1000) {
        expect(sum(fleet.run(from, from + 1000, { a: 300 }, limit))).toBeLessThanOrEqual(100 + 25 + 2)
      }
    }
  })

  it('admits no more requests in flight than the concurrency limit', async () => {
    const limits = await createInstance()
    const isAdmitted = (): boolean => limits.admit(buildRequest({ limit: { concurrency: 3 } }), 0).isOk()
    expect([isAdmitted(), isAdmitted(), isAdmitted(), isAdmitted()]).toEqual([true, true, true, false])
  })
})

describe('admission', () => {
  it('refuses at once a request that cannot meet its deadline, with a jittered time to retry after', async () => {
    const limits = await createInstance()
    const refusals = [1, 2, 3].map(() => limits.admit(buildRequest({ deadline: 1000, expectedWait: 1500 }), 0)._unsafeUnwrapErr())
    expect(refusals.every(refusal => refusal.reason === 'deadline' && refusal.retryAfter >= 500)).toBe(true)
    expect(new Set(refusals.map(refusal => refusal.retryAfter)).size).toBe(3)
  })

  it('refuses part of the requests of a flooding workspace under pressure and none of the others', async () => {
    const limits = await createInstance()
    const outcomes: Record<string, number> = { flood: 0, calm: 0 }
    for (let now = 0; now < 4000; now += 10) {
      const isAdmitted = (workspace: string): boolean => limits.admit(buildRequest({ workspace, deadline: now + 1000, expectedWait: 600 }), now).isOk()
      for (let index = 0; index < 5; index++) outcomes.flood += isAdmitted('flood') ? 1 : 0
      if (now % 50 === 0) outcomes.calm += isAdmitted('calm') ? 1 : 0
    }
    expect(outcomes.calm).toBe(80)
    expect(outcomes.flood).toBeLessThan(500)
  })

  it('allows retries up to a tenth of first attempts, and no retry of a retry', async () => {
    const limits = await createInstance()
    for (let index = 0; index < 100; index++) limits.admit(buildRequest(), 0)
    let retries = 0
    while (limits.retry({ workspace: 'ws', retried: false, deadline: 1e6, expectedWait: 1 }, 0).isOk()) retries++
    expect(retries).toBe(10)
    const again = limits.retry({ workspace: 'ws', retried: true, deadline: 1e6, expectedWait: 1 }, 0)
    expect(again._unsafeUnwrapErr().reason).toBe('retryOfRetry')
  })
})
