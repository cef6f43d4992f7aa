/** Shows where a planned stop still begins or takes requests that cannot end before the instance does. */
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import { answerWhole, attemptsOf, buildGatewayBounds, buildGatewayPlay, type GatewayPlay } from '../../test/fixtures/gateway.js'
import { loadHash, type Hash } from '../hash.js'
import { createShutdown, type ShutdownBounds } from './shutdown.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

// Times in ms.
const leftAt = 1_000
const limit = 15_000

const build = (workers: number): GatewayPlay =>
  buildGatewayPlay(hash, workers, buildCatalog({ routes: [buildRoute({ kind: 'once', timeout: limit, objective: limit })] }))

const refusalsOf = (play: GatewayPlay) => play.logEvents().flatMap(event => event.kind === 'refused' ? [{ id: event.id, reason: event.reason, outcome: event.outcome }] : [])

const isTaken = (play: GatewayPlay, request: number, now: number): boolean => {
  play.send({ kind: 'call.arrived', request, call: buildCall({ id: `late${request}`, patience: limit }) }, now)
  return play.logEvents().some(event => event.kind === 'sent' && event.id === `late${request}`)
}

describe('an instance that shuts down', () => {
  it('does not send a request that waits to a worker right before it ends all requests', () => {
    const play = build(0)
    play.run(0, leftAt - 100)
    play.send({ kind: 'call.arrived', request: 1, call: buildCall({ patience: limit }) }, leftAt - 100)
    play.run(leftAt - 80, leftAt)
    play.send({ kind: 'gateway.leave' }, leftAt)
    play.run(leftAt + 20, leftAt + 7_200)
    play.send({ kind: 'feed.workers', records: [{ kind: 'present', worker: buildWorker('w1') }], complete: true }, leftAt + 7_200)
    play.run(leftAt + 7_220, leftAt + 8_000)
    expect({ sent: attemptsOf(play).length, refusals: refusalsOf(play) }).toEqual({ sent: 0, refusals: [{ id: 'call-1', reason: 'shuttingDown', outcome: 'not_run' }] })
  })

  it('does not take the time of requests that broke off early for the time that requests of the route need', () => {
    const play = build(1)
    for (let request = 1; request <= 30; request++) {
      play.send({ kind: 'call.arrived', request, call: buildCall({ id: `r${request}` }) }, request * 20)
      play.send({ kind: 'attempt.failed', attempt: attemptsOf(play).at(-1) ?? 0, failure: 'cut' }, request * 20 + 10)
    }
    play.run(700, leftAt)
    play.send({ kind: 'gateway.leave' }, leftAt)
    expect(isTaken(play, 101, leftAt + 100)).toBe(false)
  })

  it('counts the requests that are in progress among those that show how long requests of the route last', () => {
    const play = buildGatewayPlay(hash, 10, buildCatalog({ routes: [buildRoute({ kind: 'once', timeout: limit, objective: limit })] }))
    for (let request = 201; request <= 205; request++) play.send({ kind: 'call.arrived', request, call: buildCall({ id: `r${request}` }) }, 0)
    play.run(0, 5_000)
    for (let request = 1; request <= 30; request++) {
      play.send({ kind: 'call.arrived', request, call: buildCall({ id: `r${request}` }) }, 5_000 + request * 20)
      answerWhole(play, attemptsOf(play).at(-1) ?? 0, `r${request}`, 5_010 + request * 20)
    }
    play.run(5_700, 6_000)
    play.send({ kind: 'gateway.leave' }, 6_000)
    expect(isTaken(play, 101, 6_100)).toBe(false)
  })

  it('keeps the grace period with which it began to shut down', () => {
    let bounds: ShutdownBounds = buildGatewayBounds()
    const ended: number[] = []
    let now = 0
    const shutdown = createShutdown({ id: 'a', bounds: () => bounds, requests: () => 1, endWaiting: () => {}, endRequests: () => { ended.push(now) }, announce: () => {}, emit: () => {}, log: () => {} })
    shutdown.begin(0)
    for (; now <= 8_000; now += 20) {
      if (now === 4_000) bounds = { ...bounds, grace: 30_000 }
      shutdown.tick(now)
    }
    expect(ended).toEqual([7_400])
  })
})
