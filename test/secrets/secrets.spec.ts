import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { loadHash } from '../../src/hash.js'
import type { NodeEffect } from '../../src/node/nodeTypes.js'
import { rulesFor, idempotencyKeyAt, epoch } from '../fakes/deployments.js'
import { booking, chat } from '../fakes/fakeCaller.js'
import { noFaultHooks, type FleetHooks } from '../fakes/fakeFleet.js'
import { startOperator, type FakeOperator } from '../fakes/fakeOperator.js'

/** Keys that the fakes use for callers, the operator and resume tokens, and wrong keys of a caller and an operator. */
const secrets = ['demo-key-listings', 'demo-key-viewings', 'demo-operator-fleet', '0123456789abcdef', 'wrong-key-of-a-caller', 'wrong-key-of-an-operator']

/** A secret as plain text, in base64url and in hexadecimal, the encodings that the system writes. */
const encodingsOf = (secret: string): string[] => [secret, Buffer.from(secret).toString('base64url'), Buffer.from(secret).toString('hex')]

const secretsIn = (text: string): string[] => secrets.filter(secret => encodingsOf(secret).some(encoded => text.includes(encoded)))

/** The bytes of a Uint8Array, or of a Buffer that JSON.stringify has already converted to its plain JSON form. */
const bytesOf = (value: unknown): Buffer | undefined => {
  if (value instanceof Uint8Array) return Buffer.from(value)
  const { type, data } = (value ?? {}) as { type?: unknown, data?: unknown }
  return type === 'Buffer' ? Buffer.from(data as number[]) : undefined
}

/** All text in a value, including the decoded form of base64url parts such as resume tokens. */
const textOf = (value: unknown): string => {
  const text = JSON.stringify(value, (_key, inner: unknown) => bytesOf(inner)?.toString('utf8') ?? inner) ?? ''
  const decoded = [...text.matchAll(/[\w-]{24,}/g)].map(([part]) => Buffer.from(part, 'base64url').toString('latin1'))
  return `${text}\n${decoded.join('\n')}`
}

/** Kinds of the effects that the session produced. */
const kinds = new Set<string>()

/** Runs a session with valid and wrong keys, faults and dumps; returns the text of every effect with its instance, the transcript and the dumps. */
const runSession = async (): Promise<string[]> => {
  const outputs: string[] = []
  const recordEffect = (node: string, effect: NodeEffect): void => {
    kinds.add(effect.kind)
    outputs.push(`${node} ${effect.kind} ${textOf(effect)}`)
  }
  const hooks: FleetHooks = { ...noFaultHooks, onEffect: recordEffect, note: line => outputs.push(line) }
  const operator = startOperator(await loadHash(), 'harrowgate', hooks)
  const { fleet, nodes } = operator
  const run = (ms: number): void => fleet.time.runUntil(fleet.time.now() + ms)
  fleet.call(chat({ name: 'ann', workspace: 'listings', prompt: ['guidance '.repeat(80), 'case of ann'], tokens: 12 }), nodes[0])
  fleet.call(booking('bob', 'viewings', idempotencyKeyAt(epoch, 1)), nodes[1])
  run(60)
  fleet.crash(nodes[0])
  run(500)
  fleet.start(nodes[0])
  run(2_000)
  sendCallerRequests(operator)
  sendOperatorRequests(operator)
  for (const { node } of fleet.nodes.values()) outputs.push(`dump ${textOf(node?.dump())}`)
  return outputs
}

/** Sends requests with wrong keys, malformed bodies, an unknown model, a malformed idempotency key and a forged resume token. */
const sendCallerRequests = ({ fleet, nodes }: FakeOperator): void => {
  let request = 5_000_000
  const send = (key: string, path: string, body: string, extraHeaders: Record<string, string> = {}): void =>
    fleet.feed(nodes[1], { kind: 'caller.request', request: ++request, method: 'POST', path, headers: { authorization: key, ...extraHeaders }, body: Buffer.from(body), remote: '127.0.0.1' })
  send('Bearer wrong-key-of-a-caller', '/v1/chat/completions', '{')
  send('wrong-key-of-a-caller', '/v1/services/bookings/bookings', '{}')
  send('Bearer demo-key-listings', '/v1/chat/completions', '{')
  send('Bearer demo-key-listings', '/v1/completions', JSON.stringify({ model: 'nothing', prompt: 'x' }))
  send('Bearer demo-key-viewings', '/v1/services/bookings/bookings', '{}', { 'idempotency-key': 'malformed' })
  send('Bearer demo-key-listings', '/v1/chat/completions', JSON.stringify({ model: 'drafter', stream: true, messages: [{ role: 'user', content: 'x' }] }), { 'last-event-id': 'forged.token.1' })
  fleet.time.runUntil(fleet.time.now() + 1_000)
}

/** Sends operator requests with a wrong key, to the read operations and an unknown path, and with valid and invalid rules. */
const sendOperatorRequests = (operator: FakeOperator): void => {
  operator.ask({ method: 'GET', path: '/v1/status', key: 'wrong-key-of-an-operator' })
  for (const path of ['/v1/status', '/v1/rules', '/v1/rules/history', '/v1/workspaces', '/v1/endpoints', '/v1/orders', '/dump', '/v1/nothing', '/v1/explain?workspace=listings']) operator.ask({ method: 'GET', path })
  operator.publish(`${rulesFor(['listings', 'viewings'])}# a comment\n`)
  operator.ask({ method: 'POST', path: '/v1/rules', body: '{' })
  operator.ask({ method: 'POST', path: '/v1/rules', body: { base: 0, text: 'grant all\n', publisher: 'Ines', publishId: 'p' } })
}

describe('secrets', () => {
  it('appear in no output of an instance: logs, dumps, errors, answers, tokens, messages to peers, engines and the log', async () => {
    const outputs = await runSession()
    for (const kind of ['caller.answer', 'caller.write', 'operator.answer', 'node.changed', 'peer.send', 'log.append', 'endpoint.dispatch']) expect(kinds).toContain(kind)
    expect(outputs.filter(line => /^id: /m.test(line) || line.includes('id: ')).length).toBeGreaterThan(0)
    expect(outputs.filter(line => secretsIn(line).length > 0).map(line => line.slice(0, 300))).toEqual([])
  })

  it('appear in no golden transcript', () => {
    const folder = join('test', 'golden', 'sessions')
    const files = readdirSync(folder)
    expect(files.length).toBeGreaterThan(0)
    expect(files.filter(file => secretsIn(readFileSync(join(folder, file), 'utf8')).length > 0)).toEqual([])
  })

  it('are detected as plain text and in each encoding', () => {
    for (const secret of secrets) {
      for (const encoded of encodingsOf(secret)) expect(secretsIn(textOf({ line: `x ${encoded} y` }))).toContain(secret)
      expect(secretsIn(textOf(Buffer.from(secret)))).toContain(secret)
    }
  })
})
