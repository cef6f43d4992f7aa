/**
 * The administration API of one instance. Operators may call any instance;
 * settings that apply to the whole fleet are changed through the configuration.
 */
import createRouter from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import { err, ok, type Result } from 'neverthrow'
import type { ConfigEffect } from '../config/configTypes.js'
import type { OperatorEffect, OperatorInput } from '../ports/operatorPort.js'
import { keyHash } from '../requests/requestsMachine.js'
import type { Operator } from '../rules/rulesTypes.js'
import { adminErrorBody, adminErrorStatus } from './adminErrors.js'
import type { AdminOperation } from './adminOperation.js'
import { adminOperations } from './adminOperations.js'
import type { AdminError, AdminNode, RequiredRole, Emit } from './adminTypes.js'

/** Inputs of the administration API: operator requests and the results of publishes. */
export type AdminInput = OperatorInput | Extract<ConfigEffect, { kind: 'config.published' }>

/** Effects of the administration API: answers to operators and commands for other features. */
export type AdminEffect = OperatorEffect | Parameters<Emit>[0]

/** State machine of the administration API. */
export interface Admin {
  /** Handles one input at time `now` in ms and returns its effects. */
  readonly handle: (input: AdminInput, now: number) => readonly AdminEffect[]
}

const roleRank = { none: 0, read: 1, publish: 2, fleet: 3 } as const
const jsonHeaders = { 'content-type': 'application/json' }

const createRoutes = (operations: readonly AdminOperation[]) => {
  const router = createRouter()
  for (const operation of operations) {
    router.on(operation.method, operation.path, () => { /* Never called: find() returns the operation as the route's store. */ }, operation)
  }
  return router
}

const answer = (request: number, status: number, body: unknown): OperatorEffect =>
  ({ kind: 'operator.answer', request, status, headers: jsonHeaders, body: JSON.stringify(body) })

const errorAnswer = (request: number, error: AdminError): OperatorEffect =>
  answer(request, adminErrorStatus(error), adminErrorBody(error))

const isAllowed = (operator: Operator | undefined, required: RequiredRole): boolean =>
  required === 'none' || (operator !== undefined && roleRank[operator.role] >= roleRank[required])

/**
 * Creates the administration API.
 *
 * @param node - features of the instance that the operations read
 * @returns the state machine of the API
 */
export const createAdmin = (node: AdminNode): Admin => {
  const routes = createRoutes(adminOperations)

  const authenticate = (input: OperatorInput, now: number): Operator | undefined => {
    const hash = keyHash(input.headers.authorization)
    return hash === undefined ? undefined : node.config.current()?.ruleset.operatorOfKey(hash, now)
  }

  /** Before the first configuration no key is known, so the first publish needs no key: anyone who reaches the operator port may send it. */
  const authorise = (input: OperatorInput, required: RequiredRole, now: number): Result<Operator | undefined, AdminError> => {
    if (required === 'none' || node.config.current() === undefined) return ok(undefined)
    const operator = authenticate(input, now)
    if (operator === undefined) return err({ kind: 'unauthorised' })
    return isAllowed(operator, required) ? ok(operator) : err({ kind: 'forbidden', required })
  }

  const runOperation = (input: OperatorInput, now: number): readonly AdminEffect[] => {
    const [path, search = ''] = input.path.split('?')
    const route = routes.find(input.method as HTTPMethod, path)
    if (route === null) return [errorAnswer(input.request, { kind: 'unknown_path', path })]
    const operation = route.store as AdminOperation
    const operator = authorise(input, operation.role, now)
    if (operator.isErr()) return [errorAnswer(input.request, operator.error)]
    const effects: AdminEffect[] = []
    const call = { request: input.request, operator: operator.value, params: route.params, query: Object.fromEntries(new URLSearchParams(search)), body: input.body }
    operation.run(node, call, effect => effects.push(effect), now).match(
      result => { if (result.kind === 'json') effects.push(answer(input.request, result.status, result.body)) },
      error => { effects.push(errorAnswer(input.request, error)) }
    )
    return effects
  }

  const answerPublish = ({ request, result }: Extract<AdminInput, { kind: 'config.published' }>): readonly AdminEffect[] =>
    result.kind === 'accepted' ? [answer(request, 200, result)] : [errorAnswer(request, { kind: 'publish_refused', result })]

  const handle = (input: AdminInput, now: number): readonly AdminEffect[] =>
    input.kind === 'config.published' ? answerPublish(input) : runOperation(input, now)

  return { handle }
}
