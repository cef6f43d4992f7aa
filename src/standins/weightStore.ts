/**
 * A stand-in for the weight store. A load is granted for the time that it
 * takes; beyond the number that the store bears at once, all take longer.
 */
import { answerWithFaults, createStandInServer } from './standInServer.js'
import type { StandIn, StandInOptions } from './standInServer.js'

/** Settings of the store. */
export interface WeightStoreOptions extends StandInOptions {
  /** How long a load takes, in ms. */
  readonly loadTime?: number
  /** Loads at once that keep their full speed. */
  readonly atOnce?: number
}

/** A granted load. */
export interface WeightLoad {
  readonly name: string
  readonly at: number
  readonly ms: number
  /** Loads in progress, with this one. */
  readonly inProgress: number
}

/**
 * Creates a weight store.
 *
 * @param options - address, time of a load and loads at once
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

  return server.standIn(record)
}
