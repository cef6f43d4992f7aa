import { isTakenInShutdown, mayBeginInShutdown } from './shutdownAdmission.js'

const progress = { since: 1_000, left: 4_000, accepting: true }

describe('a request that arrives during the shutdown', () => {
  it.each([
    ['that must end before, is', progress, 4_000, undefined, true],
    ['that must end before, after the listener has closed, is', { ...progress, accepting: false }, 4_000, undefined, true],
    ['that may last longer, of a route without recent requests, is not', progress, 4_001, undefined, false],
    ['that may last longer, of a route with requests of half of the time that is left, is', progress, 15_000, 2_000, true],
    ['that may last longer, of a route with requests beyond half of it, is not', progress, 15_000, 2_001, false],
    ['that may last longer, after the listener has closed, is not', { ...progress, accepting: false }, 15_000, 10, false],
    ['after the end of the requests is not', { ...progress, left: -1 }, 1, 0, false]
  ])('%s taken', (_name, state, needed, longest, taken) => {
    expect(isTakenInShutdown({ progress: state, needed, longest })).toBe(taken)
  })
})

describe('a request that waits during the shutdown', () => {
  it.each([
    ['that must end before may', progress, 4_000, undefined, true],
    ['of a route without recent requests may not', progress, 4_001, undefined, false],
    ['of a route with requests of half of the time that is left may, also after the listener has closed,', { ...progress, accepting: false }, 15_000, 2_000, true],
    ['of a route with requests beyond half of it may not', progress, 15_000, 2_001, false]
  ])('%s begin', (_name, state, needed, longest, begins) => {
    expect(mayBeginInShutdown({ progress: state, needed, longest })).toBe(begins)
  })
})
