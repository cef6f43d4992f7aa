/** What the engine tells of itself, late: cache events in batches and load reports. */
import { sendJson } from '../standInServer.js'
import type { Call } from '../standInServer.js'
import type { EngineContext } from './engineTypes.js'

/** Serves events and reports. */
export interface EngineReports {
  readonly cacheEvents: (call: Call) => void
  readonly load: (call: Call) => void
  readonly start: () => void
  readonly stop: () => void
}

const maxWait = 30_000 // ms

/**
 * Creates what tells of the engine.
 *
 * @param context - the engine
 * @param eventInterval - time between batches of cache events, in ms
 * @param reportInterval - time between load reports, in ms
 * @returns the handlers of the routes
 */
export const createEngineReports = (context: EngineContext, eventInterval: number, reportInterval: number): EngineReports => {
  const { server, cache, batch } = context
  const waiting = new Set<() => void>()
  let report = batch.load()
  let timers: NodeJS.Timeout[] = []

  const isStill = (): boolean => server.faults.holds('freeze', server.now()) || server.faults.holds('freezeEvents', server.now())

  const wakeAll = (): void => {
    for (const wake of [...waiting]) wake()
  }

  const publish = (): void => {
    if (isStill()) return
    const before = cache.last()
    cache.flush()
    if (cache.last() > before) wakeAll()
  }

  const refresh = (): void => {
    if (!server.faults.holds('freeze', server.now())) report = batch.load()
  }

  const cacheEvents = ({ response, query }: Call): void => {
    const { from, wait_ms: wait = '0', incarnation: known } = query
    const isOther = known !== undefined && known !== context.incarnation()
    const wanted = from === undefined || isOther ? undefined : Number(from)
    const answer = (): void => {
      const batch = isStill() ? undefined : cache.since(wanted)
      sendJson(response, 200, { incarnation: context.incarnation(), ...batch ?? { seq: (wanted ?? 1) - 1, full: false, events: [] } })
    }
    if (cache.since(wanted) !== undefined || Number(wait) === 0) return answer()
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
      wakeAll()
    }
  }
}
