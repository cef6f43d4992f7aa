/** What a request costs of its workspace's quota. */
import type { Quota } from '../catalog/catalogTypes.js'
import type { Prompt } from '../ports/forwardPort.js'

/**
 * Returns what a request counts against the quota of its workspace: 1 in requests;
 * in tokens those of the prompt and the most that it may write, or the configured
 * number for a request that states none. At least 1, and at most 2^53 - 1, also if
 * the request states more.
 *
 * @param quota - the quota
 * @param prompt - what the request states of its prompt
 */
export const requestCost = ({ unit, uncachedTokens }: Quota, prompt: Prompt | undefined): number => {
  if (unit === 'requests') return 1
  const tokens = prompt === undefined ? uncachedTokens : prompt.inputTokens + prompt.maxOutputTokens
  return Math.max(1, Math.min(Number.MAX_SAFE_INTEGER, tokens))
}
