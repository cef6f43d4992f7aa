/** HTTP client for the administration API and the address API of an instance. */
import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'

/** Instance to call and the operator key to use. */
export interface OperatorTarget {
  /** `http://host:port` of the operator or caller port. */
  readonly url: string
  /** Operator key, sent as a bearer token. */
  readonly key?: string
}

/** Failure of a request: the instance could not be reached or sent no JSON, or it answered with an error status. */
export type RequestFailure =
  | { readonly kind: 'unreachable', readonly url: string, readonly reason: string }
  | { readonly kind: 'refused', readonly status: number, readonly body: unknown }

/** Time limit for the response headers, and between two chunks of the response body. */
const timeoutMs = 15_000

/**
 * Sends one request, without retries.
 *
 * @param target - instance to call and its key
 * @param method - HTTP method
 * @param path - path with query
 * @param body - request body, if any
 * @returns the parsed JSON answer, or the failure
 */
export const requestJson = async (target: OperatorTarget, method: 'GET' | 'POST', path: string, body?: string): Promise<Result<unknown, RequestFailure>> => {
  const headers: Record<string, string> = target.key === undefined ? {} : { authorization: `Bearer ${target.key}` }
  try {
    const answer = await request(new URL(path, target.url), { method, headers, body, headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
    const parsed: unknown = await answer.body.json()
    return answer.statusCode < 300 ? ok(parsed) : err({ kind: 'refused', status: answer.statusCode, body: parsed })
  } catch (error) {
    return err({ kind: 'unreachable', url: target.url, reason: error instanceof Error ? error.message : String(error) })
  }
}
