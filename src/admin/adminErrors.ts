/** HTTP status, message and JSON body of the errors of the administration API. */
import { assertNever } from '../errors.js'
import type { AdminError } from './adminTypes.js'

const statusByKind: { readonly [Kind in AdminError['kind']]: number } = {
  unauthorised: 401,
  forbidden: 403,
  unknown_path: 404,
  malformed_request: 400,
  rules_invalid: 422,
  publish_refused: 409,
  no_configuration: 404,
  not_ready: 503
}

const refusalStatusByKind = { conflict: 409, invalid: 422, forbidden: 403, unavailable: 503 } as const

/**
 * Formats an error as a message for the operator.
 *
 * @param error - error of an administration call
 * @returns one clause without a full stop
 */
export const describeAdminError = (error: AdminError): string => {
  switch (error.kind) {
    case 'unauthorised': return 'the operator key is missing or not in force'
    case 'forbidden': return `this needs the role "${error.required}"`
    case 'unknown_path': return `nothing is served at ${error.path}`
    case 'malformed_request': return `${error.place}: ${error.reason}`
    case 'rules_invalid': return `the rules have ${error.errors.length} errors`
    case 'publish_refused': return `the publish was refused: ${error.result.kind}`
    case 'no_configuration': return 'no configuration has been accepted yet'
    case 'not_ready': return 'this instance does not serve yet'
    default: return assertNever(error)
  }
}

/**
 * Returns the HTTP status of an error. The status of a refused publish depends
 * on why it was refused.
 *
 * @param error - error of an administration call
 * @returns an HTTP status code
 */
export const adminErrorStatus = (error: AdminError): number =>
  error.kind === 'publish_refused' ? refusalStatusByKind[error.result.kind] : statusByKind[error.kind]

/**
 * Builds the JSON body of an error answer.
 *
 * @param error - error of an administration call
 * @returns an object with the member `error`: `type`, `message` and the other fields of the error
 */
export const adminErrorBody = (error: AdminError): unknown => {
  const { kind, ...details } = error
  return { error: { type: kind, message: describeAdminError(error), ...details } }
}
