/**
 * Requests that this instance passes on to another one, since it is cut off from the
 * workers of their service. The other instance treats such a request as one of its
 * own callers': it alone chooses workers, counts permits, retries and crashes. What
 * it answers is passed on as it comes. A request is relayed once, by one instance:
 * a further one gets it only if the first was not reached.
 */
import { createByteBuffer } from '../byteBuffer.js'
import type { Address } from '../catalog/catalogTypes.js'
import type { AnswerHead, ForwardInput } from '../ports/forwardPort.js'
import type { CallerResponses } from './callerResponses.js'
import { isStream, isSuccess } from './exchangeKind.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Exchange, Relay } from './forwardingTypes.js'

/** An instance that takes relayed requests. */
export interface RelayPeer {
  readonly id: string
  /** Where its callers connect. */
  readonly front: Address
}

/** The relayed requests of one instance. */
export interface Relays {
  /** Passes a request on to one of these instances. */
  readonly begin: (exchange: Exchange, peers: readonly RelayPeer[], time: DecisionTime) => void
  /** Handles what arrives from another instance; returns false if it belongs to no relayed request. */
  readonly handle: (input: Extract<ForwardInput, { readonly attempt: number }>, time: DecisionTime) => boolean
}

/**
 * Creates the relayed requests of an instance, without any.
 *
 * @param context - state and outputs of the instance
 * @param byId - the relayed requests in progress
 * @param responses - responses to callers
 * @param nextId - returns a number that no attempt has
 * @param placeAgain - places a request that reached no other instance
 */
export const createRelays = (
  context: ForwardingContext,
  byId: Map<number, Exchange>,
  responses: CallerResponses,
  nextId: () => number,
  placeAgain: (exchange: Exchange, time: DecisionTime) => void
): Relays => {
  const begin = (exchange: Exchange, peers: readonly RelayPeer[], { now }: DecisionTime): void => {
    const { call, deadline } = exchange
    const { id: peer, front } = peers[context.random.below(peers.length)]
    const relay: Relay = { id: nextId(), peer, head: undefined, body: createByteBuffer() }
    exchange.relay = relay
    byId.set(relay.id, exchange)
    context.log({ kind: 'relayed', id: call.id, peer, service: exchange.service })
    context.emit({ kind: 'relay.send', attempt: relay.id, relay: { call, peer, address: front, timeLeft: Math.max(1, Math.floor(deadline - now)) } })
  }

  const end = (exchange: Exchange, relay: Relay): void => {
    byId.delete(relay.id)
    exchange.relay = undefined
  }

  const fail = (exchange: Exchange, relay: Relay, time: DecisionTime): void => {
    end(exchange, relay)
    exchange.mayHaveRun = true
    context.log({ kind: 'relayFailed', id: exchange.call.id, peer: relay.peer, sent: true })
    responses.refuse(exchange, { kind: 'broken' }, time)
  }

  const handleUnsent = (exchange: Exchange, relay: Relay, time: DecisionTime): void => {
    end(exchange, relay)
    context.workerReach.dropRelay(relay.peer)
    context.log({ kind: 'relayFailed', id: exchange.call.id, peer: relay.peer, sent: false })
    placeAgain(exchange, time)
  }

  const handleHead = (exchange: Exchange, relay: Relay, head: AnswerHead, time: DecisionTime): void => {
    relay.head = head
    const isOthers = head.requestId !== undefined && head.requestId !== exchange.call.id
    if (isOthers || (isSuccess(head.status) && !head.signed)) {
      context.emit({ kind: 'attempt.cancel', attempt: relay.id })
      return fail(exchange, relay, time)
    }
    if (isStream(exchange, head)) responses.open(exchange, head)
  }

  const handleData = (exchange: Exchange, relay: Relay, bytes: Buffer, now: number): void => {
    const { head } = relay
    if (head === undefined) return
    if (!isStream(exchange, head)) return relay.body.push(bytes)
    exchange.firstEventAt ??= now
    exchange.lastEventAt = now
    context.emit({ kind: 'call.write', request: exchange.request, bytes })
  }

  const handleEnd = (exchange: Exchange, relay: Relay, time: DecisionTime): void => {
    const { head, peer, body } = relay
    if (head === undefined) return fail(exchange, relay, time)
    end(exchange, relay)
    // The other instance promises that the request has not run there, and knows of no other attempt.
    if (exchange.mayHaveRun && !head.signed) return responses.refuse(exchange, { kind: 'broken' }, time)
    responses.answer(exchange, { worker: peer, head, body: body.bytes() }, time.now)
  }

  const handle: Relays['handle'] = (input, time) => {
    const exchange = byId.get(input.attempt)
    const relay = exchange?.relay
    if (exchange === undefined || relay?.id !== input.attempt) return false
    switch (input.kind) {
      case 'attempt.head': handleHead(exchange, relay, input.head, time); break
      case 'attempt.data': handleData(exchange, relay, input.bytes, time.now); break
      case 'attempt.ended': handleEnd(exchange, relay, time); break
      case 'attempt.failed':
        if (input.failure === 'unsent') handleUnsent(exchange, relay, time)
        else fail(exchange, relay, time)
    }
    return true
  }

  return { begin, handle }
}
