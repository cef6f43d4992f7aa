/** The requests of an instance that shuts down: which of those that arrive are taken, and how the remaining ones end. */
import type { ConnectionHistory } from '../ports/forwardPort.js'
import type { CallerResponses } from './callerResponses.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Exchange } from './forwardingTypes.js'
import type { RequestIsolation } from './requestIsolation.js'
import { isTakenInShutdown, mayBeginInShutdown, type ArrivalInShutdown } from './shutdownAdmission.js'

/** The shutdown as it concerns the requests of one instance. */
export interface RequestShutdown {
  /** Whether a request that has arrived is taken; always while the instance does not shut down. */
  readonly takes: (exchange: Exchange, connection: ConnectionHistory | undefined, now: number) => boolean
  /** Whether a request that waits, or is retried, may be sent to a worker; always if one may have run it, or while the instance does not shut down. */
  readonly mayBegin: (exchange: Exchange, now: number) => boolean
  /** Refuses the requests that no worker has had. */
  readonly endWaiting: (time: DecisionTime) => void
  /** Refuses all requests, or breaks their responses off. */
  readonly endAll: (time: DecisionTime) => void
}

/** What the shutdown of the requests depends on. */
export interface RequestShutdownOptions {
  readonly context: Pick<ForwardingContext, 'shutdownProgress' | 'durations' | 'log'>
  /** The requests in progress, by number. */
  readonly exchanges: ReadonlyMap<number, Exchange>
  readonly responses: CallerResponses
  readonly isolation: RequestIsolation
}

/** Whether a worker may be running the request now, or may have run it. */
const mayHaveRun = ({ attempt, relay, mayHaveRun: hasRun }: Exchange): boolean => attempt !== undefined || relay !== undefined || hasRun

/**
 * Creates the shutdown of the requests of an instance.
 *
 * @param options - the requests, and how they end
 */
export const createRequestShutdown = ({ context, exchanges, responses, isolation }: RequestShutdownOptions): RequestShutdown => {
  let openAt = -Infinity
  let oldestOpen: ReadonlyMap<string, number> = new Map()

  /** Arrival of the oldest request of each route that workers have; it will last longer. It is looked up once for all requests of a moment. */
  const oldestOpenAt = (now: number): ReadonlyMap<string, number> => {
    if (openAt === now) return oldestOpen
    const oldest = new Map<string, number>()
    for (const { route, arrivedAt, sentTo } of exchanges.values()) {
      if (sentTo.size > 0) oldest.set(route.name, Math.min(arrivedAt, oldest.get(route.name) ?? Infinity))
    }
    openAt = now
    oldestOpen = oldest
    return oldest
  }

  const longestOf = (route: string, now: number): number | undefined => {
    const longest = context.durations.longest(route, now)
    return longest === undefined ? undefined : Math.max(longest, now - (oldestOpenAt(now).get(route) ?? now))
  }

  const arrivalOf = ({ route, deadline }: Exchange, now: number): ArrivalInShutdown | undefined => {
    const progress = context.shutdownProgress(now)
    // How short others were is a likelihood, which is not enough for one that may not run again.
    const longest = route.kind === 'once' ? undefined : longestOf(route.name, now)
    return progress === undefined ? undefined : { progress, needed: deadline - now, longest }
  }

  const mayBegin: RequestShutdown['mayBegin'] = (exchange, now) => {
    if (mayHaveRun(exchange)) return true
    const arrival = arrivalOf(exchange, now)
    return arrival === undefined || mayBeginInShutdown(arrival)
  }

  const takes: RequestShutdown['takes'] = (exchange, connection, now) => {
    const arrival = arrivalOf(exchange, now)
    if (arrival === undefined) return true
    const { progress, needed } = arrival
    const { call } = exchange
    const taken = isTakenInShutdown(arrival)
    context.log({
      kind: 'arrivedInShutdown',
      id: call.id,
      taken,
      since: Math.round(progress.since),
      needed: Math.round(needed),
      left: Math.round(progress.left),
      ...(connection === undefined ? {} : { connectionAge: connection.age, earlier: connection.earlier })
    })
    return taken
  }

  const end = (exchange: Exchange, time: DecisionTime): void => {
    const hasRun = mayHaveRun(exchange)
    exchange.mayHaveRun = hasRun
    responses.refuse(exchange, hasRun ? { kind: 'cutByShutdown' } : { kind: 'shuttingDown' }, time)
  }

  const endEach = (remaining: readonly Exchange[], time: DecisionTime): void => {
    for (const exchange of remaining) isolation.run('endInShutdown', exchange.request, time, () => end(exchange, time))
  }

  return {
    takes,
    mayBegin,
    endWaiting: time => endEach([...exchanges.values()].filter(exchange => !mayHaveRun(exchange)), time),
    endAll: time => endEach([...exchanges.values()], time)
  }
}
