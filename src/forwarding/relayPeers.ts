/** Finds the instances to which a request may be passed on. */
import { isRetryable } from './exchangeKind.js'
import type { ForwardingContext } from './forwardingContext.js'
import type { Exchange } from './forwardingTypes.js'
import type { RelayPeer } from './relays.js'

/** Number of instances that may get one request. */
const maxRelays = 3

/**
 * The instances that may take the request, if this one is cut off from its service; one that was relayed here stays.
 *
 * @param context - state of the instance
 * @param exchange - the request
 * @param now - present time, in ms
 */
export const relayPeers = (context: ForwardingContext, exchange: Exchange, now: number): readonly RelayPeer[] => {
  // A stream that has begun is lost if it stays, so that only its pause limits it.
  if (exchange.call.relayed === true || (!exchange.headSent && exchange.relayCount >= maxRelays)) return []
  if (exchange.mayHaveRun && !isRetryable(exchange)) return []
  return context.workerReach.relaysFor(exchange.service, now).flatMap(id => {
    const front = context.frontOf(id)
    return front === undefined ? [] : [{ id, front }]
  })
}
