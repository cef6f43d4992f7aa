/** Operations of the administration API on the rules: read, check, publish, history and explain. */
import { err, ok, type Result } from 'neverthrow'
import { checkRules } from '../rules/rulesChecker.js'
import { explain } from '../rules/rulesExplainer.js'
import { parseRules } from '../rules/rulesParser.js'
import { defineOperation, noBody, noQuery, type AdminOperation } from './adminOperation.js'
import { checkAnswer, explainAnswer, explainModelAnswer, explainModelBody, explainQuery, historyAnswer, historyQuery, publishAnswer, publishBody, rulesAnswer } from './adminSchemas.js'
import type { AdminAnswer, AdminError } from './adminTypes.js'

const json = <Body>(body: Body): Result<AdminAnswer<Body>, AdminError> => ok({ kind: 'json', status: 200, body })

const rules = defineOperation({
  method: 'GET',
  path: '/v1/rules',
  role: 'read',
  name: 'rules',
  summary: 'The rules in force.',
  status: 200,
  query: noQuery,
  body: noBody,
  answer: rulesAnswer,
  run: node => {
    const current = node.config.current()
    if (current === undefined) return err({ kind: 'no_configuration' })
    const { version, text, publisher, at } = current
    return json({ version, publisher, at, text })
  }
})

const history = defineOperation({
  method: 'GET',
  path: '/v1/rules/history',
  role: 'read',
  name: 'history',
  summary: 'Accepted publishes that the log still tells of, the newest first: who and when.',
  status: 200,
  query: historyQuery,
  body: noBody,
  answer: historyAnswer,
  run: (node, { query: { limit, after } }) => {
    const publications = node.config.history().filter(({ version }) => after === undefined || version < after).reverse()
    const page = publications.slice(0, limit)
    return json(publications.length > limit ? { history: page, next: String(page[limit - 1].version) } : { history: page })
  }
})

const check = defineOperation({
  method: 'POST',
  path: '/v1/rules/check',
  role: 'read',
  name: 'checkRules',
  summary: 'Errors, conflicts and shadowed lines of a rules text.',
  status: 200,
  query: noQuery,
  body: { kind: 'text' },
  answer: checkAnswer,
  run: (_node, { body }) => parseRules(body)
    .mapErr((errors): AdminError => ({ kind: 'rules_invalid', errors }))
    .andThen(lines => json({ valid: true as const, rules: lines.length, ...checkRules(lines) }))
})

const publish = defineOperation({
  method: 'POST',
  path: '/v1/rules',
  role: 'publish',
  name: 'publish',
  summary: 'Publishes a rules text based on a version. Refused if another version came in between, or if a line of another team or beyond the key\'s workspaces changes; the refusal names the lines.',
  status: 200,
  query: noQuery,
  body: { kind: 'json', schema: publishBody },
  answer: publishAnswer,
  run: (_node, { request, operator, body }, emit) => {
    emit({ kind: 'admin.ask', input: { kind: 'config.publish', request, operator, ...body } })
    return ok({ kind: 'later' })
  }
})

const explainRequest = defineOperation({
  method: 'GET',
  path: '/v1/explain',
  role: 'read',
  name: 'explain',
  summary: 'What the rules say of a request with these attributes, and which lines decided.',
  status: 200,
  query: explainQuery,
  body: noBody,
  answer: explainAnswer,
  run: (node, { query }) => {
    const ruleset = node.config.current()?.ruleset
    return ruleset === undefined ? err({ kind: 'no_configuration' }) : json(explain(ruleset, query))
  }
})

const explainModel = defineOperation({
  method: 'POST',
  path: '/v1/explain/model',
  role: 'read',
  name: 'explainModel',
  summary: 'Which worker a model request would get at this instance now: its prefix levels and the scored workers, best first.',
  status: 200,
  query: noQuery,
  body: { kind: 'json', schema: explainModelBody },
  answer: explainModelAnswer,
  run: (node, { body }, _emit, now) => {
    const ruleset = node.config.current()?.ruleset
    if (ruleset === undefined) return err({ kind: 'no_configuration' })
    const { workspace, model, adapter } = body
    const decision = ruleset.decide({ workspace, model, adapter })
    const routingRequest = node.createRoutingRequest({ workspace, decision, deadline: now + decision.deadline }, body)
    const { allowed, weightVersion } = decision
    const workers = allowed ? node.routing.explain(routingRequest, node.endpoints.list(), now) : []
    return json({ allowed, model: decision.model, weightVersion, promptTokens: routingRequest.promptTokens, levels: [...routingRequest.chain.levels], workers: [...workers] })
  }
})

/** All operations on the rules, in the order of the OpenAPI document. */
export const rulesOperations: readonly AdminOperation[] = [rules, history, check, publish, explainRequest, explainModel]
