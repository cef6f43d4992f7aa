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

/** Sends a request with a key and returns the status of the answer; undefined if none came within 500 ms. */
const statusOf = (key: string, text = body, path = '/v1/chat/completions'): number | undefined => {
  const request = ++requests
  operator.fleet.feed(operator.nodes[0], { kind: 'caller.request', request, method: 'POST', path, headers: key === '' ? {} : { authorization: `Bearer ${key}` }, body: Buffer.from(text), remote: '127.0.0.1' })
  operator.fleet.time.runUntil(operator.fleet.time.now() + 500)
  return statuses.get(request)
}

const recordStatus = (_node: string, effect: NodeEffect): void => {
  if (effect.kind === 'caller.answer') statuses.set(effect.request, effect.status)
}

beforeEach(async () => {
  statuses.clear()
  operator = startOperator(await loadHash(), 'harrowgate', { ...noFaultHooks, onEffect: recordStatus })
})

describe('authorisation of callers', () => {
  it.each([['wrong-key', '{'], ['', '{'], ['wrong-key', '{}'], ['wrong-key', body], ['', body]])('refuses the key "%s" before it checks the body %s', (key, text) => {
    expect(statusOf(key, text)).toBe(401)
  })

  it('checks the body of a caller whose key is valid', () => {
    expect(statusOf('demo-key-listings', '{')).toBe(400)
  })

  it('answers an unknown path with 404 even if the key is invalid', () => {
    expect(statusOf('wrong-key', body, '/v1/nothing')).toBe(404)
  })

  it('accepts both keys during the overlap of a key rotation, and at least one key at any time', () => {
    const timestamp = (after: number): string => `${new Date(epoch + after).toISOString().slice(0, 19)}Z`
    const oldLine = `key workspace=listings hash=sha256:${sha256('demo-key-listings')}`
    const expiringRules = rulesFor(['listings', 'viewings']).replace(oldLine, `${oldLine} until=${timestamp(20_000)}`)
    const text = `${expiringRules}key workspace=listings hash=sha256:${sha256('new-key')} from=${timestamp(10_000)} # asked by Rae, Platform\n`
    expect(operator.publish(text).status).toBe(200)
    const accepted: [boolean, boolean][] = []
    while (operator.fleet.time.now() < epoch + 25_000) accepted.push([statusOf('demo-key-listings') === 200, statusOf('new-key') === 200])
    expect(accepted.every(([oldKey, newKey]) => oldKey || newKey)).toBe(true)
    expect(new Set(accepted.map(String))).toEqual(new Set(['true,false', 'true,true', 'false,true']))
  })
})
