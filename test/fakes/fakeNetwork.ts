/**
 * Machines that exchange effects and inputs over a network in virtual time.
 * It keeps its own account of the bytes that each instance sent.
 */
import { encode } from 'cbor-x'
import type { PeerMessage } from '../../src/ports/peerPort.js'
import type { Random } from '../../src/random.js'
import type { VirtualTime } from './virtualTime.js'

/** Bytes of frame, TCP and IP headers and of the acknowledgement per message. */
export const messageOverhead = 110

/** What the network does with one message. */
export type Delivery = 'deliver' | 'drop' | 'duplicate' | 'late'

/** One message under way. */
export interface MessageInTransit {
  readonly from: string
  readonly to: string
  readonly message: PeerMessage
}

/** The network. */
export interface FakeNetwork {
  readonly join: (id: string, receive: (from: string, message: PeerMessage) => void) => void
  readonly leave: (id: string) => void
  readonly send: (passage: MessageInTransit) => void
  /** Decides on each message; the default delivers all. */
  readonly intercept: (decide: (passage: MessageInTransit) => Delivery) => void
  /** Bytes sent by an instance so far, counted if asked for. */
  readonly bytes: (id: string) => number
  readonly messages: () => number
}

const lateDelay = 1_500

/**
 * Creates a network without faults.
 *
 * @param time - the clock
 * @param random - the delays
 * @param counting - whether bytes are counted
 */
export const createFakeNetwork = (time: VirtualTime, random: Random, counting = false): FakeNetwork => {
  const receivers = new Map<string, (from: string, message: PeerMessage) => void>()
  const bytes = new Map<string, number>()
  let messages = 0
  let decide: (passage: MessageInTransit) => Delivery = () => 'deliver'

  const deliver = ({ from, to, message }: MessageInTransit, delay: number): void => {
    time.after(delay, () => receivers.get(to)?.(from, message))
  }

  const send = (passage: MessageInTransit): void => {
    messages++
    if (counting) bytes.set(passage.from, (bytes.get(passage.from) ?? 0) + encode(passage.message).length + messageOverhead)
    const delivery = decide(passage)
    if (delivery === 'drop') return
    const delay = 1 + 2 * random.unit()
    deliver(passage, delivery === 'late' ? delay + lateDelay : delay)
    if (delivery === 'duplicate') deliver(passage, delay + 10)
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
