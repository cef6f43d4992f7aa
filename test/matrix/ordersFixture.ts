/** What the scenario of orders plays: which models are wanted when, and which faults fit which step. */
import type { DesiredModel } from '../../src/orders/ordersTypes.js'
import type { Applicability, Fault } from './matrixTypes.js'

/** The steps of the orders protocol at which faults strike. */
export const steps = ['claimRead', 'claimAppend', 'readBack', 'verifyRead', 'loadOrder', 'unloadOrder', 'orderAnswer', 'report'] as const

/** A step of the orders protocol. */
export type OrdersStep = typeof steps[number]

/** Loads that the store of weights bears at once. */
export const storeLoadLimit = 2
/** When new weights are wanted, in ms. */
export const rolloutAt = 5_000
export const secondRolloutAt = 50_500
/** End of a case, in ms. */
export const endAt = 240_000

const versionAt = (now: number): string => {
  if (now < rolloutAt) return 'v1'
  return now < secondRolloutAt ? 'v2' : 'v3'
}

/** The models that workers should hold at that time. */
export const desiredAt = (now: number): readonly DesiredModel[] => [
  { model: 'm1', weightVersion: versionAt(now), workers: 'all' },
  { model: 'm2', weightVersion: versionAt(now), workers: ['w0', 'w1'] }
]

/** The models that a worker holds at the start. */
export const initialModels = (worker: string): Array<{ model: string, weightVersion: string }> => {
  const models = [{ model: 'm1', weightVersion: 'v1' }]
  return worker === 'w0' || worker === 'w1' ? [...models, { model: 'm2', weightVersion: 'v1' }] : models
}

const notApplicable = (reason: string): Applicability => ({ applies: false, reason })

/** Steps in which no engine takes part. */
export const logSteps: readonly string[] = ['claimRead', 'claimAppend', 'readBack', 'verifyRead']

/** Whether a fault means anything at a step. */
export const applicability = (step: string, fault: Fault): Applicability => {
  if (fault === 'crossed') return notApplicable('answers are matched to orders by token in the adapter')
  if (fault === 'gap' && step !== 'report') return notApplicable('only reports come as a stream that can have gaps')
  if (fault === 'racingPublishers' && !logSteps.includes(step)) return notApplicable('only claims can race')
  if (fault === 'restartEmpty' && logSteps.includes(step)) return notApplicable('no engine takes part in this step')
  const reportFaults: readonly Fault[] = ['gap', 'late', 'restartEmpty', 'crash', 'freeze', 'lapsedLease', 'outage', 'herdRestart']
  if (step === 'report' && !reportFaults.includes(fault)) return notApplicable('a report is only read')
  if (step === 'orderAnswer' && (fault === 'cutBefore' || fault === 'lostAck')) return notApplicable('the same as cutAfter of the order')
  return { applies: true }
}
