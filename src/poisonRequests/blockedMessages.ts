/** Builds the messages that tell other instances of blocked features. */
import { maxBlocked, type BlockedFeature } from './blockedFeatures.js'
import type { PoisonMessage } from './poisonRequestsTypes.js'

/** Number of blocked features that one message names. */
const maxPerMessage = 48

const describe = ({ feature, blockedAt, lastCrashAt, failures, trialAt }: BlockedFeature, now: number) =>
  ({ part: feature, age: Math.max(0, now - blockedAt), crashAge: Math.max(0, now - lastCrashAt), failures, trialIn: Math.max(0, trialAt - now) })

/**
 * Builds the messages that name the blocked features of one scope.
 *
 * @param scope - the scope
 * @param blocked - its blocked features
 * @param now - present time, in ms
 */
export const blockedMessages = (scope: string, blocked: readonly BlockedFeature[], now: number): readonly PoisonMessage[] => {
  const messages: PoisonMessage[] = []
  for (let first = 0; first < blocked.length; first += maxPerMessage) {
    messages.push({ kind: 'fleet.blockedParts', model: scope, blocked: blocked.slice(first, first + maxPerMessage).map(entry => describe(entry, now)) })
  }
  return messages
}

/** Builds the answer to an instance that has started and asks what is blocked; `now` in ms. */
export const blockedAnswer = (blocked: readonly BlockedFeature[], now: number): PoisonMessage => ({
  kind: 'fleet.blockedAnswer',
  blocked: blocked.slice(0, maxBlocked).map(entry => ({ model: entry.scope, ...describe(entry, now) }))
})
