import { loadHash } from '../../src/hash.js'
import { createRequestScenario } from './requestScenario.js'
import type { Injection } from './matrixTypes.js'

const run = async (seed: number, injections: readonly Injection[]) =>
  createRequestScenario(await loadHash()).run({ injections, seed, variant: 'sound' })

describe('the request scenario', () => {
  it('keeps all promises when no fault is injected', async () => {
    expect(await run(1, [])).toEqual([])
  })

  it('adds no token to a stream that is cut between its last token and its finish event', async () => {
    expect(await run(2, [{ step: 'engineEnd', fault: 'restartEmpty' }, { step: 'engineEnd', fault: 'freeze' }])).toEqual([])
  })
})
