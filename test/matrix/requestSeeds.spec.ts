/** Cases of complete instances with several faults that broke a promise when faults were drawn at random. */
import { loadHash, type Hash } from '../../src/hash.js'
import { runCase, soundVariant } from './matrixRunner.js'
import type { Plan } from './matrixTypes.js'
import { createScenarios } from './scenarios.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const run = (plan: Omit<Plan, 'variant'>) => {
  const scenario = createScenarios(hash).find(({ name }) => name === 'request')
  return scenario === undefined ? undefined : runCase(scenario, { ...plan, variant: soundVariant }).result
}

describe('complete instances under several faults', () => {
  it('do not say that a booking has not run which ran at a slow service, with seed 228689991', () => {
    expect(run({ injections: [{ step: 'serviceDispatch', fault: 'slow' }, { step: 'engineEnd', fault: 'slow' }, { step: 'claimAppend', fault: 'freeze' }], seed: 228_689_991 })).toEqual({ kind: 'held' })
  })

  it('do not say that a booking has not run which ran at a frozen service, with seed 739268626', () => {
    expect(run({ injections: [{ step: 'engineDispatch', fault: 'crash' }, { step: 'serviceDispatch', fault: 'freeze' }, { step: 'serviceAnswer', fault: 'freeze' }, { step: 'serviceDispatch', fault: 'slow' }], seed: 739_268_626 })).toEqual({ kind: 'held' })
  })

  it('send no work to a worker that has left while the list is away, with seed 318840910', () => {
    expect(run({ injections: [{ step: 'membershipList', fault: 'outage' }, { step: 'serviceDispatch', fault: 'slow' }, { step: 'claimAppend', fault: 'lapsedLease' }, { step: 'engineDispatch', fault: 'freeze' }], seed: 318_840_910 })).toEqual({ kind: 'held' })
  })
})
