/** Guards against a planned stop that takes a request which cannot end before the instance does, and breaks it off. */
import { buildCall, buildCatalog, buildRoute } from '../../test/fixtures/forwarding.js'
import { answerWhole, attemptsOf, buildGatewayPlay, type GatewayPlay } from '../../test/fixtures/gateway.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

/** When the instance is asked to shut down. */
const leftAt = 1_000
/** Grace period of the fixture. */
const grace = 8_000

const build = (timeout: number, kind: 'stream' | 'once' = 'stream'): GatewayPlay => buildGatewayPlay(hash, 1, buildCatalog({ routes: [buildRoute({ kind, resumable: false, timeout, objective: 600 })] }))

/** Plays the whole stop of an instance that reads one request, whose worker never ends it. */
const playStop = (readAfter: number, limit: number, heldUp = 0, overdueTick = false) => {
  const play = build(limit)
  const readAt = leftAt + readAfter
  play.run(0, leftAt - heldUp)
  if (overdueTick) play.send({ kind: 'tick' }, leftAt)
  play.send({ kind: 'gateway.leave' }, leftAt)
  play.run(leftAt + 20, readAt)
  play.send({ kind: 'call.arrived', request: 1, call: buildCall({ patience: limit }) }, readAt)
  play.run(readAt + 20, leftAt + grace)
  const answer = play.effects.find(({ effect }) => effect.kind === 'call.answer')
  return {
    wasSent: play.firstAt('attempt.send') !== undefined,
    answeredAfter: answer === undefined ? undefined : answer.at - readAt,
    status: answer?.effect.kind === 'call.answer' ? answer.effect.status : undefined,
    reasons: play.logEvents().flatMap(event => event.kind === 'refused' ? [event.reason] : [])
  }
}

/** Plays thirty short requests before a signal to stop; returns a function that sends one more, with the longest limit of the route, at a time after it, and tells whether it is taken. */
const playShortRequests = (kind: 'stream' | 'once', limit: number) => {
  const play = build(limit, kind)
  for (let request = 1; request <= 30; request++) {
    const now = request * 10
    const id = `r${request}`
    play.send({ kind: 'call.arrived', request, call: buildCall({ id }) }, now)
    answerWhole(play, attemptsOf(play).at(-1) ?? 0, id, now + 700)
  }
  play.run(600, leftAt)
  play.send({ kind: 'gateway.leave' }, leftAt)
  return (request: number, readAfter: number): boolean => {
    play.run(leftAt + readAfter - 100, leftAt + readAfter)
    play.send({ kind: 'call.arrived', request, call: buildCall({ id: `late${request}`, patience: limit }) }, leftAt + readAfter)
    return play.logEvents().some(event => event.kind === 'sent' && event.id === `late${request}`)
  }
}

const readTimes = [0, 100, 1_500, 2_380, 2_420, 2_900, 3_500, 5_000, 7_000, 7_380]

describe('an instance that shuts down', () => {
  it('ends no request that it has read and sent to a worker before its limit', () => {
    const cut = [4_000, 5_000, 15_000].flatMap(limit => readTimes.flatMap(readAfter => {
      const { wasSent, answeredAfter } = playStop(readAfter, limit)
      return wasSent && answeredAfter !== limit ? [{ limit, readAfter, answeredAfter }] : []
    }))
    expect(cut).toEqual([])
  })

  it('refuses a request at once that may last longer than the instance', () => {
    const refusal = { wasSent: false, answeredAfter: 0, status: 503, reasons: ['shuttingDown'] }
    expect(readTimes.map(readAfter => playStop(readAfter, 15_000))).toEqual(readTimes.map(() => refusal))
  })

  it('takes a request whose time is over before its own', () => {
    for (const readAfter of readTimes.slice(0, 5)) expect(playStop(readAfter, 3_000)).toMatchObject({ wasSent: true, answeredAfter: 3_000, status: 504 })
  })

  it('takes a request that may last longer while callers may have its address, if requests of the route have lately been much shorter', () => {
    const isTaken = playShortRequests('stream', 15_000)
    expect(isTaken(101, 100)).toBe(true)
    expect(isTaken(102, 2_500)).toBe(true)
    expect(isTaken(103, 3_000)).toBe(false)
  })

  it('takes no request that may not run again and may last longer, however short others have been', () => {
    const isTaken = playShortRequests('once', 15_000)
    expect([isTaken(101, 100), isTaken(102, 2_500), isTaken(103, 3_000)]).toEqual([false, false, false])
  })

  it('takes a request that may not run again as long as its time is over before its own', () => {
    const isTaken = playShortRequests('once', 2_000)
    expect([isTaken(101, 100), isTaken(102, 2_500), isTaken(103, 5_300), isTaken(104, 5_500)]).toEqual([true, true, true, false])
  })

  it('counts its grace period from the earliest moment at which the signal may have come', () => {
    expect(playStop(100, 6_900, 900)).toMatchObject({ wasSent: false, status: 503 })
    expect(playStop(100, 6_300, 900)).toMatchObject({ wasSent: true })
  })

  // The event loop runs the overdue tick before the handler of the signal.
  it('counts its grace period from before a delay of the process, though a tick comes between the delay and the signal', () => {
    expect(playStop(100, 6_900, 900, true)).toMatchObject({ wasSent: false, status: 503 })
    expect(playStop(100, 6_300, 900, true)).toMatchObject({ wasSent: true })
  })

  it('counts its grace period from the receipt of a signal that came while the process was starting', () => {
    const play = build(15_000)
    play.send({ kind: 'gateway.leave', signalledAt: leftAt - 3_000 }, leftAt)
    const isTaken = (request: number, limit: number): boolean => {
      play.send({ kind: 'call.arrived', request, call: buildCall({ id: `r${request}`, patience: limit }) }, leftAt)
      return play.logEvents().some(event => event.kind === 'sent' && event.id === `r${request}`)
    }
    expect([isTaken(1, 4_300), isTaken(2, 4_500)]).toEqual([true, false])
    play.run(leftAt + 20, leftAt + 5_000)
    expect(play.firstAt('gateway.exit')).toBeLessThanOrEqual(leftAt + 5_000 - 500)
  })
})
