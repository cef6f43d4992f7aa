/** The requests of an instance that shuts down: which of those that arrive are taken, and how the remaining ones end. */
import type { ConnectionHistory } from '../ports/forwardPort.js'
import type { CallerResponses } from './callerResponses.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Exchange } from './forwardingTypes.js'
import type { RequestIsolation } from './requestIsolation.js'
import { isTakenInShutdown } from './shutdownAdmission.js'

/** The shutdown as it concerns the requests of one instance. */
export interface RequestShutdown {
  /** Whether a request that has arrived is taken; always while the instance does not shut down. */
  readonly takes: (exchange: Exchange, connection: ConnectionHistory | undefined, now: number) => boolean
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
  const takes: RequestShutdown['takes'] = ({ call, route, deadline }, connection, now) => {
    const progress = context.shutdownProgress(now)
    if (progress === undefined) return true
    const needed = deadline - now
    const taken = isTakenInShutdown({ progress, needed, longest: context.durations.longest(route.name, now) })
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
    endWaiting: time => endEach([...exchanges.values()].filter(exchange => !mayHaveRun(exchange)), time),
    endAll: time => endEach([...exchanges.values()], time)
  }
}
