import { createRandom } from '../random.js'
import { placePlainRequest, type PlainCandidate } from './plainPlacement.js'
import { createWorkerLoad, noteEnded, noteFailure, noteSent, noteSuccess, type InFlightRequest } from './workerLoad.js'

const slots = 6
const objective = 150

interface Worker {
  /** Mean time of an answer, in ms. */
  readonly time: number
  /** Share of requests that fail, at once. */
  readonly fails: number
  busyUntil: number[]
}

type Choose = (candidates: readonly PlainCandidate[], now: number, count: number) => PlainCandidate | undefined

const inTurn: Choose = (candidates, _now, count) => candidates[count % candidates.length]
const byPlacement: Choose = (candidates, now) => placePlainRequest(candidates, now)?.candidate

/** One instance sends `perSecond` requests for ten seconds; tells the share that was answered in time. */
const play = (workers: readonly Worker[], perSecond: number, choose: Choose, seed: number): number => {
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
    const flight: InFlightRequest = { attempt: sent, worker: candidate.id, unreadTokens: 0, fetchedTokens: 0, memoryTokens: 0, tokensAhead: 0, sentAt: now, expected: 0, firstEventAt: undefined }
    noteSent(candidate.load, flight)
    if (random.unit() < worker.fails) {
      ends.push({ at: now + 1, end: () => { noteEnded(candidate.load, flight); noteFailure(candidate.load) } })
      continue
    }
    worker.busyUntil = worker.busyUntil.filter(at => at > now).sort((left, right) => left - right)
    const from = worker.busyUntil.length < slots ? now : worker.busyUntil[worker.busyUntil.length - slots]
    const until = from + worker.time * (0.5 + random.unit())
    worker.busyUntil.push(until)
    if (until - now <= objective) inTime++
    ends.push({ at: until, end: () => { noteEnded(candidate.load, flight); noteSuccess(candidate.load, until - now) } })
  }
  return inTime / sent
}

const build = (over: readonly Partial<Worker>[]): readonly Worker[] => over.map(worker => ({ time: 40, fails: 0, busyUntil: [], ...worker }))

describe('the choice of a plain worker', () => {
  it.each([1, 2, 3])('keeps answers in time where one worker is three times slower (seed %i)', seed => {
    const workers = () => build([{}, {}, { time: 120 }])
    expect(play(workers(), 200, byPlacement, seed)).toBeGreaterThan(0.95)
    expect(play(workers(), 200, inTurn, seed)).toBeLessThan(0.8)
  })

  it.each([1, 2, 3])('avoids a worker that fails at once and so looks idle (seed %i)', seed => {
    const workers = () => build([{}, {}, { fails: 0.9 }])
    expect(play(workers(), 150, byPlacement, seed)).toBeGreaterThan(0.95)
    expect(play(workers(), 150, inTurn, seed)).toBeLessThan(0.75)
  })

  it('uses a doubted worker only if there is no other', () => {
    const doubted = { id: 'a', load: createWorkerLoad('a'), slots, near: true }
    doubted.load.suspectedSince = 0
    const slow = { id: 'b', load: createWorkerLoad('b'), slots, near: false }
    noteSuccess(slow.load, 900)
    expect(placePlainRequest([doubted, slow], 10)?.candidate.id).toBe('b')
    expect(placePlainRequest([doubted], 10)?.candidate.id).toBe('a')
    expect(placePlainRequest([], 10)).toBeUndefined()
  })
})
