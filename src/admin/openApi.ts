/** Generates the OpenAPI document of the administration API from the schemas of its operations. */
import { z } from 'zod'
import type { AdminOperation } from './adminOperation.js'
import { adminOperations } from './adminOperations.js'
import { adminErrorBodySchema } from './adminSchemas.js'
import type { BodyFormat } from './adminTypes.js'

/** Version of the API; incremented when an answer changes so that older clients cannot read it. */
const apiVersion = '1'

type JsonObject = Readonly<Record<string, unknown>>

const omitDialect = ({ $schema, ...rest }: JsonObject): JsonObject => rest

const inputSchema = (schema: z.ZodType): JsonObject => omitDialect(z.toJSONSchema(schema, { io: 'input', target: 'draft-2020-12' }))
const outputSchema = (schema: z.ZodType): JsonObject => omitDialect(z.toJSONSchema(schema, { io: 'output', target: 'draft-2020-12' }))

const jsonContent = (schema: JsonObject): JsonObject => ({ 'application/json': { schema } })

const pathParameters = (path: string): JsonObject[] =>
  [...path.matchAll(/:(\w+)/g)].map(([, name]) => ({ name, in: 'path', required: true, schema: { type: 'string' } }))

const queryParameters = (query: z.ZodObject): JsonObject[] => {
  const { properties = {}, required = [] } = inputSchema(query) as { properties?: Record<string, JsonObject>, required?: string[] }
  return Object.entries(properties).map(([name, schema]) => ({ name, in: 'query', required: required.includes(name), schema }))
}

const requestBody = (format: BodyFormat): JsonObject => {
  switch (format.kind) {
    case 'none': return {}
    case 'text': return { requestBody: { required: true, content: { 'text/plain': { schema: { type: 'string' } } } } }
    case 'json': return { requestBody: { required: true, content: jsonContent(inputSchema(format.schema)) } }
  }
}

const describeOperation = ({ name, summary, role, path, query, body, status, answer }: AdminOperation): JsonObject => ({
  operationId: name,
  summary,
  description: role === 'none' ? 'Requires no key.' : `Requires an operator key with the role \`${role}\` or a higher one.`,
  ...(role === 'none' ? { security: [] } : {}),
  parameters: [...pathParameters(path), ...queryParameters(query)],
  ...requestBody(body),
  responses: {
    [status]: { description: 'The operation succeeded.', content: jsonContent(outputSchema(answer)) },
    default: { $ref: '#/components/responses/Error' }
  }
})

const describePaths = (): JsonObject => {
  const paths: Record<string, Record<string, JsonObject>> = {}
  for (const operation of adminOperations) {
    const path = operation.path.replace(/:(\w+)/g, '{$1}')
    paths[path] = { ...paths[path], [operation.method.toLowerCase()]: describeOperation(operation) }
  }
  return paths
}

/**
 * Generates the OpenAPI document of the administration API.
 *
 * @returns an OpenAPI 3.1 document
 */
export const openApiDocument = (): JsonObject => ({
  openapi: '3.1.0',
  info: {
    title: 'wasabireel administration',
    version: apiVersion,
    description: 'Served on the operator port of every instance. Before the first rules are published, no key is known, and every operation is open to anyone who can reach the port. Requests that are too large, too slow or not valid HTTP are answered before they reach an operation, with the error types of the caller port: `body_too_large`, `header_too_large`, `request_timeout`, `malformed_request`. `GET /metrics` returns the metrics in the Prometheus text format and requires no key.'
  },
  security: [{ operatorKey: [] }],
  paths: describePaths(),
  components: {
    securitySchemes: { operatorKey: { type: 'http', scheme: 'bearer' } },
    responses: { Error: { description: 'The operation had no effect, except that a publish refused with `publish_refused` and the outcome `unknown` may have been accepted.', content: jsonContent(outputSchema(adminErrorBodySchema)) } }
  }
})

/**
 * Generates the content of `docs/openapi.json`.
 *
 * @returns the OpenAPI document as indented JSON
 */
export const openApiPage = (): string => `${JSON.stringify(openApiDocument(), null, 2)}\n`
