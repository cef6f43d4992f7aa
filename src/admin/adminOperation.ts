/** Defines operations of the administration API and validates their calls against schemas. */
import type { HTTPMethod } from 'find-my-way'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import type { AdminAnswer, AdminCall, AdminError, AdminNode, BodyFormat, Emit, RequiredRole } from './adminTypes.js'

/** Route, required role and documentation of an operation. */
export interface OperationMetadata {
  readonly method: HTTPMethod & ('GET' | 'POST')
  readonly path: string
  readonly role: RequiredRole
  /** Operation ID in the OpenAPI document. */
  readonly name: string
  readonly summary: string
  /** HTTP status of a successful answer. */
  readonly status: number
}

/** A call as received, before its query and body are validated. */
export interface RawCall extends Omit<AdminCall, 'query' | 'body'> {
  readonly query: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/** An operation that validates a raw call and then runs it. */
export interface AdminOperation extends OperationMetadata {
  readonly query: z.ZodObject
  readonly body: BodyFormat
  readonly answer: z.ZodType
  readonly run: (node: AdminNode, call: RawCall, emit: Emit, now: number) => Result<AdminAnswer, AdminError>
}

/** Definition of an operation. The types of the call and of the answer are inferred from the schemas. */
interface OperationDefinition<Query extends z.ZodObject, Body extends BodyFormat, Answer extends z.ZodType> extends OperationMetadata {
  readonly query: Query
  readonly body: Body
  readonly answer: Answer
  readonly run: (node: AdminNode, call: AdminCall<z.infer<Query>, BodyOf<Body>>, emit: Emit, now: number) => Result<AdminAnswer<z.infer<Answer>>, AdminError>
}

type BodyOf<Format extends BodyFormat> = Format extends { kind: 'json', schema: z.ZodType<infer Value> } ? Value : Format extends { kind: 'text' } ? string : undefined

/** Query schema of operations without query parameters. */
export const noQuery = z.strictObject({})

/** Body format of operations without a request body. */
export const noBody = { kind: 'none' } as const

const validate = (schema: z.ZodType, place: string, value: unknown): Result<unknown, AdminError> => {
  const parsed = schema.safeParse(value)
  if (parsed.success) return ok(parsed.data)
  const issue = parsed.error.issues[0]
  const path = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]] : issue.path
  return err({ kind: 'malformed_request', place: [place, ...path].join('.'), reason: issue.message })
}

const parseJson = (text: string): Result<unknown, AdminError> => {
  try {
    return ok(JSON.parse(text))
  } catch {
    return err({ kind: 'malformed_request', place: 'body', reason: 'the body is not JSON' })
  }
}

const parseBody = (format: BodyFormat, bytes: Uint8Array): Result<unknown, AdminError> => {
  const text = Buffer.from(bytes).toString('utf8')
  switch (format.kind) {
    case 'none': return ok(undefined)
    case 'text': return ok(text)
    case 'json': return parseJson(text).andThen(value => validate(format.schema, 'body', value))
  }
}

/**
 * Creates an operation that validates the query and the body of a call against
 * its schemas before it runs. An invalid call is answered with `malformed_request`.
 *
 * @param definition - route, schemas and implementation of the operation
 * @returns the operation
 */
export const defineOperation = <Query extends z.ZodObject, Body extends BodyFormat, Answer extends z.ZodType>(definition: OperationDefinition<Query, Body, Answer>): AdminOperation => ({
  ...definition,
  run: (node, call, emit, now) => validate(definition.query, 'query', call.query)
    .andThen(query => parseBody(definition.body, call.body).map(body => ({ ...call, query, body })))
    .andThen(validCall => definition.run(node, validCall as AdminCall<z.infer<Query>, BodyOf<Body>>, emit, now))
})
