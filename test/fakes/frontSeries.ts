/**
 * A random series of what can happen at a front server: callers over sockets that
 * keep connections, send requests one after the other or several at once, in
 * pieces, read slowly, and leave; limits that change; a shutdown; and a core that
 * answers in any order, whole or in parts, or aborts. It records what callers
 * sent and received, and what the front reported.
 */
import type { FrontFixture, TestCaller } from '../fixtures/front.js'
import { requestText, startFront } from '../fixtures/front.js'
import { parseResponses, type ReceivedResponse } from '../fixtures/responseText.js'
import { createRandom, type Random } from '../../src/random.js'

/** A connection of a caller in a series. */
export interface SeriesCaller extends TestCaller {
  /** Ids of the requests that were sent, in order; the last one may be incomplete. */
  readonly sent: string[]
  /** What is left to send of the last request. */
  rest: string
  /** Whether the caller has closed the connection or its sending side. */
  hasLeft: boolean
}

/** What a series has brought about. */
export interface SeriesOutcome {
  readonly fixture: FrontFixture
  readonly callers: readonly SeriesCaller[]
  /** Ids of requests whose response the core has aborted. */
  readonly aborted: ReadonlySet<string>
  /** Ids of requests whose response the core has completed. */
  readonly answered: ReadonlySet<string>
  /** Whether the front was told to shut down. */
  readonly hasShutDown: boolean
}

const steps = 120
/** Size of a large response, in bytes. */
const largeSize = 600_000
const bodySizes = [0, 3, 200]
const maxTurns = 3
/** HTTP status 413 Content Too Large. */
export const refusedStatus = 413

/** Name of a request that the front could not read. */
const unreadable = (request: number): string => `unreadable ${request}`

/** Maximum number of turns of the event loop until all is answered. */
const settlingTurns = 5_000

/** Runs one of the actions, drawn by weight. */
const runOne = async (random: Random, actions: readonly (readonly [weight: number, run: () => unknown])[]): Promise<void> => {
  const weighted = actions.flatMap(([weight, run]) => Array.from({ length: weight }, () => run))
  await weighted[random.below(weighted.length)]()
}

const turns = async (count: number): Promise<void> => {
  for (let turn = 0; turn < count; turn++) await new Promise(resolve => setImmediate(resolve))
}

/** Responses that a caller has received. */
export const responsesOf = (caller: SeriesCaller): readonly ReceivedResponse[] => parseResponses(caller.text())

/** Ids of the requests that a caller has sent whole. */
export const wholeRequests = ({ sent, rest }: SeriesCaller): readonly string[] => rest === '' ? sent : sent.slice(0, -1)

/**
 * Plays a series.
 *
 * @param seed - of all choices
 */
export const playFrontSeries = async (seed: number): Promise<SeriesOutcome> => {
  const random = createRandom(seed)
  const fixture = await startFront()
  const { front } = fixture
  const callers: SeriesCaller[] = []
  const aborted = new Set<string>()
  const answered = new Set<string>()
  /** Requests whose response has begun. */
  const begun = new Set<number>()
  let ids = 0
  let closing = false
  let listenerClosed = false

  const pick = <Item>(items: readonly Item[]): Item | undefined => items[random.below(Math.max(1, items.length))]
  const present = (): SeriesCaller[] => callers.filter(caller => !caller.hasLeft && !caller.isClosed())
  const open = async (): Promise<void> => {
    if (!listenerClosed) callers.push({ ...await fixture.open(), sent: [], rest: '', hasLeft: false })
  }

  /**
   * Whether a caller may send more. Once the listener is closed, idle connections are closed
   * without reading on, so that a request that crosses the close counts as unread; the reset
   * that follows it may take responses along that the caller has not read.
   */
  const maySend = (caller: SeriesCaller): boolean =>
    !listenerClosed || responsesOf(caller).filter(({ whole }) => whole).length >= wholeRequests(caller).length

  const send = (caller: SeriesCaller | undefined): void => {
    if (caller === undefined) return
    if (caller.rest === '') {
      caller.sent.push(`r${++ids}`)
      caller.rest = requestText(`r${ids}`, 'x'.repeat(pick(bodySizes) ?? 0))
    }
    const length = random.below(2) === 0 ? caller.rest.length : random.below(caller.rest.length)
    caller.socket.write(caller.rest.slice(0, length))
    caller.rest = caller.rest.slice(length)
  }

  const sendRest = (caller: SeriesCaller): void => {
    if (caller.rest !== '') caller.socket.write(caller.rest)
    caller.rest = ''
  }

  const leave = async (caller: SeriesCaller | undefined): Promise<void> => {
    if (caller === undefined) return
    caller.hasLeft = true
    return runOne(random, [[1, () => caller.socket.destroy()], [1, () => caller.socket.resetAndDestroy()], [1, () => caller.socket.end()]])
  }

  /** Requests that the core has and has not completed. */
  const atCore = (): { readonly request: number, readonly id: string }[] => {
    const left = new Set(fixture.inputs.flatMap(input => input.kind === 'call.left' ? [input.request] : []))
    return fixture.inputs.flatMap(input => {
      if (input.kind !== 'call.arrived' && input.kind !== 'call.unreadable') return []
      const id = input.kind === 'call.arrived' ? input.call.id : unreadable(input.request)
      return answered.has(id) || aborted.has(id) || left.has(input.request) ? [] : [{ request: input.request, id }]
    })
  }

  const bodyOf = (id: string): string => id + ' '.repeat(random.below(4) === 0 ? largeSize : 0)

  const begin = (request: number): void => {
    begun.add(request)
    front.perform({ kind: 'call.open', request, status: 200, headers: [] })
  }

  const complete = ({ request, id }: { readonly request: number, readonly id: string }): void => {
    answered.add(id)
    if (id === unreadable(request)) return front.perform({ kind: 'call.answer', request, status: refusedStatus, headers: [], body: Buffer.alloc(0) })
    if (!begun.has(request)) return fixture.answer(request, bodyOf(id))
    front.perform({ kind: 'call.write', request, bytes: Buffer.from(bodyOf(id)) })
    front.perform({ kind: 'call.end', request })
  }

  const answer = async (): Promise<void> => {
    const next = pick(atCore())
    if (next === undefined) return
    if (next.id === unreadable(next.request)) return complete(next)
    await runOne(random, [
      [6, () => complete(next)],
      [2, () => { if (!begun.has(next.request)) begin(next.request) }],
      [1, () => {
        if (!begun.has(next.request)) begin(next.request)
        aborted.add(next.id)
        front.perform({ kind: 'call.abort', request: next.request })
      }]
    ])
  }

  const changeLimits = (): void => front.setLimits({
    bodyBytes: pick([100, 10_000]) ?? 0,
    idleTimeout: pick([60_000, 90_000]) ?? 0,
    headerTimeout: pick([60_000, 90_000]) ?? 0
  })

  const shutDown = (): void => {
    if (closing) {
      listenerClosed = true
      front.closeListener()
    }
    closing = true
    front.setClosing()
  }

  for (let step = 0; step < steps; step++) {
    await runOne(random, [
      [2, open],
      [14, () => send(pick(present().filter(maySend)))],
      [8, answer],
      [1, () => leave(pick(present()))],
      [2, () => pick(present())?.socket.pause()],
      [2, () => pick(present())?.socket.resume()],
      [2, changeLimits],
      [step > steps / 2 ? 1 : 0, shutDown],
      [8, () => turns(random.below(maxTurns))]
    ])
  }
  for (const caller of present().filter(maySend)) sendRest(caller)
  for (const caller of callers) caller.socket.resume()
  const isSettled = (caller: SeriesCaller): boolean =>
    caller.hasLeft || caller.isClosed() || responsesOf(caller).filter(({ whole }) => whole).length === wholeRequests(caller).length
  for (let turn = 0; turn < settlingTurns && !callers.every(isSettled); turn++) {
    await turns(1)
    for (const request of atCore()) complete(request)
  }
  return { fixture, callers, aborted, answered, hasShutDown: closing }
}
