import { loadHash } from '../hash.js'
import type { NodeEffect } from '../node/nodeTypes.js'
import { noFaultHooks } from '../../test/fakes/fakeFleet.js'
import { startOperator } from '../../test/fakes/fakeOperator.js'

it('a repeatable call that may have run is not reported as not run when no other endpoint is left', async () => {
  const answers: { status: number, error: { outcome: string } }[] = []
  const onEffect = (_node: string, effect: NodeEffect): void => {
    if (effect.kind === 'caller.answer') answers.push({ status: effect.status, error: (JSON.parse(String(effect.body)) as { error: { outcome: string } }).error })
  }
  const { fleet, nodes } = startOperator(await loadHash(), 'harrowgate', { ...noFaultHooks, onEffect, serviceOutcome: () => 'cutAfter' })
  const [, other] = fleet.services.values()
  other.crash()
  fleet.time.runUntil(fleet.time.now() + 3_000)
  fleet.feed(nodes[0], { kind: 'caller.request', request: 7, method: 'GET', path: '/v1/services/bookings/bookings', headers: { authorization: 'Bearer demo-key-listings' }, body: Buffer.from(''), remote: '127.0.0.1' })
  fleet.time.runUntil(fleet.time.now() + 5_000)
  expect([...fleet.services.values()].flatMap(({ runs }) => runs)).toHaveLength(1)
  expect(answers).toMatchObject([{ error: { outcome: 'unknown' } }])
})
