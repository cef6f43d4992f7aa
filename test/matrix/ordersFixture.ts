/** Fixture of the orders scenario: the desired models over time and the faults that apply to each step. */
import type { DesiredModel } from '../../src/orders/ordersTypes.js'
import type { Applicability, Fault } from './matrixTypes.js'

/** The steps of the orders protocol at which faults are injected. */
export const steps = ['claimRead', 'claimAppend', 'readBack', 'verifyRead', 'loadOrder', 'unloadOrder', 'orderAnswer', 'report'] as const

/** A step of the orders protocol. */
export type OrdersStep = typeof steps[number]

/** Maximum number of concurrent loads that the weight store supports. */
export const storeLoadLimit = 2
/** Start of the rollout of `v2`, in ms. */
export const rolloutAt = 5_000
/** Start of the rollout of `v3`, in ms. */
export const secondRolloutAt = 50_500
/** End of a case, in ms. */
export const endAt = 240_000

const versionAt = (now: number): string => {
  if (now < rolloutAt) return 'v1'
  return now < secondRolloutAt ? 'v2' : 'v3'
}

/** Returns the models that workers should hold at a time in ms. */
export const desiredAt = (now: number): readonly DesiredModel[] => [
  { model: 'm1', weightVersion: versionAt(now), workers: 'all' },
  { model: 'm2', weightVersion: versionAt(now), workers: ['w0', 'w1'] }
]

/** Returns the models that a worker holds at the start. */
export const initialModels = (worker: string): Array<{ model: string, weightVersion: string }> => {
  const models = [{ model: 'm1', weightVersion: 'v1' }]
  return worker === 'w0' || worker === 'w1' ? [...models, { model: 'm2', weightVersion: 'v1' }] : models
}

const notApplicable = (reason: string): Applicability => ({ applies: false, reason })

/** Steps that involve only an instance and the log, not an engine. */
export const logSteps: readonly string[] = ['claimRead', 'claimAppend', 'readBack', 'verifyRead']

/** Returns whether a fault can be injected at a step, with the reason if not. */
export const applicability = (step: string, fault: Fault): Applicability => {
  if (fault === 'crossed') return notApplicable('the adapter matches answers to orders by token')
  if (fault === 'gap' && step !== 'report') return notApplicable('only reports form a stream that can have gaps')
  if (fault === 'racingPublishers' && !logSteps.includes(step)) return notApplicable('only claims can race')
  if (fault === 'restartEmpty' && logSteps.includes(step)) return notApplicable('no engine takes part in this step')
  const reportFaults: readonly Fault[] = ['gap', 'late', 'restartEmpty', 'crash', 'freeze', 'lapsedLease', 'outage', 'herdRestart']
  if (step === 'report' && !reportFaults.includes(fault)) return notApplicable('a report is only read')
  if (step === 'orderAnswer' && (fault === 'cutBefore' || fault === 'lostAck')) return notApplicable('equivalent to cutAfter at the step of the order')
  return { applies: true }
}
