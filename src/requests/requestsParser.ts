/** Turns what arrived from a caller into a typed operation, or a typed error. */
import createRouter from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import type { CallerInput } from '../ports/callerPort.js'
import type { CallerError } from './requestsErrors.js'
import { chatBodySchema, completionBodySchema, type ChatBody, type ModelCall, type ServiceCall } from './requestsTypes.js'

type Arrival = Extract<CallerInput, { kind: 'caller.request' }>

/** What a caller asks for. */
export type Operation =
  | { readonly kind: 'addresses', readonly workspace: string }
  | { readonly kind: 'models' }
  | { readonly kind: 'call', readonly call: ModelCall | ServiceCall }

type Parser = (arrival: Arrival, params: Readonly<Record<string, string | undefined>>, query: Readonly<Record<string, string>>) => Result<Operation, CallerError>

const malformed = (place: string, reason: string): CallerError => ({ kind: 'malformed_request', place, reason })

const parseJson = (body: Uint8Array): Result<unknown, CallerError> => {
  try {
    return ok(JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(body)))
  } catch (error) {
    return err(malformed('body', error instanceof SyntaxError ? error.message : 'the body is not UTF-8'))
  }
}

const check = <Body>(schema: z.ZodType<Body>, value: unknown): Result<Body, CallerError> => {
  const checked = schema.safeParse(value)
  if (checked.success) return ok(checked.data)
  const issue = checked.error.issues[0]
  return err(malformed(`body.${issue.path.join('.')}`, issue.message))
}

/** The text that an engine's cache sees of one message. */
const textOf = ({ content }: ChatBody['messages'][number]): string => {
  if (content === undefined || content === null) return ''
  return typeof content === 'string' ? content : content.map(part => part.text ?? '').join('')
}

const modelCall = (path: ModelCall['path'], body: { model: string, adapter?: string, stream?: boolean | null, max_tokens?: number | null, max_completion_tokens?: number | null }, prompt: readonly string[]): Operation => {
  const [model, adapter] = body.model.split(':')
  const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? undefined
  return {
    kind: 'call',
    call: { kind: 'model', path, body, model, adapter: body.adapter ?? adapter, stream: body.stream === true, maxTokens, prompt }
  }
}

const chat: Parser = ({ body }) =>
  parseJson(body)
    .andThen(value => check(chatBodySchema, value))
    .map(checked => modelCall('/v1/chat/completions', checked, checked.messages.map(textOf)))

const completion: Parser = ({ body }) =>
  parseJson(body)
    .andThen(value => check(completionBodySchema, value))
    .map(checked => modelCall('/v1/completions', checked, [checked.prompt]))

/** Headers of the caller that a service gets to see. */
const passedHeaders = ['content-type', 'accept', 'accept-language', 'traceparent'] as const

const service: Parser = ({ method, path, headers, body }, params) => {
  const name = params.service ?? ''
  const rest = path.replace(/^\/v1\/services\/[^/?]+/, '')
  const passed = Object.fromEntries(passedHeaders.flatMap(header => headers[header] === undefined ? [] : [[header, headers[header]]]))
  return ok({
    kind: 'call',
    call: { kind: 'service', service: name, method, path: rest === '' ? '/' : rest, headers: passed, body, idempotencyKey: headers['idempotency-key'] }
  })
}

const addresses: Parser = (_arrival, _params, query) =>
  query.workspace === undefined || query.workspace === ''
    ? err(malformed('query.workspace', 'name the workspace'))
    : ok({ kind: 'addresses', workspace: query.workspace })

const methods: HTTPMethod[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']

const createRoutes = () => {
  const router = createRouter()
  const add = (method: HTTPMethod | HTTPMethod[], path: string, parser: Parser): void =>
    router.on(method, path, () => { /* Found routes are read from the store. */ }, parser)
  add('POST', '/v1/chat/completions', chat)
  add('POST', '/v1/completions', completion)
  add('GET', '/v1/models', () => ok({ kind: 'models' }))
  add('GET', '/v1/addresses', addresses)
  add(methods, '/v1/services/:service', service)
  add(methods, '/v1/services/:service/*', service)
  return router
}

const routes = createRoutes()

const isMethod = (method: string): method is HTTPMethod => (methods as string[]).includes(method)

/**
 * Parses a request.
 *
 * @param arrival - what arrived
 * @returns the operation, or what is wrong and where
 */
export const parseRequest = (arrival: Arrival): Result<Operation, CallerError> => {
  const unknownPath: CallerError = { kind: 'unknown_path', path: arrival.path.slice(0, 200) }
  if (!isMethod(arrival.method)) return err(unknownPath)
  const question = arrival.path.indexOf('?')
  const path = question < 0 ? arrival.path : arrival.path.slice(0, question)
  const query = Object.fromEntries(new URLSearchParams(question < 0 ? '' : arrival.path.slice(question + 1)))
  const route = routes.find(arrival.method, path)
  if (route === null) return err(unknownPath)
  return (route.store as Parser)(arrival, route.params, query)
}
