import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { loadHash } from '../../src/hash.js'
import type { NodeEffect } from '../../src/node/nodeTypes.js'
import { rulesFor, idempotencyKeyAt, epoch } from '../fakes/deployments.js'
import { booking, chat } from '../fakes/fakeCaller.js'
import { noFaultHooks, type FleetHooks } from '../fakes/fakeFleet.js'
import { startOperator, type FakeOperator } from '../fakes/fakeOperator.js'

/** Keys that the fakes use: of a caller, of an operator, of resume tokens; and one that is in force nowhere. */
const secrets = ['demo-key-listings', 'demo-key-viewings', 'demo-operator-fleet', '0123456789abcdef', 'wrong-key-of-a-caller', 'wrong-key-of-an-operator']

/** A secret, and what it looks like in the encodings that the system writes. */
const formsOf = (secret: string): string[] => [secret, Buffer.from(secret).toString('base64url'), Buffer.from(secret).toString('hex')]

const secretsIn = (text: string): string[] => secrets.filter(secret => formsOf(secret).some(form => text.includes(form)))

/** The bytes of an array of bytes; buffers have turned into plain JSON when they come here. */
const bytesOf = (value: unknown): Buffer | undefined => {
  if (value instanceof Uint8Array) return Buffer.from(value)
  const { type, data } = (value ?? {}) as { type?: unknown, data?: unknown }
  return type === 'Buffer' ? Buffer.from(data as number[]) : undefined
}

/** Every text part of a value, those in base64url decoded too, as in resume tokens. */
const written = (value: unknown): string => {
  const text = JSON.stringify(value, (_key, inner: unknown) => bytesOf(inner)?.toString('utf8') ?? inner) ?? ''
  const decoded = [...text.matchAll(/[\w-]{24,}/g)].map(([part]) => Buffer.from(part, 'base64url').toString('latin1'))
  return `${text}\n${decoded.join('\n')}`
}

const kinds = new Set<string>()

/** Plays a session with right and wrong keys, faults and dumps; answers with all that was said, by whom. */
const play = async (): Promise<string[]> => {
  const said: string[] = []
  const note = (node: string, effect: NodeEffect): void => {
    kinds.add(effect.kind)
    said.push(`${node} ${effect.kind} ${written(effect)}`)
  }
  const hooks: FleetHooks = { ...noFaultHooks, onEffect: note, note: line => said.push(line) }
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
  callers(operator)
  operators(operator)
  for (const { node } of fleet.nodes.values()) said.push(`dump ${written(node?.dump())}`)
  return said
}

const callers = ({ fleet, nodes }: FakeOperator): void => {
  let request = 5_000_000
  const ask = (key: string, path: string, body: string, more: Record<string, string> = {}): void =>
    fleet.feed(nodes[1], { kind: 'caller.request', request: ++request, method: 'POST', path, headers: { authorization: key, ...more }, body: Buffer.from(body), remote: '127.0.0.1' })
  ask('Bearer wrong-key-of-a-caller', '/v1/chat/completions', '{')
  ask('wrong-key-of-a-caller', '/v1/services/bookings/bookings', '{}')
  ask('Bearer demo-key-listings', '/v1/chat/completions', '{')
  ask('Bearer demo-key-listings', '/v1/completions', JSON.stringify({ model: 'nothing', prompt: 'x' }))
  ask('Bearer demo-key-viewings', '/v1/services/bookings/bookings', '{}', { 'idempotency-key': 'malformed' })
  ask('Bearer demo-key-listings', '/v1/chat/completions', JSON.stringify({ model: 'drafter', stream: true, messages: [{ role: 'user', content: 'x' }] }), { 'last-event-id': 'forged.token.1' })
  fleet.time.runUntil(fleet.time.now() + 1_000)
}

const operators = (operator: FakeOperator): void => {
  operator.ask({ method: 'GET', path: '/v1/status', key: 'wrong-key-of-an-operator' })
  for (const path of ['/v1/status', '/v1/rules', '/v1/rules/history', '/v1/workspaces', '/v1/endpoints', '/v1/orders', '/dump', '/v1/nothing', '/v1/explain?workspace=listings']) operator.ask({ method: 'GET', path })
  operator.publish(`${rulesFor(['listings', 'viewings'])}# a comment\n`)
  operator.ask({ method: 'POST', path: '/v1/rules', body: '{' })
  operator.ask({ method: 'POST', path: '/v1/rules', body: { base: 0, text: 'grant all\n', publisher: 'Ines', publishId: 'p' } })
}

describe('secrets', () => {
  it('stand in nothing that an instance says: logs, dumps, errors, answers, tokens, messages to peers, engines and the log', async () => {
    const said = await play()
    for (const kind of ['caller.answer', 'caller.write', 'operator.answer', 'node.changed', 'peer.send', 'log.append', 'endpoint.dispatch']) expect(kinds).toContain(kind)
    expect(said.filter(line => /^id: /m.test(line) || line.includes('id: ')).length).toBeGreaterThan(0)
    expect(said.filter(line => secretsIn(line).length > 0).map(line => line.slice(0, 300))).toEqual([])
  })

  it('stand in no golden transcript', () => {
    const folder = join('test', 'golden', 'sessions')
    const files = readdirSync(folder)
    expect(files.length).toBeGreaterThan(0)
    expect(files.filter(file => secretsIn(readFileSync(join(folder, file), 'utf8')).length > 0)).toEqual([])
  })

  it('are found if they are there, plain or encoded', () => {
    for (const secret of secrets) {
      for (const form of formsOf(secret)) expect(secretsIn(written({ line: `x ${form} y` }))).toContain(secret)
      expect(secretsIn(written(Buffer.from(secret)))).toContain(secret)
    }
  })
})
