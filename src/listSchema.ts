/**
 * Schema of a list that is checked up to its first fault. A message or record
 * of another writer may hold a list of hundreds of thousands of values, and the
 * library's own array schema collects an issue for each wrong one, which takes
 * seconds and gigabytes.
 */
import { z } from 'zod'

type Payload = z.core.ParsePayload

const checkElements = (schema: z.ZodArray, payload: Payload, context: z.core.ParseContextInternal): Payload => {
  const { value: input, issues } = payload
  if (!Array.isArray(input)) {
    issues.push({ code: 'invalid_type', expected: 'array', input, inst: schema })
    return payload
  }
  const values: unknown[] = []
  for (let index = 0; index < input.length; index++) {
    const result = schema.element._zod.run({ value: input[index], issues: [] }, context)
    if (result instanceof Promise) throw new z.core.$ZodAsyncError()
    if (result.issues.length > 0) {
      issues.push(...z.core.util.prefixIssues(index, result.issues))
      return payload
    }
    values.push(result.value)
  }
  payload.value = values
  return payload
}

/**
 * Creates the schema of a list of any length. Checks cannot be added to it: these
 * would replace it by the library's own schema, which does refuse a list beyond
 * its `max` before it looks at the elements.
 *
 * @param element - schema of the elements
 */
export const listOf = <Element extends z.ZodType>(element: Element): z.ZodArray<Element> => {
  const schema = z.array(element)
  const check = (payload: Payload, context: z.core.ParseContextInternal): Payload => checkElements(schema as unknown as z.ZodArray, payload, context)
  schema._zod.parse = check as typeof schema._zod.parse
  schema._zod.run = check as typeof schema._zod.run
  return schema
}
