/** Types of the poison requests. Times are in ms of the steady clock. */
import type { FleetMessage } from '../fleet/fleetMessages.js'

/** Messages about poison requests between instances. They say `model` for a scope and `part` for a feature. */
export type PoisonMessage = Extract<FleetMessage, { kind: 'fleet.workerCrash' | 'fleet.partQuestion' | 'fleet.partProofs' | 'fleet.blockedParts' | 'fleet.partUnblocked' | 'fleet.blockedQuestion' | 'fleet.blockedAnswer' }>

/** A crash of a worker as an instance reports it. */
export type CrashReport = Extract<PoisonMessage, { kind: 'fleet.workerCrash' }>

/** A feature that may have caused a crash. */
export type Suspect = CrashReport['suspects'][number]

/** An attempt as far as poison requests are concerned. */
export interface PoisonAttempt {
  readonly id: number
  readonly worker: string
  /** Start time of the worker's lifetime. */
  readonly workerStartedAt: number
  readonly sentAt: number
  /** Whether the head of a response has arrived. */
  readonly answered: boolean
  /** When its first event arrived; undefined before. */
  readonly begunAt: number | undefined
}

/** Time from the first event of an answer within which a poison request crashes the worker, in ms. */
export const onsetTime = 300
