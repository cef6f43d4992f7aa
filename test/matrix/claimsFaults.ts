/** The steps of the claims protocol, and which faults have a meaning at each. */
import type { Applicability, Fault } from './matrixTypes.js'

/** Every message, operation of the log and local act of the protocol. */
export const claimsSteps = [
  'begin', 'forward', 'append', 'readBack', 'queued', 'verdict', 'grant', 'dispatch', 'answer',
  'close', 'closeAppend', 'closed', 'void', 'lookup', 'found', 'expiry'
] as const

/** A step of the claims protocol. */
export type ClaimsStep = typeof claimsSteps[number]

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
  if (step === 'expiry') return 'the passing of time carries nothing that could be cut, lost or repeated'
  if (step === 'grant') return 'the grant stays inside one process'
  if (fault === 'lostAck') return 'only operations of the log have an acknowledgement'
  if (fault === 'gap') return 'the log keeps its records in order'
  if (step === 'dispatch' && fault === 'duplicate') return 'a connection carries a request once; the client repeats nothing by itself'
  if (fault === 'crossed') return 'answers of endpoints are matched by the requests feature'
  return 'the answer was sent before the connection broke'
}

/**
 * Whether a fault has a meaning at a step.
 *
 * @param step - of the claims protocol
 * @param fault - any
 */
export const claimsApplicability = (step: string, fault: Fault): Applicability => {
  const known = claimsSteps.find(each => each === step)
  if (known === undefined) return { applies: false, reason: 'no such step' }
  if (processFaults.includes(fault) || applicableFaults(known).includes(fault)) return { applies: true }
  return { applies: false, reason: reasonOf(known, fault) }
}
