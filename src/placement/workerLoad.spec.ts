import { createWorkerLoad, notePeerSent, peerUnreadTokens } from './workerLoad.js'

describe('the load of a worker', () => {
  it.each([[1e308, 1], [1e9, 5], [1, 1e308]])('contains %d tokens of another instance at %d ms each for a minute at most: they would keep requests away for good', (tokens, tokenCost) => {
    const load = createWorkerLoad('w')
    notePeerSent(load, tokens, tokenCost, 0)
    expect(peerUnreadTokens(load, 59_000)).toBe(tokens)
    expect(peerUnreadTokens(load, 60_000)).toBe(0)
    expect(load.peerPrompts).toEqual([])
  })
})
