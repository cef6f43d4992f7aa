/**
 * A stand-in for the weight store. It answers each load with the time that the
 * load takes; above `atOnce` concurrent loads, a new load takes
 * proportionally longer.
 */
import { answerWithFaults, createStandInServer } from './standInServer.js'
import type { StandIn, StandInOptions } from './standInServer.js'

/** Options of the weight store. */
export interface WeightStoreOptions extends StandInOptions {
  /** Duration of a load at full speed, in ms; 500 by default. */
  readonly loadTime?: number
  /** Number of concurrent loads that run at full speed; 2 by default. */
  readonly atOnce?: number
}

/** A load that the store granted at `at`, in ms, with its duration `ms`. */
export interface WeightLoad {
  readonly name: string
  readonly at: number
  readonly ms: number
  /** Number of loads in progress, including this one. */
  readonly inProgress: number
}

/**
 * Creates a weight store.
 *
 * @param options - address, duration of a load and concurrent loads at full speed
 * @returns the store; its record lists the granted loads
 */
export const createWeightStore = (options: WeightStoreOptions = {}): StandIn<WeightLoad> => {
  const { loadTime = 500, atOnce = 2 } = options
  const record: WeightLoad[] = []
  const server = createStandInServer(options, record)

  server.on('POST', '/loads/:name', call => answerWithFaults(server, call, () => {
    const at = server.now()
    const inProgress = record.filter(load => load.at + load.ms > at).length + 1
    const ms = Math.round(loadTime * Math.max(1, inProgress / atOnce))
    record.push({ name: call.params.name ?? '', at, ms, inProgress })
    return { status: 200, body: { ms } }
  }))

  return server.toStandIn(record)
}
