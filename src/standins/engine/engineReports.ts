/** Routes for cache events and load reports, both of which the engine publishes at intervals. */
import { sendJson } from '../standInServer.js'
import type { Call } from '../standInServer.js'
import type { EngineContext } from './engineTypes.js'

/** The handlers of the report routes, and the timers that publish cache events and load reports. */
export interface EngineReports {
  /** Answers with a batch of cache events; long-polls for up to `wait_ms` when there is none yet. */
  readonly cacheEvents: (call: Call) => void
  /** Answers with the latest load report. */
  readonly load: (call: Call) => void
  readonly start: () => void
  /** Stops the timers and answers all waiting long polls. */
  readonly stop: () => void
}

const maxWait = 30_000 // ms that a long poll may wait

/**
 * Creates the report handlers of an engine.
 *
 * @param context - the engine's context
 * @param eventInterval - time between batches of cache events, in ms
 * @param reportInterval - time between load reports, in ms
 * @returns the handlers and their timers
 */
export const createEngineReports = (context: EngineContext, eventInterval: number, reportInterval: number): EngineReports => {
  const { server, cache, batch } = context
  const waiting = new Set<() => void>()
  let report = batch.load()
  let timers: NodeJS.Timeout[] = []

  const areEventsFrozen = (): boolean => server.faults.holds('freeze', server.now()) || server.faults.holds('freezeEvents', server.now())

  const answerWaiting = (): void => {
    for (const wake of [...waiting]) wake()
  }

  const publish = (): void => {
    if (areEventsFrozen()) return
    const before = cache.lastSeq()
    cache.flush()
    if (cache.lastSeq() > before) answerWaiting()
  }

  const refresh = (): void => {
    if (!server.faults.holds('freeze', server.now())) report = batch.load()
  }

  const cacheEvents = ({ response, query }: Call): void => {
    const { from, wait_ms: wait = '0', incarnation: knownIncarnation } = query
    const isOtherIncarnation = knownIncarnation !== undefined && knownIncarnation !== context.incarnation()
    const requestedSeq = from === undefined || isOtherIncarnation ? undefined : Number(from)
    const answer = (): void => {
      const batch = areEventsFrozen() ? undefined : cache.since(requestedSeq)
      sendJson(response, 200, { incarnation: context.incarnation(), ...batch ?? { seq: (requestedSeq ?? 1) - 1, full: false, events: [] } })
    }
    if (cache.since(requestedSeq) !== undefined || Number(wait) === 0) return answer()
    const wake = (): void => {
      clearTimeout(timer)
      waiting.delete(wake)
      answer()
    }
    const timer = setTimeout(wake, Math.min(Number(wait) || 0, maxWait))
    waiting.add(wake)
  }

  const load = ({ response }: Call): void => {
    const { running, waiting, waitingTokens } = report
    sendJson(response, 200, { incarnation: context.incarnation(), models: context.models, running, waiting, waiting_tokens: waitingTokens, leaving: false })
  }

  return {
    cacheEvents,
    load,
    start: () => { timers = [setInterval(publish, eventInterval), setInterval(refresh, reportInterval)] },
    stop: () => {
      for (const timer of timers) clearInterval(timer)
      answerWaiting()
    }
  }
}
