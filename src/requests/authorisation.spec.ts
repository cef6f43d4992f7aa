import { createHash } from 'node:crypto'
import { loadHash } from '../hash.js'
import type { NodeEffect } from '../node/nodeTypes.js'
import { epoch, rulesFor } from '../../test/fakes/deployments.js'
import { noFaultHooks } from '../../test/fakes/fakeFleet.js'
import { startOperator, type FakeOperator } from '../../test/fakes/fakeOperator.js'

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex')
const body = JSON.stringify({ model: 'drafter', messages: [{ role: 'user', content: 'case of ann' }] })

let operator: FakeOperator
const statuses = new Map<number, number>()
let requests = 0

/** Sends a request under a key and tells the status of the answer, once it is there. */
const statusOf = (key: string, text = body, path = '/v1/chat/completions'): number | undefined => {
  const request = ++requests
  operator.fleet.feed(operator.nodes[0], { kind: 'caller.request', request, method: 'POST', path, headers: key === '' ? {} : { authorization: `Bearer ${key}` }, body: Buffer.from(text), remote: '127.0.0.1' })
  operator.fleet.time.runUntil(operator.fleet.time.now() + 500)
  return statuses.get(request)
}

const note = (_node: string, effect: NodeEffect): void => {
  if (effect.kind === 'caller.answer') statuses.set(effect.request, effect.status)
}

beforeEach(async () => {
  statuses.clear()
  operator = startOperator(await loadHash(), 'harrowgate', { ...noFaultHooks, onEffect: note })
})

describe('keys of callers', () => {
  it.each([['wrong-key', '{'], ['', '{'], ['wrong-key', '{}'], ['wrong-key', body], ['', body]])('refuses the key "%s" before it judges the body %s', (key, text) => {
    expect(statusOf(key, text)).toBe(401)
  })

  it('judges the body of a caller whose key is right', () => {
    expect(statusOf('demo-key-listings', '{')).toBe(400)
  })

  it('answers an unknown path as such, whatever the key', () => {
    expect(statusOf('wrong-key', body, '/v1/nothing')).toBe(404)
  })

  it('rotates with an overlap in which both keys work, and no time in which neither does', () => {
    const time = (after: number): string => `${new Date(epoch + after).toISOString().slice(0, 19)}Z`
    const oldLine = `key workspace=listings hash=sha256:${sha256('demo-key-listings')}`
    const renewed = rulesFor(['listings', 'viewings']).replace(oldLine, `${oldLine} until=${time(20_000)}`)
    const text = `${renewed}key workspace=listings hash=sha256:${sha256('new-key')} from=${time(10_000)} # asked by Rae, Platform\n`
    expect(operator.publish(text).status).toBe(200)
    const seen: [boolean, boolean][] = []
    while (operator.fleet.time.now() < epoch + 25_000) seen.push([statusOf('demo-key-listings') === 200, statusOf('new-key') === 200])
    expect(seen.every(([old, fresh]) => old || fresh)).toBe(true)
    expect(new Set(seen.map(String))).toEqual(new Set(['true,false', 'true,true', 'false,true']))
  })
})
