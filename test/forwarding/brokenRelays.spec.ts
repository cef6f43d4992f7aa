import { loadHash, type Hash } from '../../src/hash.js'
import { closeRawServers } from '../fakes/rawServer.js'
import { playBrokenStream } from '../fixtures/brokenStream.js'
import { breaks, eventsText, expectOneStream, goesOn, noContinuations, partAfter, wrongContinuations } from '../fixtures/brokenStreamCases.js'
import { buildRoute } from '../fixtures/forwarding.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

afterEach(closeRawServers)

const resumable = buildRoute({ kind: 'stream', resumable: true, timeout: 5_000, maxWorkers: 3 })
const once = buildRoute({ kind: 'stream', resumable: false, timeout: 5_000, maxWorkers: 3 })
/** What other instances may send; each of them bounds what it passes on. */
const nextAnswers = [...noContinuations, ...wrongContinuations].filter(({ name }) => !name.includes('goes on without end'))

describe.each(breaks.filter(({ name }) => ['is cut', 'ends early with a last chunk'].includes(name)))('a stream at another instance that $name', ({ answer }) => {
  const first = answer(eventsText(0, 1) + partAfter(1))

  // Another instance that falls silent is not replaced before the deadline.
  it.each(nextAnswers.filter(({ name }) => !name.includes('never ends')))('goes on at a third instance after $name of the second', async next => {
    const outcome = await playBrokenStream({ hash, route: resumable, relayed: true, answers: [first, next.answer, goesOn] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0), end: 'whole' })
    expect(outcome.requests[1]).toMatch(/^Last-Event-Id: 1\r$/m)
  })

  it.each(nextAnswers)('is broken off after its whole events if all others answer with $name', async next => {
    const outcome = await playBrokenStream({ hash, route: resumable, relayed: true, answers: [first, next.answer] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0, 1), end: 'broken' })
  })
})

describe.each(breaks)('a stream at another instance that may not be resumed and $name', ({ answer }) => {
  it('is broken off after its whole events', async () => {
    const outcome = await playBrokenStream({ hash, route: once, relayed: true, answers: [answer(eventsText(0, 3) + partAfter(3)), goesOn] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0, 3), end: 'broken', requests: [expect.anything()] })
  })
})
