/** The log of the claims scenario, with retention, a period of slow operations, and the faults of the matrix. */
import type { LogEffect, LogInput } from '../../src/ports/logPort.js'
import type { Random } from '../../src/random.js'
import { createFakeLog } from '../fakes/fakeLog.js'
import type { VirtualTime } from '../fakes/virtualTime.js'
import type { ClaimsStep } from './claimsFaults.js'
import type { Fault } from './matrixTypes.js'

/** Time in ms for which the log keeps records. */
export const retention = 13_000

/** Delay in ms of a late message or answer, longer than the timeouts of claims and callers. */
export const lateDelay = 4_000

/** Delay in ms of a slow message or answer, longer than the first timeout, after which the next holder is tried. */
export const slowDelay = 700

/** Period, in ms since the start, in which each operation takes `by` ms longer. */
const slowPeriod = { from: 4_000, until: 4_900, by: 300 }

/** A log on virtual time. */
export interface FaultyLog {
  /** Performs an operation under a fault; `respond` is called with each response, possibly never. */
  readonly use: (effect: LogEffect, fault: Fault | undefined, respond: (input: LogInput) => void) => void
  /** Makes all operations fail for a duration in ms. */
  readonly startOutage: (duration: number) => void
}

/**
 * Determines the protocol step of a log operation.
 *
 * @param effect - the operation
 * @returns `append` if the payload contains a claim, `closeAppend` if only close records, `readBack` for a read
 */
export const stepOfLog = (effect: LogEffect): ClaimsStep => {
  if (effect.kind === 'log.read') return 'readBack'
  return JSON.stringify(effect.payload).includes('"kind":"claim"') ? 'append' : 'closeAppend'
}

/**
 * Creates an empty log.
 *
 * @param time - the scenario's clock
 * @param random - source of the varying delays
 * @param start - start of the clock, in ms
 * @returns the log
 */
export const createFaultyLog = (time: VirtualTime, random: Random, start: number): FaultyLog => {
  const log = createFakeLog()
  let downUntil = 0

  const expire = (stream: string): void => {
    const oldest = log.records(stream).find(record => record.at >= time.now() - retention)
    log.expire(stream, oldest?.offset ?? Infinity)
  }

  const nextDelay = (): number => {
    const since = time.now() - start
    return 4 + random.below(8) + (since >= slowPeriod.from && since < slowPeriod.until ? slowPeriod.by : 0)
  }

  const use = (effect: LogEffect, fault: Fault | undefined, respond: (input: LogInput) => void): void => {
    const { owner, token, stream } = effect
    const delay = nextDelay()
    const respondAfter = (input: LogInput, after: number): void => time.after(after, () => respond(input))
    const failure: LogInput = { kind: 'log.failed', owner, token, stream, failure: 'lost' }

    const takeEffect = (after: number, responseDelays: readonly number[], isDuplicated = false): void => time.after(after, () => {
      expire(stream)
      const input = log.perform(effect, time.now(), time.now() < downUntil ? 'outage' : isDuplicated ? 'duplicate' : 'none')
      for (const responseDelay of responseDelays) respondAfter(input, responseDelay)
    })

    switch (fault) {
      case 'crash': return
      case 'cutBefore': return respondAfter(failure, delay)
      case 'cutAfter': return takeEffect(delay / 2, [])
      case 'lostAck':
        takeEffect(delay / 2, [])
        return respondAfter(failure, delay)
      case 'late': return takeEffect(lateDelay, [delay / 2])
      case 'slow': return takeEffect(delay / 2, [slowDelay * 2])
      case 'duplicate': return takeEffect(delay / 2, [delay / 2, slowDelay], true)
      case 'crossed':
        takeEffect(delay / 2, [])
        return respondAfter({ kind: 'log.appended', owner, token: token + 1, stream, offset: 0 }, delay)
      default: takeEffect(delay / 2, [delay / 2])
    }
  }

  return { use, startOutage: duration => { downUntil = time.now() + duration } }
}
