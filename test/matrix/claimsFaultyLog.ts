/** The log of the claims scenario: expiry, slow times, and the faults of the matrix. */
import type { LogEffect, LogInput } from '../../src/ports/logPort.js'
import type { Random } from '../../src/random.js'
import { createFakeLog } from '../fakes/fakeLog.js'
import type { VirtualTime } from '../fakes/virtualTime.js'
import type { ClaimsStep } from './claimsFaults.js'
import type { Fault } from './matrixTypes.js'

/** Time in ms for which records are kept. */
export const retention = 13_000

/** Delay in ms of what comes after all patience has ended. */
export const lateDelay = 4_000

/** Delay in ms of what comes after the first patience has ended. */
export const slowDelay = 700

/** Times in ms since the start between which each operation takes longer. */
const slowPeriod = { from: 4_000, until: 4_900, by: 300 }

/** A log on virtual time. */
export interface FaultyLog {
  /** Performs an operation; `answer` gets what comes back, if anything does. */
  readonly use: (effect: LogEffect, fault: Fault | undefined, answer: (input: LogInput) => void) => void
  /** Fails all operations for some ms. */
  readonly startOutage: (duration: number) => void
}

/**
 * The protocol's step of an operation.
 *
 * @param effect - the operation
 */
export const stepOfLog = (effect: LogEffect): ClaimsStep => {
  if (effect.kind === 'log.read') return 'readBack'
  return JSON.stringify(effect.payload).includes('"kind":"claim"') ? 'append' : 'closeAppend'
}

/**
 * Creates an empty log.
 *
 * @param time - the scenario's clock
 * @param random - varies delays
 * @param start - first time of the clock, in ms
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

  const use = (effect: LogEffect, fault: Fault | undefined, answer: (input: LogInput) => void): void => {
    const { owner, token, stream } = effect
    const delay = nextDelay()
    const answerAfter = (input: LogInput, after: number): void => time.after(after, () => answer(input))
    const failure: LogInput = { kind: 'log.failed', owner, token, stream, failure: 'lost' }

    const takeEffect = (after: number, answers: readonly number[], doubled = false): void => time.after(after, () => {
      expire(stream)
      const input = log.perform(effect, time.now(), time.now() < downUntil ? 'outage' : doubled ? 'duplicate' : 'none')
      for (const each of answers) answerAfter(input, each)
    })

    switch (fault) {
      case 'crash': return
      case 'cutBefore': return answerAfter(failure, delay)
      case 'cutAfter': return takeEffect(delay / 2, [])
      case 'lostAck':
        takeEffect(delay / 2, [])
        return answerAfter(failure, delay)
      case 'late': return takeEffect(lateDelay, [delay / 2])
      case 'slow': return takeEffect(delay / 2, [slowDelay * 2])
      case 'duplicate': return takeEffect(delay / 2, [delay / 2, slowDelay], true)
      case 'crossed':
        takeEffect(delay / 2, [])
        return answerAfter({ kind: 'log.appended', owner, token: token + 1, stream, offset: 0 }, delay)
      default: takeEffect(delay / 2, [delay / 2])
    }
  }

  return { use, startOutage: duration => { downUntil = time.now() + duration } }
}
