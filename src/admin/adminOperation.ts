/** One operation of the administration API, and how its call is checked. */
import type { HTTPMethod } from 'find-my-way'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import type { AdminAnswer, AdminCall, AdminError, AdminNode, BodyFormat, Emit, RequiredRole } from './adminTypes.js'

/** What is known of an operation before it is called. */
export interface OperationMetadata {
  readonly method: HTTPMethod & ('GET' | 'POST')
  readonly path: string
  readonly role: RequiredRole
  /** Names the operation in the OpenAPI document. */
  readonly name: string
  readonly summary: string
  /** Status of an answer without error. */
  readonly status: number
}

/** What arrived, before the operation checks it. */
export interface RawCall extends Omit<AdminCall, 'query' | 'body'> {
  readonly query: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/** One operation. */
export interface AdminOperation extends OperationMetadata {
  readonly query: z.ZodObject
  readonly body: BodyFormat
  readonly answer: z.ZodType
  readonly run: (node: AdminNode, call: RawCall, emit: Emit, now: number) => Result<AdminAnswer, AdminError>
}

/** An operation as it is written: the schemas give the types of the call and the answer. */
interface OperationDefinition<Query extends z.ZodObject, Body extends BodyFormat, Answer extends z.ZodType> extends OperationMetadata {
  readonly query: Query
  readonly body: Body
  readonly answer: Answer
  readonly run: (node: AdminNode, call: AdminCall<z.infer<Query>, BodyOf<Body>>, emit: Emit, now: number) => Result<AdminAnswer<z.infer<Answer>>, AdminError>
}

type BodyOf<Format extends BodyFormat> = Format extends { kind: 'json', schema: z.ZodType<infer Value> } ? Value : Format extends { kind: 'text' } ? string : undefined

/** The query of operations that take none. */
export const noQuery = z.strictObject({})

/** The body of operations that take none. */
export const noBody = { kind: 'none' } as const

const validate = (schema: z.ZodType, place: string, value: unknown): Result<unknown, AdminError> => {
  const checked = schema.safeParse(value)
  if (checked.success) return ok(checked.data)
  const issue = checked.error.issues[0]
  const at = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]] : issue.path
  return err({ kind: 'malformed_request', place: [place, ...at].join('.'), reason: issue.message })
}

const parseJson = (text: string): Result<unknown, AdminError> => {
  try {
    return ok(JSON.parse(text))
  } catch {
    return err({ kind: 'malformed_request', place: 'body', reason: 'the body is not JSON' })
  }
}

const parseBody = (form: BodyFormat, bytes: Uint8Array): Result<unknown, AdminError> => {
  const text = Buffer.from(bytes).toString('utf8')
  switch (form.kind) {
    case 'none': return ok(undefined)
    case 'text': return ok(text)
    case 'json': return parseJson(text).andThen(value => validate(form.schema, 'body', value))
  }
}

/**
 * Makes an operation that checks its call by the schemas.
 *
 * @param definition - the operation as it is written
 * @returns the operation
 */
export const defineOperation = <Query extends z.ZodObject, Body extends BodyFormat, Answer extends z.ZodType>(definition: OperationDefinition<Query, Body, Answer>): AdminOperation => ({
  ...definition,
  run: (node, call, emit, now) => validate(definition.query, 'query', call.query)
    .andThen(query => parseBody(definition.body, call.body).map(body => ({ ...call, query, body })))
    .andThen(checked => definition.run(node, checked as AdminCall<z.infer<Query>, BodyOf<Body>>, emit, now))
})
