/**
 * Requests that this instance passes on to another one, since it is cut off from the
 * workers of their service. The other instance treats such a request as one of its
 * own callers': it alone chooses workers, counts permits, retries and crashes. What
 * it answers is passed on as it comes, event by event. A further instance gets the
 * request only if the first was not reached, or if the request may run again.
 */
import { createByteBuffer } from '../byteBuffer.js'
import type { Address } from '../catalog/catalogTypes.js'
import { assertNever } from '../errors.js'
import type { AnswerHead, ForwardInput, RelayDispatch } from '../ports/forwardPort.js'
import type { CallerResponses } from './callerResponses.js'
import { createEventSplitter } from './eventSplitter.js'
import { isRetryable, isStream, isSuccess } from './exchangeKind.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Exchange, Relay } from './forwardingTypes.js'
import type { HeldAnswers } from './heldAnswers.js'
import { handCreditOver } from './quotaCredit.js'
import { promisesNotRun } from './refusal.js'
import { continuedStream, goesOn } from './streamContinuation.js'
import { rejectedRetryAfter } from './waitOrRefuse.js'

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

/** What the relayed requests depend on. */
export interface RelaysOptions {
  readonly context: ForwardingContext
  /** The relayed requests in progress, by the id of the relay. */
  readonly byId: Map<number, Exchange>
  readonly responses: CallerResponses
  /** What is held of answers, those of workers included. */
  readonly heldAnswers: HeldAnswers
  /** Gives up an attempt or a relayed request whose answer is too large to be held; undefined stands for none. */
  readonly giveUpOversized: (id: number | undefined, time: DecisionTime) => void
  /** Returns a number that no attempt has. */
  readonly nextId: () => number
  /** Places a request that reached no other instance. */
  readonly placeAgain: (exchange: Exchange, time: DecisionTime) => void
  /** Retries a request that another instance has not answered whole, if the retry budget allows it, else refuses it. */
  readonly retry: (exchange: Exchange, time: DecisionTime) => void
}

/** Where a stream is to go on; nothing for a request whose stream has not begun. */
const continuationOf = (exchange: Exchange): Pick<RelayDispatch, 'resumeAfter' | 'resumes'> => {
  const resumeAfter = exchange.lastEventId ?? exchange.call.resumeAfter
  const resumes = continuedStream(exchange)
  return { ...(resumeAfter === undefined ? {} : { resumeAfter }), ...(resumes === undefined ? {} : { resumes }) }
}

/**
 * Creates the relayed requests of an instance, without any.
 *
 * @param options - state and outputs of the instance
 */
export const createRelays = ({ context, byId, responses, heldAnswers, giveUpOversized, nextId, placeAgain, retry }: RelaysOptions): Relays => {
  const begin = (exchange: Exchange, peers: readonly RelayPeer[], { now }: DecisionTime): void => {
    const { call, deadline } = exchange
    const { id: peer, front } = peers[context.random.below(peers.length)]
    const relay: Relay = { id: nextId(), peer, head: undefined, body: createByteBuffer(), splitter: createEventSplitter(), hasEvents: false }
    exchange.relay = relay
    exchange.relayCount++
    byId.set(relay.id, exchange)
    context.log({ kind: 'relayed', id: call.id, peer, service: exchange.service })
    handCreditOver(context, exchange, peer, now)
    const stream = continuedStream(exchange)
    if (stream !== undefined && exchange.origin !== undefined) context.streamOrigins.tell(peer, stream, exchange.origin)
    const timeLeft = Math.max(1, Math.floor(deadline - now))
    context.emit({ kind: 'relay.send', attempt: relay.id, relay: { call, peer, address: front, timeLeft, ...continuationOf(exchange) } })
  }

  const end = (exchange: Exchange, relay: Relay): void => {
    byId.delete(relay.id)
    heldAnswers.release(relay.id)
    exchange.relay = undefined
  }

  const fail = (exchange: Exchange, relay: Relay, time: DecisionTime): void => {
    end(exchange, relay)
    exchange.mayHaveRun = true
    exchange.answerLost = true
    context.log({ kind: 'relayFailed', id: exchange.call.id, peer: relay.peer, sent: true })
    if (isRetryable(exchange)) retry(exchange, time)
    else responses.refuse(exchange, { kind: 'broken' }, time)
  }

  const handleUnsent = (exchange: Exchange, relay: Relay, time: DecisionTime): void => {
    end(exchange, relay)
    context.workerReach.dropRelay(relay.peer)
    context.log({ kind: 'relayFailed', id: exchange.call.id, peer: relay.peer, sent: false })
    placeAgain(exchange, time)
  }

  /** The other instance has no worker for a stream that has begun; it waits, as it would here. */
  const waitForAnother = (exchange: Exchange, relay: Relay, time: DecisionTime): void => {
    end(exchange, relay)
    exchange.relayAfter = time.now + rejectedRetryAfter
    context.log({ kind: 'relayFailed', id: exchange.call.id, peer: relay.peer, sent: true })
    placeAgain(exchange, time)
  }

  /** Gives up a response that is of no use, although it goes on. */
  const giveUp = (exchange: Exchange, relay: Relay, time: DecisionTime): void => {
    context.emit({ kind: 'attempt.cancel', attempt: relay.id })
    fail(exchange, relay, time)
  }

  const handleHead = (exchange: Exchange, relay: Relay, head: AnswerHead, time: DecisionTime): void => {
    relay.head = head
    const isOthers = head.requestId !== undefined && head.requestId !== exchange.call.id
    if (isOthers || (isSuccess(head.status) && !head.signed)) giveUp(exchange, relay, time)
  }

  const handleData = (exchange: Exchange, relay: Relay, bytes: Buffer, time: DecisionTime): void => {
    const { now } = time
    const { head } = relay
    if (head === undefined) return
    if (!isStream(exchange, head)) return relay.body.push(bytes)
    const events = relay.splitter.push(bytes)
    if (events === undefined) return
    if (events.count > 0 && !relay.hasEvents && !goesOn(exchange, events.bytes)) return giveUp(exchange, relay, time)
    relay.hasEvents ||= events.count > 0
    if (!exchange.headSent) responses.open(exchange, head)
    exchange.events += events.count
    exchange.firstEventAt ??= now
    exchange.lastEventAt = now
    if (events.lastId !== undefined) exchange.lastEventId = events.lastId
    context.emit({ kind: 'call.write', request: exchange.request, bytes: events.bytes })
  }

  const handleEnd = (exchange: Exchange, relay: Relay, time: DecisionTime): void => {
    const { head, peer, body, splitter } = relay
    if (head === undefined || splitter.hasPartialEvent()) return fail(exchange, relay, time)
    // The other instance knows of no attempt before, and a stream that has begun cannot be refused.
    if (exchange.headSent && !isStream(exchange, head)) return waitForAnother(exchange, relay, time)
    if (exchange.mayHaveRun && (!head.signed || promisesNotRun(head.status))) return fail(exchange, relay, time)
    end(exchange, relay)
    if (isStream(exchange, head) && !exchange.headSent) responses.open(exchange, head)
    responses.answer(exchange, { worker: peer, head, body: body.bytes() }, time.now)
  }

  const handle: Relays['handle'] = (input, time) => {
    const exchange = byId.get(input.attempt)
    const relay = exchange?.relay
    if (exchange === undefined || relay?.id !== input.attempt) return false
    switch (input.kind) {
      case 'attempt.head': handleHead(exchange, relay, input.head, time); break
      case 'attempt.data':
        handleData(exchange, relay, input.bytes, time)
        if (byId.has(relay.id)) giveUpOversized(heldAnswers.note(relay), time)
        break
      case 'attempt.ended': handleEnd(exchange, relay, time); break
      case 'attempt.failed':
        if (input.failure === 'unsent') handleUnsent(exchange, relay, time)
        else fail(exchange, relay, time)
        break
      default: assertNever(input)
    }
    return true
  }

  return { begin, handle }
}
