import { loadHash, type Hash } from '../../src/hash.js'
import { closeRawServers } from '../fakes/rawServer.js'
import { playBrokenStream } from '../fixtures/brokenStream.js'
import { breaks, eventsText, expectOneStream, goesOn, partAfter } from '../fixtures/brokenStreamCases.js'
import { buildRoute } from '../fixtures/forwarding.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

afterEach(closeRawServers)

const resumable = buildRoute({ kind: 'stream', resumable: true, timeout: 5_000, maxWorkers: 3 })
const once = buildRoute({ kind: 'stream', resumable: false, timeout: 5_000, maxWorkers: 1 })

describe.each(breaks)('a stream for an HTTP/1.0 caller, which ends with its connection, that $name', ({ answer }) => {
  it('does not look complete if it is broken off', async () => {
    const outcome = await playBrokenStream({ hash, route: once, version: '1.0', answers: [answer(eventsText(0, 1) + partAfter(1)), goesOn] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ end: 'broken', requests: [expect.anything()] })
  })

  it('ends with its last event if it is resumed', async () => {
    const outcome = await playBrokenStream({ hash, route: resumable, version: '1.0', answers: [answer(eventsText(0, 1) + partAfter(1)), goesOn] })
    expectOneStream(outcome)
    expect(outcome).toMatchObject({ body: eventsText(0), end: 'whole' })
  })
})
