/** Parses caller requests into typed operations or typed errors. */
import createRouter from 'find-my-way'
import type { HTTPMethod } from 'find-my-way'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import type { CallerInput } from '../ports/callerPort.js'
import type { CallerError } from './requestsErrors.js'
import { chatBodySchema, completionBodySchema, type ChatBody, type ModelCall, type ServiceCall } from './requestsTypes.js'

type Arrival = Extract<CallerInput, { kind: 'caller.request' }>

/** Operation that a caller requests. */
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

const validate = <Body>(schema: z.ZodType<Body>, value: unknown): Result<Body, CallerError> => {
  const validated = schema.safeParse(value)
  if (validated.success) return ok(validated.data)
  const issue = validated.error.issues[0]
  return err(malformed(`body.${issue.path.join('.')}`, issue.message))
}

/** Returns the text of one message that counts for the engine's prefix cache; content parts without text are left out. */
const promptTextOf = ({ content }: ChatBody['messages'][number]): string => {
  if (content === undefined || content === null) return ''
  return typeof content === 'string' ? content : content.map(part => part.text ?? '').join('')
}

const createModelCall = (path: ModelCall['path'], body: { model: string, adapter?: string, stream?: boolean | null, max_tokens?: number | null, max_completion_tokens?: number | null }, prompt: readonly string[]): Operation => {
  const [model, adapter] = body.model.split(':')
  const maxTokens = body.max_completion_tokens ?? body.max_tokens ?? undefined
  return {
    kind: 'call',
    call: { kind: 'model', path, body, model, adapter: body.adapter ?? adapter, stream: body.stream === true, maxTokens, prompt }
  }
}

const parseChat: Parser = ({ body }) =>
  parseJson(body)
    .andThen(value => validate(chatBodySchema, value))
    .map(validBody => createModelCall('/v1/chat/completions', validBody, validBody.messages.map(promptTextOf)))

const parseCompletion: Parser = ({ body }) =>
  parseJson(body)
    .andThen(value => validate(completionBodySchema, value))
    .map(validBody => createModelCall('/v1/completions', validBody, [validBody.prompt]))

/** Caller headers that are forwarded to a service. */
const forwardedHeaders = ['content-type', 'accept', 'accept-language', 'traceparent'] as const

const parseServiceCall: Parser = ({ method, path, headers, body }, params) => {
  const name = params.service ?? ''
  const servicePath = path.replace(/^\/v1\/services\/[^/?]+/, '')
  const forwarded = Object.fromEntries(forwardedHeaders.flatMap(header => headers[header] === undefined ? [] : [[header, headers[header]]]))
  return ok({
    kind: 'call',
    call: { kind: 'service', service: name, method, path: servicePath === '' ? '/' : servicePath, headers: forwarded, body, idempotencyKey: headers['idempotency-key'] }
  })
}

const parseAddresses: Parser = (_arrival, _params, query) =>
  query.workspace === undefined || query.workspace === ''
    ? err(malformed('query.workspace', 'name the workspace'))
    : ok({ kind: 'addresses', workspace: query.workspace })

const methods: HTTPMethod[] = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']

const createRequestRouter = () => {
  const router = createRouter()
  const addRoute = (method: HTTPMethod | HTTPMethod[], path: string, parser: Parser): void =>
    router.on(method, path, () => { /* The parser is read from the route's store. */ }, parser)
  addRoute('POST', '/v1/chat/completions', parseChat)
  addRoute('POST', '/v1/completions', parseCompletion)
  addRoute('GET', '/v1/models', () => ok({ kind: 'models' }))
  addRoute('GET', '/v1/addresses', parseAddresses)
  addRoute(methods, '/v1/services/:service', parseServiceCall)
  addRoute(methods, '/v1/services/:service/*', parseServiceCall)
  return router
}

const requestRouter = createRequestRouter()

const isMethod = (method: string): method is HTTPMethod => (methods as string[]).includes(method)

/**
 * Parses a request by its method, path, headers and body.
 *
 * @param arrival - the request as received
 * @returns the operation, or an error; for a malformed request it names the place and the reason
 */
export const parseRequest = (arrival: Arrival): Result<Operation, CallerError> => {
  const unknownPath: CallerError = { kind: 'unknown_path', path: arrival.path.slice(0, 200) }
  if (!isMethod(arrival.method)) return err(unknownPath)
  const queryStart = arrival.path.indexOf('?')
  const path = queryStart < 0 ? arrival.path : arrival.path.slice(0, queryStart)
  const query = Object.fromEntries(new URLSearchParams(queryStart < 0 ? '' : arrival.path.slice(queryStart + 1)))
  const route = requestRouter.find(arrival.method, path)
  if (route === null) return err(unknownPath)
  return (route.store as Parser)(arrival, route.params, query)
}
