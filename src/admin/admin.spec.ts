import { readFileSync } from 'node:fs'
import { loadHash } from '../hash.js'
import { rulesFor } from '../../test/fakes/deployments.js'
import { chat } from '../../test/fakes/fakeCaller.js'
import { startOperator, type FakeOperator } from '../../test/fakes/fakeOperator.js'
import { adminOperations } from './adminOperations.js'
import { adminErrorBodySchema } from './adminSchemas.js'
import { openApiPage } from './openApi.js'

const rules = rulesFor(['archive', 'listings', 'viewings'])
const publication = { base: 1, text: rules, publisher: 'Ines', publishId: 'first' }

let operator: FakeOperator
beforeEach(async () => { operator = startOperator(await loadHash()) })

describe('docs/openapi.json', () => {
  it('matches the output of `npm run pages`', () => {
    expect(readFileSync('docs/openapi.json', 'utf8')).toBe(openApiPage())
  })

  it('has a unique name for each operation', () => {
    const names = adminOperations.map(({ name }) => name)
    expect(new Set(names).size).toBe(names.length)
  })
})

const calls: Readonly<Record<string, { readonly path?: string, readonly body?: unknown }>> = {
  checkRules: { body: rules },
  publish: { body: publication },
  explain: { path: '/v1/explain?workspace=listings&model=drafter' },
  explainModel: { body: { workspace: 'listings', model: 'drafter', prompt: ['guidance', 'a listing'] } },
  drainEndpoint: { path: '/v1/endpoints/nm-derby-w1/drain' }
}

describe('administration API', () => {
  it.each(adminOperations.map(({ name }) => name))('answers %s with a body that its schema accepts', name => {
    const operation = adminOperations.find(candidate => candidate.name === name)
    if (operation === undefined) return expect(operation).toBeDefined()
    const { path = operation.path, body } = calls[name] ?? {}
    const answer = operator.ask({ method: operation.method, path, body })
    expect(answer.status).toBe(operation.status)
    expect(operation.answer.parse(answer.body)).toEqual(answer.body)
  })

  it.each([
    ['unauthorised', 401, { path: '/v1/status', key: '' }],
    ['unauthorised', 401, { path: '/v1/rules', method: 'POST', body: 'no JSON', key: 'wrong-key' }],
    ['unknown_path', 404, { path: '/v1/nothing' }],
    ['unknown_path', 404, { path: '/v1/endpoints/nowhere/drain', method: 'POST' }],
    ['malformed_request', 400, { path: '/v1/explain' }],
    ['malformed_request', 400, { path: '/v1/status?colour=red' }],
    ['malformed_request', 400, { path: '/v1/workspaces?limit=0' }],
    ['malformed_request', 400, { path: '/v1/rules', method: 'POST', body: '{' }],
    ['malformed_request', 400, { path: '/v1/rules', method: 'POST', body: { ...publication, base: -1 } }],
    ['rules_invalid', 422, { path: '/v1/rules/check', method: 'POST', body: 'grant all # asked by Ines, Viewings\n' }],
    ['publish_refused', 409, { path: '/v1/rules', method: 'POST', body: { ...publication, base: 7 } }],
    ['publish_refused', 422, { path: '/v1/rules', method: 'POST', body: { ...publication, text: 'grant all\n' } }]
  ] as const)('answers %s with %i', (type, status, { path, ...rest }) => {
    const answer = operator.ask({ method: 'GET', path, ...rest })
    expect(answer).toMatchObject({ status, body: { error: { type } } })
    expect(adminErrorBodySchema.parse(answer.body)).toEqual(answer.body)
  })

  it('answers with bodies that its schemas accept after requests were served', () => {
    const conversation = chat({ name: 'ann', workspace: 'listings', prompt: ['guidance '.repeat(80), 'case of ann'], tokens: 12 })
    operator.fleet.call(conversation, operator.nodes[0])
    operator.fleet.time.runUntil(operator.fleet.time.now() + 2_000)
    expect(conversation.result?.kind).toBe('whole')
    for (const { method, answer, path } of adminOperations.filter(operation => operation.method === 'GET' && operation.name !== 'explain')) {
      const { body } = operator.ask({ method, path })
      expect(answer.parse(body)).toEqual(body)
    }
    expect(operator.ask({ method: 'GET', path: '/v1/workspaces' }).body).toMatchObject({ workspaces: [{ name: 'listings', use: { admitted: 1 } }, { name: 'viewings' }] })
    const { endpoints } = operator.ask({ method: 'GET', path: '/v1/endpoints' }).body as { endpoints: { learned?: unknown }[] }
    expect(endpoints.filter(({ learned }) => learned !== undefined).length).toBeGreaterThan(0)
  })

  it('ranks the workers for a model request by score and returns its prefix levels', () => {
    const body = { workspace: 'listings', model: 'drafter', prompt: ['g'.repeat(1_000), 'a listing'] }
    const answer = operator.ask({ method: 'POST', path: '/v1/explain/model', body }).body as { levels: number[], workers: { score: number }[] }
    expect(answer.levels).toEqual([2, 3])
    expect(answer.workers).toHaveLength(3)
    expect(answer.workers.map(({ score }) => score)).toEqual(answer.workers.map(({ score }) => score).sort((left, right) => left - right))
  })

  it('answers a rules check with conflicts and shadowed lines, in a body that its schema accepts', () => {
    const text = `${rules}deadline workspace=listings -> 1s # asked by Ines, Viewings\ndeadline workspace=listings -> 2s # asked by Tom, Listings\n`
    const { body } = operator.ask({ method: 'POST', path: '/v1/rules/check', body: text })
    expect(body).toMatchObject({ valid: true, conflicts: expect.arrayContaining([expect.objectContaining({ attribute: 'deadline', severity: 'conflict' })]) })
    expect(adminOperations.find(({ name }) => name === 'checkRules')?.answer.parse(body)).toEqual(body)
  })

  it('answers not_ready while the instance drains', () => {
    operator.ask({ method: 'POST', path: '/v1/drain' })
    const answer = operator.ask({ method: 'GET', path: '/ready', key: '' })
    expect(answer).toMatchObject({ status: 503, body: { error: { type: 'not_ready' } } })
    expect(adminErrorBodySchema.parse(answer.body)).toEqual(answer.body)
  })

  it('paginates lists by name', () => {
    const first = operator.ask({ method: 'GET', path: '/v1/endpoints?limit=3' }).body as { endpoints: { id: string }[], next?: string }
    const second = operator.ask({ method: 'GET', path: `/v1/endpoints?limit=3&after=${first.next}` }).body as typeof first
    expect([...first.endpoints, ...second.endpoints].map(({ id }) => id)).toEqual(['nm-derby-bookings', 'nm-derby-w1', 'nm-leicester-bookings', 'nm-leicester-w1', 'nm-nottingham-w1'])
    expect(second.next).toBeUndefined()
    const workspaces = operator.ask({ method: 'GET', path: '/v1/workspaces?limit=1' })
    expect(workspaces.body).toMatchObject({ workspaces: [{ name: 'listings' }], next: 'listings' })
  })

  it('paginates the publish history, the newest first', () => {
    const statuses = Array.from({ length: 11 }, (_, index) => operator.publish(`${rules}# ${index}\n`).status)
    expect(statuses).toEqual(Array(11).fill(200))
    const first = operator.ask({ method: 'GET', path: '/v1/rules/history?limit=10' }).body as { history: { version: number }[], next?: string }
    const second = operator.ask({ method: 'GET', path: `/v1/rules/history?limit=10&after=${first.next}` }).body as typeof first
    expect([...first.history, ...second.history].map(({ version }) => version)).toEqual([12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1])
    expect(second.next).toBeUndefined()
  })
})
