import { EventEmitter } from 'node:events'
import { followStartSignals, type CommandSignal, type StartSignals } from './startSignals.js'

interface Fixture {
  readonly source: EventEmitter
  readonly signals: StartSignals
  /** What was done, in order. */
  readonly done: readonly string[]
  /** Receives the signals that have come, as a turn of the event loop does. */
  readonly receivePending: () => void
  readonly send: (signal: CommandSignal, at: number) => void
  readonly handOver: () => void
}

const follow = (source = new EventEmitter()): Fixture => {
  const done: string[] = []
  let now = 0
  let receivePending: () => void = () => { /* Nothing waits. */ }
  const signals = followStartSignals({ source, exit: () => done.push('exit'), clock: () => now, afterPending: callback => { receivePending = callback } })
  return {
    source,
    signals,
    done,
    receivePending: () => receivePending(),
    send: (signal, at) => {
      now = at
      source.emit(signal)
    },
    handOver: () => signals.handOver({ stop: signalledAt => done.push(`stop ${signalledAt}`), reload: () => done.push('reload') })
  }
}

describe('the signals of a command that starts', () => {
  it.each(['SIGTERM', 'SIGINT'] as const)('end the process at once as long as it does not listen: %s', signal => {
    const { send, done } = follow()
    send(signal, 10)
    expect(done).toEqual(['exit'])
  })

  it('end the process also when they have come and are received only before it listens', () => {
    const { signals, receivePending, send, done } = follow()
    signals.beforeListening()
    send('SIGTERM', 10)
    receivePending()
    expect(done).toEqual(['exit'])
  })

  it('stop it gracefully once it listens, from the moment of the first one', async () => {
    const { signals, receivePending, send, handOver, done } = follow()
    const mayListen = signals.beforeListening()
    receivePending()
    await mayListen
    send('SIGTERM', 10)
    send('SIGTERM', 12)
    expect(done).toEqual([])
    handOver()
    expect(done).toEqual(['stop 10'])
  })

  it('make it read its settings once more at the end of its start, and live on', () => {
    const { send, handOver, done } = follow()
    send('SIGHUP', 10)
    send('SIGHUP', 11)
    expect(done).toEqual([])
    handOver()
    expect(done).toEqual(['reload'])
  })

  it('are passed on at once after the start', () => {
    const { send, handOver, done } = follow()
    handOver()
    send('SIGHUP', 20)
    send('SIGTERM', 30)
    send('SIGINT', 40)
    expect(done).toEqual(['reload', 'stop 30', 'stop 40'])
  })

  it('have a listener at any time while those of the program are replaced: without one the process drops a signal that is not received yet', () => {
    const source = new EventEmitter()
    const signals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const
    const former = jest.fn()
    for (const signal of signals) source.on(signal, former)
    let fewest = 1
    source.on('removeListener', (signal: CommandSignal) => { fewest = Math.min(fewest, source.listenerCount(signal)) })
    const { handOver } = follow(source)
    handOver()
    for (const signal of signals) source.emit(signal)
    expect([fewest, former.mock.calls.length]).toEqual([1, 0])
  })
})
