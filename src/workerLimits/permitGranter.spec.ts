import { createPermitGranter, permitValidity, type PermitRequest } from './permitGranter.js'

const build = () => createPermitGranter(0)

const buildRequest = (instance: string, overrides: Partial<PermitRequest> = {}): PermitRequest =>
  ({ instance, priority: 1, perSecond: 2, instances: 7, ...overrides })

describe('the granter of a worker\'s permits', () => {
  it('grants none before the time for one has passed, since another instance may have granted some until now', () => {
    const granter = build()
    expect(granter.decide(buildRequest('a'), 0)).toEqual({ kind: 'denied', wait: 500 })
    expect(granter.decide(buildRequest('a'), 500)).toEqual({ kind: 'granted', count: 1 })
  })

  it.each([0.05, 1, 2.3, 8, 100])('never grants more than the users allow at %d a second, however often it is asked', perSecond => {
    const granter = build()
    const grants: { readonly at: number, readonly count: number }[] = []
    for (let now = 0; now < 30_000; now += 10) {
      // Instances that have been idle ask for what was saved.
      if (now % 10_000 < 5_000) continue
      const decision = granter.decide(buildRequest(`i${now % 7}`, { perSecond }), now)
      if (decision.kind === 'granted') grants.push({ at: now, count: decision.count })
    }
    const span = 4_000 + permitValidity
    const most = Math.max(...grants.map(({ at }) => grants.filter(grant => grant.at > at - span && grant.at <= at).reduce((sum, { count }) => sum + count, 0)))
    expect(most).toBeLessThanOrEqual(1.5 * 4 * perSecond + 5)
  })

  it('tells each denied instance to wait for those before it', () => {
    const granter = build()
    const waits = ['a', 'b', 'c'].map(instance => granter.decide(buildRequest(instance), 0))
    expect(waits).toEqual([500, 1_000, 1_500].map(wait => ({ kind: 'denied', wait })))
  })

  it('lets more urgent instances that were denied go first', () => {
    const granter = build()
    granter.decide(buildRequest('urgent', { priority: 0 }), 0)
    expect(granter.decide(buildRequest('other', { priority: 3 }), 500).kind).toBe('denied')
    expect(granter.decide(buildRequest('urgent', { priority: 0 }), 510).kind).toBe('granted')
    expect(granter.decide(buildRequest('other', { priority: 3 }), 2_000).kind).toBe('granted')
  })

  it('grants several at once to the instances of a worker that takes many', () => {
    const granter = build()
    expect(granter.decide(buildRequest('a', { perSecond: 2_800 }), 1_000)).toEqual({ kind: 'granted', count: 100 })
  })

  it('asks a worker that takes none now and then', () => {
    const granter = build()
    expect(granter.decide(buildRequest('a', { perSecond: 0 }), 0)).toEqual({ kind: 'denied', wait: 20_000 })
    expect(granter.decide(buildRequest('a', { perSecond: 0 }), 20_000).kind).toBe('granted')
  })
})
