/**
 * A network in virtual time that carries peer messages between instances.
 * It counts the messages, and on request the bytes that each instance sent.
 */
import { encode } from 'cbor-x'
import type { PeerMessage } from '../../src/ports/peerPort.js'
import type { Random } from '../../src/random.js'
import type { VirtualTime } from './virtualTime.js'

/** Bytes per message for the frame, the TCP and IP headers and the acknowledgement. */
export const messageOverhead = 110

/** How the network delivers a message. */
export type Delivery = 'deliver' | 'drop' | 'duplicate' | 'late'

/** A message that was sent and not yet delivered. */
export interface MessageInTransit {
  readonly from: string
  readonly to: string
  readonly message: PeerMessage
}

/** The network. */
export interface FakeNetwork {
  /** Connects an instance; `receive` is called with each message delivered to it. */
  readonly join: (id: string, receive: (from: string, message: PeerMessage) => void) => void
  /** Disconnects an instance; messages in transit to it are lost. */
  readonly leave: (id: string) => void
  readonly send: (sent: MessageInTransit) => void
  /** Sets the function that decides how each message is delivered; by default all are delivered. */
  readonly intercept: (decide: (sent: MessageInTransit) => Delivery) => void
  /** Bytes that an instance sent so far; 0 unless counting is on. */
  readonly bytes: (id: string) => number
  /** Messages sent so far by all instances. */
  readonly messages: () => number
}

/** Additional delay of a late message, in ms. */
const lateDelay = 1_500

/**
 * Creates a network that delivers each message after 1 to 3 ms, without faults.
 *
 * @param time - the virtual clock
 * @param random - source of the delays
 * @param counting - whether bytes are counted
 */
export const createFakeNetwork = (time: VirtualTime, random: Random, counting = false): FakeNetwork => {
  const receivers = new Map<string, (from: string, message: PeerMessage) => void>()
  const bytes = new Map<string, number>()
  let messages = 0
  let decide: (sent: MessageInTransit) => Delivery = () => 'deliver'

  const deliver = ({ from, to, message }: MessageInTransit, delay: number): void => {
    time.after(delay, () => receivers.get(to)?.(from, message))
  }

  const send = (sent: MessageInTransit): void => {
    messages++
    if (counting) bytes.set(sent.from, (bytes.get(sent.from) ?? 0) + encode(sent.message).length + messageOverhead)
    const delivery = decide(sent)
    if (delivery === 'drop') return
    const delay = 1 + 2 * random.unit()
    deliver(sent, delivery === 'late' ? delay + lateDelay : delay)
    if (delivery === 'duplicate') deliver(sent, delay + 10)
  }

  return {
    join: (id, receive) => receivers.set(id, receive),
    leave: id => receivers.delete(id),
    send,
    intercept: decider => {
      decide = decider
    },
    bytes: id => bytes.get(id) ?? 0,
    messages: () => messages
  }
}
