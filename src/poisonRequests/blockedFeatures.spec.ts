import { createBlockedFeatures, trialDelayAfter, type BlockedFeature } from './blockedFeatures.js'

const blocked = (overrides: Partial<BlockedFeature> = {}): BlockedFeature =>
  ({ scope: 'llm', feature: 'p', blockedAt: 1_000, lastCrashAt: 900, failures: 0, trialAt: 61_000, ...overrides })

describe('the table of blocked parts', () => {
  it('is not changed by news that is older than what is known', () => {
    const table = createBlockedFeatures()
    expect(table.block(blocked(), 1_000)).toBe(true)
    expect(table.block(blocked({ failures: 2, trialAt: 300_000 }), 2_000)).toBe(false)
    table.block(blocked(), 3_000)
    expect(table.get({ scope: 'llm', feature: 'p' })).toMatchObject({ failures: 2, trialAt: 300_000 })
    expect(table.unblock({ scope: 'llm', feature: 'p' }, 4_000)).toBe(true)
    expect(table.block(blocked(), 4_100)).toBe(false)
    expect(table.get({ scope: 'llm', feature: 'p' })).toBeUndefined()
    expect(table.block(blocked({ blockedAt: 5_000 }), 5_000)).toBe(true)
  })

  it('ends entries that are no longer repeated, except at their owner', () => {
    const table = createBlockedFeatures()
    table.block(blocked(), 1_000)
    expect(table.expire(() => true, 30_000)).toEqual([])
    expect(table.expire(() => false, 49_000)).toEqual([])
    expect(table.expire(() => false, 51_000)).toHaveLength(1)
    expect(table.all()).toEqual([])
  })

  it('is bounded, however many parts are blocked', () => {
    const table = createBlockedFeatures()
    for (let index = 0; index < 1_000; index++) table.block(blocked({ feature: `p${index}` }), 1_000)
    expect(table.all()).toHaveLength(256)
  })

  it('lets a part be tried soon if it was sound before, else rarely, and more rarely with each failure', () => {
    expect([-1, 0, 1, 2, 30].map(failures => trialDelayAfter('a0', failures))).toEqual([2_000, 60_000, 120_000, 240_000, 3_600_000])
  })

  it('lets a whole request be tried three times a day at most', () => {
    const delays = [0, 1, 2, 3, 30].map(failures => trialDelayAfter('request/00', failures))
    expect(delays).toEqual([60_000, 3_600_000, 86_400_000, 86_400_000, 86_400_000])
  })

  it('knows a whole request at whichever service it is', () => {
    const table = createBlockedFeatures()
    table.block(blocked({ scope: 'service/desk', feature: 'request/00' }), 1_000)
    expect(table.get({ scope: 'service/other', feature: 'request/00' })).toBeDefined()
    expect(table.hasWholeRequests()).toBe(true)
  })
})
