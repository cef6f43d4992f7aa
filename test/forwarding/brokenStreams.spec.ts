import { loadHash, type Hash } from '../../src/hash.js'
import { closeRawServers } from '../fakes/rawServer.js'
import { playBrokenStream } from '../fixtures/brokenStream.js'
import { breaks, eventsText, expectOneStream, goesOn, noContinuations, partAfter, statusLines, wrongContinuations } from '../fixtures/brokenStreamCases.js'
import { buildRoute } from '../fixtures/forwarding.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

afterEach(closeRawServers)

const resumable = buildRoute({ kind: 'stream', resumable: true, timeout: 5_000, maxWorkers: 3 })
const once = buildRoute({ kind: 'stream', resumable: false, timeout: 5_000, maxWorkers: 3 })

describe.each(breaks)('a stream that $name after an event and a part of one', ({ answer }) => {
  const first = answer(eventsText(0, 1) + partAfter(1))

  it.each([...noContinuations, ...wrongContinuations])('goes on at a third worker after $name of the second', async next => {
    const outcome = await playBrokenStream({ hash, route: resumable, answers: [first, next.answer, goesOn] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0), end: 'whole' })
    expect(outcome.requests[1]).toMatch(/^Last-Event-Id: 1\r$/m)
  })
})

// One kind each of a broken connection, an early end and silence.
describe.each(breaks.filter(({ name }) => ['is cut', 'ends early with a last chunk', 'falls silent'].includes(name)))('a stream that $name', ({ answer }) => {
  it.each([...noContinuations, ...wrongContinuations])('is broken off after its whole events if all others answer with $name', async next => {
    const outcome = await playBrokenStream({ hash, route: resumable, answers: [answer(eventsText(0, 3) + partAfter(3)), next.answer] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0, 3), end: 'broken' })
  })

  it.each(noContinuations)('before its first event gets $name of the second worker as a whole answer or not at all', async next => {
    const outcome = await playBrokenStream({ hash, route: resumable, answers: [answer('id: 1'), next.answer, goesOn] })
    expect(outcome).toMatchObject({ end: 'whole', errors: [] })
    expect(statusLines(outcome)).toBe(1)
    expect(outcome.head).not.toContain('Signature: first')
    if (outcome.head.includes('Signature: last')) expect(outcome).toMatchObject({ status: 200, body: eventsText(0) })
    else expect([next.status, 502, 503, 504]).toContain(outcome.status)
  })
})

describe.each(breaks.filter(({ insideEvent }) => !insideEvent))('a stream that $name', ({ answer }) => {
  it.each([0, 1, 3])('between two events goes on after %i events', async events => {
    const outcome = await playBrokenStream({ hash, route: resumable, answers: [answer(eventsText(0, events)), goesOn] })
    expect(outcome).toMatchObject({ status: 200, body: eventsText(0), end: 'whole', errors: [] })
  })
})

describe.each(breaks)('a stream that may not be resumed and $name', ({ answer }) => {
  it.each([1, 3])('is broken off after its %i whole events', async events => {
    const outcome = await playBrokenStream({ hash, route: once, answers: [answer(eventsText(0, events) + partAfter(events)), goesOn] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0, events), end: 'broken', requests: [expect.anything()] })
  })
})
