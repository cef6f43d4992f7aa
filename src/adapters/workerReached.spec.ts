/** A worker that accepts connections while this process is blocked. */
import { buildFixture, type Fixture } from '../../test/fixtures/workerChannels.js'
import { closeRawServers } from '../../test/fakes/rawServer.js'
import { suspend } from '../../test/fixtures/front.js'
import { buildDispatch } from '../../test/fixtures/forwarding.js'

afterEach(closeRawServers)

/** Longer than the time limit for connecting, in ms. */
const blockedTime = 300

const buildAnswering = (): Promise<Fixture> =>
  buildFixture(socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'))

describe('a worker that accepts a connection while this process is blocked', () => {
  it('is not taken for unreachable', async () => {
    const fixture = await buildAnswering()
    const probed = fixture.channels.probe('worker-1', { host: '127.0.0.1', port: fixture.server.port })
    suspend(blockedTime)
    await probed
    expect(fixture.inputs).toEqual([{ kind: 'worker.probed', worker: 'worker-1', reachable: true }])
    await fixture.close()
  })

  it('gets its request', async () => {
    const fixture = await buildAnswering()
    const end = fixture.settled(1)
    fixture.channels.send(1, buildDispatch(fixture.server.port))
    suspend(blockedTime)
    expect(await end).toEqual({ kind: 'attempt.ended', attempt: 1 })
    await fixture.close()
  })
})
