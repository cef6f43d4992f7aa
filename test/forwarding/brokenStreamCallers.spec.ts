import type { Socket } from 'node:net'
import { loadHash, type Hash } from '../../src/hash.js'
import { closeRawServers } from '../fakes/rawServer.js'
import { playBrokenStream, type WorkerAnswer } from '../fixtures/brokenStream.js'
import { breaks, eventsText, expectOneStream, goesOn, noContinuations, partAfter, statusLines } from '../fixtures/brokenStreamCases.js'
import { buildRoute } from '../fixtures/forwarding.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

afterEach(closeRawServers)

const resumable = buildRoute({ kind: 'stream', resumable: true, timeout: 5_000, maxWorkers: 3 })

const breakCalled = (name: string) => {
  const found = breaks.find(kind => kind.name === name)
  if (found === undefined) throw new TypeError(`no break is called ${name}`)
  return found
}
const silent = breakCalled('falls silent')

describe('a stream whose first worker is silent and goes on', () => {
  let firstSocket: Socket | undefined
  const first: WorkerAnswer = {
    ...silent.answer(eventsText(0, 1)),
    write: (socket, request) => {
      firstSocket = socket
      silent.answer(eventsText(0, 1)).write(socket, request)
    }
  }
  const rest = eventsText(1)
  const wake = (): void => { firstSocket?.write(`${rest.length.toString(16)}\r\n${rest}\r\n0\r\n\r\n`) }

  it.each(noContinuations)('is the one stream of its caller beside $name of a second worker', async next => {
    const beside: WorkerAnswer = {
      ...next.answer,
      write: (socket, request) => {
        next.answer.write(socket, request)
        wake()
      }
    }
    const outcome = await playBrokenStream({ hash, route: resumable, answers: [first, beside, goesOn] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0), end: 'whole' })
  })
})

describe('a stream that waits for another worker', () => {
  it.each(noContinuations)('is broken off after its whole events when the instance ends after $name', async next => {
    const outcome = await playBrokenStream({
      hash,
      route: resumable,
      answers: [breakCalled('is cut').answer(eventsText(0, 1) + partAfter(1)), next.answer],
      disturb: ({ received, now, endAll }) => {
        if (!received.body.endsWith(eventsText(0, 1))) return false
        endAll(now)
        return true
      }
    })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0, 1), end: 'broken' })
  })
})

describe('a stream whose service has a short retry budget', () => {
  it.each([[0, 0], [1, 2]])('is broken off after its whole events when the budget is used up after %i retries', async (retries, retrySlack) => {
    for (const next of noContinuations) {
      const outcome = await playBrokenStream({ hash, route: resumable, retrySlack, answers: [breakCalled('is cut').answer(eventsText(0, 1) + partAfter(1)), next.answer] })
      expectOneStream(outcome)
      expect(outcome).toMatchObject({ body: eventsText(0, 1), end: 'broken' })
      expect(outcome.requests).toHaveLength(retries + 1)
    }
  })
})

describe('a caller that resumes a stream', () => {
  it.each(noContinuations)('gets $name as a plain answer or a refusal, and no stream', async next => {
    const outcome = await playBrokenStream({ hash, route: { ...resumable, maxWorkers: 1 }, begunAs: 'call-0', headers: 'Last-Event-Id: 2\r\nResumes: call-0\r\n', answers: [next.answer] })
    expect(outcome).toMatchObject({ end: 'whole', errors: [] })
    expect(outcome.requests[0]).toMatch(/^Last-Event-Id: 2\r$/m)
    expect([next.status, 502, 503, 504]).toContain(outcome.status)
    expect(statusLines(outcome)).toBe(1)
    expect(outcome.head).not.toMatch(/transfer-encoding/i)
  })
})
