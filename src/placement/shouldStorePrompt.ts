/**
 * Whether a worker should send the prompt that it reads to the part store. It
 * answers the load in which every prompt ends in a long part of its own: were
 * each sent there, those would fill the store within seconds and push out the
 * shared parts, which then are read again. A worker can only send a prompt as a
 * whole, so one goes there while some of its shared parts are missing. An
 * instance that does not hear what the store drops can't know that, and sends
 * whatever it has not sent itself.
 */
import type { Prompt } from '../ports/forwardPort.js'
import type { CachedPartsEstimate } from './cachedPartsEstimate.js'
import { sharedParts } from './modelPlacement.js'

/**
 * Decides whether a prompt is sent to the part store.
 *
 * @param stored - what the store is believed to keep
 * @param follows - whether that belief follows the store's events
 * @param scope - within which its parts are shared
 * @param prompt - the prompt
 */
export const shouldStorePrompt = (stored: CachedPartsEstimate, follows: boolean, scope: string, prompt: Prompt): boolean => {
  const parts = follows ? sharedParts(prompt) : prompt.parts
  const tokens = parts.reduce((sum, part) => sum + part.tokens, 0)
  return tokens > 0 && stored.cachedPrefixTokens(scope, parts) < tokens
}
