import { wireCodec } from '../../platform/wireCodec.js'
import { createInputCollector } from '../../test/fakes/inputCollector.js'
import { startRawServer } from '../../test/fakes/rawServer.js'
import type { ForwardInput } from '../ports/forwardPort.js'
import { createWorkerChannels } from './workerChannels.js'

const isProbe = (input: ForwardInput): input is Extract<ForwardInput, { kind: 'worker.probed' }> => input.kind === 'worker.probed'

const probe = async (port: number) => {
  const collector = createInputCollector<ForwardInput>()
  const channels = createWorkerChannels({ codec: wireCodec, emit: collector.emit, onConnectionOpened: () => { /* Not counted here. */ } })
  channels.probe('w1', { host: '127.0.0.1', port })
  return await collector.next(isProbe)
}

describe('a probe of a worker', () => {
  it('tells a process that is gone from one that accepts connections', async () => {
    const server = await startRawServer(() => { /* Answers nothing. */ })
    expect(await probe(server.port)).toEqual({ kind: 'worker.probed', worker: 'w1', reachable: true })
    await server.close()
    expect(await probe(server.port)).toEqual({ kind: 'worker.probed', worker: 'w1', reachable: false, refused: true })
  })
})
