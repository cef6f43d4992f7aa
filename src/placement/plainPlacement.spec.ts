import { createRandom } from '../random.js'
import { placePlainRequest, type PlainCandidate } from './plainPlacement.js'
import { createWorkerLoad, noteEnded, noteFailure, noteSent, noteSuccess, type InFlightRequest } from './workerLoad.js'

const slots = 6
/** Longest response time that counts as in time, in ms. */
const objective = 150

interface Worker {
  /** Mean response time, in ms. */
  readonly time: number
  /** Share of requests that fail after 1 ms. */
  readonly failureRate: number
  /** Times in ms at which the requests in the worker's slots and queue end. */
  busyUntil: number[]
}

type Choose = (candidates: readonly PlainCandidate[], now: number, count: number) => PlainCandidate | undefined

const roundRobin: Choose = (candidates, _now, count) => candidates[count % candidates.length]
const byPlacement: Choose = (candidates, now) => placePlainRequest(candidates, now)?.candidate

/** Simulates one instance that sends `perSecond` requests per second for ten seconds; returns the share that was answered in time. */
const simulate = (workers: readonly Worker[], perSecond: number, choose: Choose, seed: number): number => {
  const random = createRandom(seed)
  const candidates = workers.map((_, index): PlainCandidate => ({ id: `w${index}`, load: createWorkerLoad(`w${index}`), slots, sameDataCentre: true }))
  const ends: { readonly at: number, readonly end: () => void }[] = []
  let sent = 0
  let inTime = 0
  for (let now = 0; now < 10_000; now += -Math.log(1 - random.unit()) * 1_000 / perSecond) {
    for (const { end } of ends.filter(({ at }) => at <= now)) end()
    ends.splice(0, ends.length, ...ends.filter(({ at }) => at > now))
    const candidate = choose(candidates, now, sent)
    const worker = candidate === undefined ? undefined : workers[candidates.indexOf(candidate)]
    if (candidate === undefined || worker === undefined) continue
    sent++
    const request: InFlightRequest = { attempt: sent, worker: candidate.id, unreadTokens: 0, fetchedTokens: 0, memoryTokens: 0, tokensAhead: 0, sentAt: now, expected: 0, firstEventAt: undefined }
    noteSent(candidate.load, request)
    if (random.unit() < worker.failureRate) {
      ends.push({ at: now + 1, end: () => { noteEnded(candidate.load, request); noteFailure(candidate.load) } })
      continue
    }
    worker.busyUntil = worker.busyUntil.filter(at => at > now).sort((left, right) => left - right)
    const from = worker.busyUntil.length < slots ? now : worker.busyUntil[worker.busyUntil.length - slots]
    const until = from + worker.time * (0.5 + random.unit())
    worker.busyUntil.push(until)
    if (until - now <= objective) inTime++
    ends.push({ at: until, end: () => { noteEnded(candidate.load, request); noteSuccess(candidate.load, until - now) } })
  }
  return inTime / sent
}

const build = (over: readonly Partial<Worker>[]): readonly Worker[] => over.map(worker => ({ time: 40, failureRate: 0, busyUntil: [], ...worker }))

describe('placement of plain requests', () => {
  it.each([1, 2, 3])('keeps responses in time when one worker is three times slower (seed %i)', seed => {
    const workers = () => build([{}, {}, { time: 120 }])
    expect(simulate(workers(), 200, byPlacement, seed)).toBeGreaterThan(0.95)
    expect(simulate(workers(), 200, roundRobin, seed)).toBeLessThan(0.8)
  })

  it.each([1, 2, 3])('avoids a worker that fails immediately and therefore looks idle (seed %i)', seed => {
    const workers = () => build([{}, {}, { failureRate: 0.9 }])
    expect(simulate(workers(), 150, byPlacement, seed)).toBeGreaterThan(0.95)
    expect(simulate(workers(), 150, roundRobin, seed)).toBeLessThan(0.75)
  })

  it('uses a suspected worker only if there is no other', () => {
    const suspected = { id: 'a', load: createWorkerLoad('a'), slots, sameDataCentre: true }
    suspected.load.suspectedSince = 0
    const slow = { id: 'b', load: createWorkerLoad('b'), slots, sameDataCentre: false }
    noteSuccess(slow.load, 900)
    expect(placePlainRequest([suspected, slow], 10)?.candidate.id).toBe('b')
    expect(placePlainRequest([suspected], 10)?.candidate.id).toBe('a')
    expect(placePlainRequest([], 10)).toBeUndefined()
  })
})
