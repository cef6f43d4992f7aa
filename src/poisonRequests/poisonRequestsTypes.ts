/** Types of the poison parts: parts of prompts that crash each worker that begins to write an answer on them. Times are in ms of the steady clock. */
import type { FleetMessage } from '../fleet/fleetMessages.js'
import type { Call, Prompt } from '../ports/forwardPort.js'

/** Messages about poison parts between instances. */
export type PoisonMessage = Extract<FleetMessage, { kind: 'fleet.workerCrash' | 'fleet.partQuestion' | 'fleet.partProofs' | 'fleet.blockedParts' | 'fleet.partUnblocked' }>

/** A crash of a worker as an instance reports it. */
export type CrashReport = Extract<PoisonMessage, { kind: 'fleet.workerCrash' }>

/** A part that may have caused a crash. */
export type Suspect = CrashReport['suspects'][number]

/** A part of the prompts for one model. */
export interface ScopedFeature {
  readonly model: string
  readonly part: string
}

/** An attempt as far as poison parts are concerned. */
export interface PoisonAttempt {
  readonly id: number
  readonly worker: string
  /** Start time of the worker's lifetime. */
  readonly workerStartedAt: number
  /** Whether the head of a response has arrived. */
  readonly answered: boolean
  /** When its first event arrived; undefined before. */
  readonly begunAt: number | undefined
}

/** Time from the first event of an answer within which a poison part crashes the worker, in ms. */
export const onsetTime = 300

/**
 * Ids of the parts of a prompt that may be poison parts: all but the last, which belongs to the request or to its session.
 *
 * @param prompt - the prompt, if the request has one
 */
export const candidatePartsOf = (prompt: Prompt | undefined): readonly string[] =>
  prompt === undefined ? [] : prompt.parts.slice(0, -1).map(({ id }) => id)

/** Id that a request shares with its repeats, whoever sends them: its own part of the prompt. */
export const ownPartOf = ({ id, prompt }: Call): string => prompt?.parts.at(-1)?.id ?? id
