/** Guards against a planned stop that takes a request which it then cuts off: an entry instance has no time limit for its drain, and ends each request that it reads. */
import { noFaultHooks } from '../../test/fakes/fakeFleet.js'
import { rulesFor, deploymentLayouts } from '../../test/fakes/deployments.js'
import { startOperator } from '../../test/fakes/fakeOperator.js'
import { loadHash } from '../hash.js'
import type { NodeEffect } from './nodeTypes.js'

/** When requests are read after the start of the drain, in ms. */
const readAt = [100, 2_900, 3_500, 7_000]

describe.each([[4_000, 200], [15_000, 504]])('an instance that drains, with calls that run for %i ms and are allowed 10 s', (runTime, status) => {
  it('answers each request that it reads, and exits only after the last answer', async () => {
    const seen: { readonly node: string, readonly kind: string, readonly request?: number, readonly status?: number }[] = []
    const onEffect = (node: string, effect: NodeEffect): void => {
      if (effect.kind === 'caller.answer') seen.push({ node, kind: effect.kind, request: effect.request, status: effect.status })
      if (effect.kind === 'drain.exit') seen.push({ node, kind: effect.kind })
    }
    const { fleet, nodes, publish } = startOperator(await loadHash(), 'harrowgate', { ...noFaultHooks, onEffect, serviceOutcome: () => ({ slow: runTime }) })
    fleet.time.runUntil(fleet.time.now() + 3_000)
    expect(publish(rulesFor(deploymentLayouts.harrowgate.workspaces).replaceAll('deadline=3s', 'deadline=10s')).status).toBe(200)
    const start = fleet.time.now()
    fleet.feed(nodes[0], { kind: 'drain.start' })
    for (const [index, at] of readAt.entries()) {
      fleet.time.runUntil(start + at)
      fleet.feed(nodes[0], { kind: 'caller.request', request: 100 + index, method: 'GET', path: '/v1/services/bookings/bookings', headers: { authorization: 'Bearer demo-key-listings' }, body: Buffer.from(''), remote: '127.0.0.1' })
    }
    fleet.time.runUntil(start + 120_000)
    const events = seen.filter(({ node }) => node === nodes[0])
    const answers = events.filter(({ kind }) => kind === 'caller.answer')
    expect(answers).toMatchObject(readAt.map((_, index) => ({ request: 100 + index, status })))
    expect(events.at(-1)?.kind).toBe('drain.exit')
  })
})
