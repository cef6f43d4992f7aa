/**
 * Decides whether a worker sends a prompt that it prefills to the part store.
 * Every prompt ends in a long part of its own. If every prompt were stored,
 * those parts would fill the store within seconds and evict the shared parts,
 * which would then be prefilled again. A worker can only store a prompt as a
 * whole, so a prompt is stored while some of its shared parts are missing from
 * the store. An instance that does not receive the store's events knows only
 * what it and its peers have announced to store, and leaves out short parts,
 * which are cheaper to prefill than to move.
 */
import type { Prompt } from '../ports/forwardPort.js'
import type { CachedPartsEstimate } from './cachedPartsEstimate.js'
import { sharedParts } from './modelPlacement.js'

/** Shared tokens of a prompt below which an instance that does not receive the store's events does not store it. */
const minSharedTokens = 1_000

/**
 * Decides whether a prompt is sent to the part store.
 *
 * @param stored - parts that the store is estimated to hold
 * @param followsEvents - whether that estimate is kept up to date by the store's events
 * @param scope - cache scope of the prompt
 * @param prompt - prompt that a worker is going to prefill
 */
export const shouldStorePrompt = (stored: CachedPartsEstimate, followsEvents: boolean, scope: string, prompt: Prompt): boolean => {
  const parts = sharedParts(prompt)
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0)
  return tokens >= (followsEvents ? 1 : minSharedTokens) && stored.cachedPrefixTokens(scope, parts) < tokens
}
