/**
 * Decides whether a worker sends a prompt that it prefills to the part store.
 * Every prompt ends in a long part of its own. If every prompt were stored,
 * those parts would fill the store within seconds and evict the shared parts,
 * which would then be prefilled again. A worker can only store a prompt as a
 * whole, so a prompt is stored while some of its shared parts are missing from
 * the store. An instance that does not receive the store's events cannot know
 * what the store evicts, so it stores every prompt that it has not stored
 * itself.
 */
import type { Prompt } from '../ports/forwardPort.js'
import type { CachedPartsEstimate } from './cachedPartsEstimate.js'
import { sharedParts } from './modelPlacement.js'

/**
 * Decides whether a prompt is sent to the part store.
 *
 * @param stored - parts that the store is estimated to hold
 * @param followsEvents - whether that estimate is kept up to date by the store's events
 * @param scope - cache scope of the prompt
 * @param prompt - prompt that a worker is going to prefill
 */
export const shouldStorePrompt = (stored: CachedPartsEstimate, followsEvents: boolean, scope: string, prompt: Prompt): boolean => {
  const parts = followsEvents ? sharedParts(prompt) : prompt.parts
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0)
  return tokens > 0 && stored.cachedPrefixTokens(scope, parts) < tokens
}
