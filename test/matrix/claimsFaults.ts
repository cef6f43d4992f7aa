/** The steps of the claims protocol and the faults that apply to each. */
import type { Applicability, Fault } from './matrixTypes.js'

/** Every message, log operation and local step of the protocol. */
export const claimsSteps = [
  'begin', 'forward', 'append', 'readBack', 'queued', 'verdict', 'grant', 'dispatch', 'answer',
  'close', 'closeAppend', 'closed', 'void', 'lookup', 'found', 'expiry'
] as const

/** A step of the claims protocol. */
export type ClaimsStep = typeof claimsSteps[number]

/** Faults of processes and their environment, which apply at every step. */
const processFaults: readonly Fault[] = ['crash', 'restartEmpty', 'freeze', 'outage', 'lapsedLease', 'racingPublishers', 'herdRestart']
const messageFaults: readonly Fault[] = ['cutBefore', 'cutAfter', 'late', 'slow', 'duplicate', 'crossed', 'gap']
const logFaults: readonly Fault[] = ['cutBefore', 'cutAfter', 'late', 'slow', 'duplicate', 'crossed', 'lostAck']

const applicableFaults = (step: ClaimsStep): readonly Fault[] => {
  switch (step) {
    case 'begin': return ['cutBefore', 'cutAfter', 'late', 'slow', 'duplicate', 'crossed']
    case 'append':
    case 'readBack':
    case 'closeAppend': return logFaults
    case 'grant': return ['late', 'slow', 'duplicate', 'gap']
    case 'dispatch': return ['cutBefore', 'cutAfter', 'late', 'slow', 'gap']
    case 'answer': return ['cutBefore', 'late', 'slow', 'duplicate', 'gap']
    case 'expiry': return []
    default: return messageFaults
  }
}

const reasonOf = (step: ClaimsStep, fault: Fault): string => {
  if (step === 'expiry') return 'expiry involves no message that could be cut, lost or repeated'
  if (step === 'grant') return 'the grant stays inside one process'
  if (fault === 'lostAck') return 'only log operations have an acknowledgement'
  if (fault === 'gap') return 'the log keeps its records in order'
  if (step === 'dispatch' && fault === 'duplicate') return 'a connection carries a request once; the client does not retry by itself'
  if (fault === 'crossed') return 'answers of endpoints are matched to requests by the requests feature'
  return 'the answer was sent before the connection broke'
}

/**
 * Determines whether a fault applies to a step.
 *
 * @param step - name of a step of the claims protocol
 * @param fault - any fault of the matrix
 * @returns whether it applies, and otherwise the reason
 */
export const claimsApplicability = (step: string, fault: Fault): Applicability => {
  const known = claimsSteps.find(each => each === step)
  if (known === undefined) return { applies: false, reason: 'no such step' }
  if (processFaults.includes(fault) || applicableFaults(known).includes(fault)) return { applies: true }
  return { applies: false, reason: reasonOf(known, fault) }
}
