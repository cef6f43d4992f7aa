/**
 * Messages between instances. Each feature owns a schema of its own messages,
 * whose `kind` starts with the feature's name; the port carries them unread.
 */

/** A message to or from another instance: CBOR-serialisable, with a `kind`. */
export interface PeerMessage {
  readonly kind: string
}

/** A message to send; delivery is not promised. */
export interface PeerEffect<Message extends PeerMessage = PeerMessage> {
  readonly kind: 'peer.send'
  readonly to: string
  readonly message: Message
}

/** The connection to another instance seems to carry nothing; the next message takes a new one. */
export interface PeerReset {
  readonly kind: 'peer.reset'
  readonly to: string
}

/** What arrives from another instance. */
export type PeerInput<Message extends PeerMessage = PeerMessage> =
  | { readonly kind: 'peer.message', readonly from: string, readonly message: Message }
  | { readonly kind: 'peer.lost', readonly from: string }

/** Time passing; sent to every feature each `tickInterval`. */
export interface Tick {
  readonly kind: 'tick'
}

/** Milliseconds between ticks. */
export const tickInterval = 50
