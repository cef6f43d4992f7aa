/** Asks an instance's administration API on behalf of a person. */
import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'

/** Which instance to ask, and under which key. */
export interface OperatorTarget {
  /** `http://host:port` of the operator or caller port. */
  readonly url: string
  readonly key?: string
}

/** Why there is no result. */
export type RequestFailure =
  | { readonly kind: 'unreachable', readonly url: string, readonly reason: string }
  | { readonly kind: 'refused', readonly status: number, readonly body: unknown }

const timeoutMs = 15_000

/**
 * Asks once.
 *
 * @param target - which instance
 * @param method - HTTP method
 * @param path - path with query
 * @param body - text to send
 * @returns the JSON answer, or why there is none
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
