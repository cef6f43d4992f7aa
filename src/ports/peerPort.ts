/**
 * Port for messages between instances. Each feature defines the schema of its
 * messages, whose `kind` starts with the feature's name; the port does not
 * interpret them.
 */

/** A message to or from another instance; must be serialisable as CBOR. */
export interface PeerMessage {
  readonly kind: string
}

/** A message to send; delivery is not guaranteed. */
export interface PeerEffect<Message extends PeerMessage = PeerMessage> {
  readonly kind: 'peer.send'
  readonly to: string
  readonly message: Message
}

/** Drops the connection to another instance because it appears to be dead; the next message opens a new one. */
export interface PeerReset {
  readonly kind: 'peer.reset'
  readonly to: string
}

/** Inputs from another instance: a message, or the loss of the connection. */
export type PeerInput<Message extends PeerMessage = PeerMessage> =
  | { readonly kind: 'peer.message', readonly from: string, readonly message: Message }
  | { readonly kind: 'peer.lost', readonly from: string }

/** The clock tick that every feature receives at a fixed interval. */
export interface Tick {
  readonly kind: 'tick'
}

/** Time between ticks, in ms. */
export const tickInterval = 50
