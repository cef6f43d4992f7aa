/** Keeps a stream in order and at the software version that began it, over retries and over the attempts of its caller. */
import type { Route } from '../catalog/catalogTypes.js'
import type { Call } from '../ports/forwardPort.js'
import type { StreamOrigin } from '../streamOrigins/streamOriginsTypes.js'
import type { Worker } from '../workers/workersTypes.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { Attempt, Exchange } from './forwardingTypes.js'

/** What is known of the stream that a request resumes. */
export type Continuation = 'free' | 'bound' | 'asked' | 'unknown'

/** Event ids that can be sent in a header, of at most 1,024 characters. */
const sendableId = /^[\t\x20-\x7e\x80-\xff]{0,1024}$/

/** Whether a new attempt can go on after the events that were sent to the caller; without an id it would begin anew. */
export const canResume = ({ events, lastEventId }: Exchange): boolean =>
  lastEventId === undefined ? events === 0 : sendableId.test(lastEventId)

const lineEnd = /\r\n|\n|\r/
/** A line of an event stream: a comment, or a field with its name. */
const streamLine = /^(?::|[\w-]+:|(?:data|event|id|retry)$)/
const idLine = /^id:[ ]?(.*)$/
const integer = /^\d{1,15}$/

/** The lines of the first event, without the comments before it. */
const firstEventLines = (bytes: Buffer): readonly string[] => {
  const lines = bytes.toString('latin1').split(lineEnd)
  const start = lines.findIndex(line => line !== '' && !line.startsWith(':'))
  if (start < 0) return []
  return lines.slice(start, lines.indexOf('', start))
}

/** Whether an event with this id comes after another one; ids that are no integers only have to differ. */
const comesAfter = (id: string, lastId: string): boolean =>
  integer.test(id) && integer.test(lastId) ? Number(id) > Number(lastId) : id !== lastId

/**
 * Whether events of a new attempt go on after those that the caller has. A worker
 * that cannot resume a stream may begin it anew, or report an error in its place.
 *
 * @param exchange - the request
 * @param bytes - the first complete events of the attempt
 */
export const goesOn = ({ events, lastEventId }: Exchange, bytes: Buffer): boolean => {
  if (events === 0 || lastEventId === undefined) return true
  const lines = firstEventLines(bytes)
  const id = lines.map(line => idLine.exec(line)?.[1]).findLast(found => found !== undefined)
  return id !== undefined && comesAfter(id, lastEventId) && lines.every(line => streamLine.test(line))
}

/** Whether a request resumes a stream that an earlier attempt of its caller began. */
export const isResumption = (route: Route, { resumeAfter, resumes }: Call): boolean =>
  route.kind === 'stream' && (resumeAfter !== undefined || resumes !== undefined)

/** Id under which the stream began that a new attempt goes on with; undefined if it has not begun, or if the caller does not name it. */
export const continuedStream = ({ call, events }: Exchange): string | undefined => call.resumes ?? (events > 0 && call.resumeAfter === undefined ? call.id : undefined)

/**
 * Binds a request that resumes a stream to the software version that began it.
 *
 * @param context - state of the instance
 * @param exchange - the request; its origin and service are set once they are known
 * @param now - present time, in ms
 * @returns `free` if it resumes none; `asked` while other instances are being asked; `unknown` if it may not be sent
 */
export const bindToOrigin = (context: ForwardingContext, exchange: Exchange, now: number): Continuation => {
  const { call, route, workspace, service } = exchange
  if (exchange.origin !== undefined) return 'bound'
  const isContinued = route.kind === 'stream' && exchange.events > 0
  if (!isResumption(route, call) && !isContinued) return 'free'
  const lookup = context.streamOrigins.lookUp({ stream: continuedStream(exchange), service, workspace: workspace?.name }, now)
  if (lookup.kind !== 'known') return lookup.kind
  exchange.origin = lookup.origin
  // A route's services share its requests; the stream goes on at the one that began it.
  if (route.targets.some(target => target.service === lookup.origin.service)) exchange.service = lookup.origin.service
  return 'bound'
}

/** Whether the request may be sent to the worker as far as its stream's origin is concerned; `now` in ms. */
export const fitsOrigin = (context: ForwardingContext, { origin }: Exchange, worker: Worker, now: number): boolean =>
  origin === undefined || context.streamOrigins.fits(origin, worker, now)

const originOf = ({ service, workspace }: Exchange, worker: string, startedAt: number, version: string | undefined): StreamOrigin => ({
  service,
  worker,
  startedAt,
  ...(workspace === undefined ? {} : { workspace: workspace.name }),
  ...(version === undefined ? {} : { version })
})

/**
 * Records where a stream began when an event of it arrives. A worker that has
 * started anew since the request was sent, but before its record said so, sent the
 * events in its new lifetime, since the end of the old one cut its connections.
 *
 * @param context - state of the instance
 * @param exchange - the request
 * @param attempt - the attempt that brought the event
 * @param now - present time, in ms
 */
export const noteStreamEvent = (context: ForwardingContext, exchange: Exchange, attempt: Attempt, now: number): void => {
  const current = context.workers.get(attempt.worker)
  const startedAt = current?.startedAt ?? attempt.workerStartedAt
  const isRestarted = exchange.origin?.worker === attempt.worker && exchange.origin.startedAt !== startedAt
  if (exchange.streamBegun && !isRestarted) return
  exchange.streamBegun = true
  const version = current === undefined ? attempt.softwareVersion : current.softwareVersion
  exchange.origin = originOf(exchange, attempt.worker, startedAt, version)
  context.streamOrigins.begin(exchange.call.id, exchange.origin, now)
}
