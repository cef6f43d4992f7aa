/**
 * Graceful shutdown of one instance: it announces that it is leaving, keeps
 * accepting requests while callers may still hold an address list that names it,
 * then closes the listener, finishes the running requests, and exits. No time
 * limit cuts off a running request.
 */
import { assertNever } from '../errors.js'
import type { Tick } from '../ports/peerPort.js'

/** Inputs of the drain. */
export type DrainInput =
  | Tick
  /** An operator or a signal requested that this instance shut down. */
  | { readonly kind: 'drain.start' }
  /** The number of accepted and unfinished requests changed to `running`. */
  | { readonly kind: 'drain.running', readonly running: number }

/** Effects of the drain, which the process carries out. */
export type DrainEffect =
  /** Announce to peers and to the platform's membership list that this instance is leaving. */
  | { readonly kind: 'drain.announce' }
  | { readonly kind: 'drain.closeListener' }
  | { readonly kind: 'drain.exit', readonly code: 0 }

/** The phase of the drain; `closeAt` is the time at which the listener closes, in ms. */
export type DrainPhase =
  | { readonly kind: 'serving' }
  | { readonly kind: 'announced', readonly closeAt: number }
  | { readonly kind: 'closed' }
  | { readonly kind: 'exited' }

/** Times during which callers may still connect after the announcement, in ms; they add up. */
export interface DrainOptions {
  /** How long a caller caches an address list. */
  readonly timeToLive: number
  /** How long another instance may keep listing this one after the announcement. */
  readonly membershipLag: number
}

/** A gap between ticks above which the process is taken to have been paused, in ms. */
const pauseThreshold = 1_000

/** The drain of one instance. Times passed to `handle` are in ms; `dump` returns the phase and the number of running requests. */
export interface Drain {
  readonly handle: (input: DrainInput, now: number) => readonly DrainEffect[]
  readonly phase: () => DrainPhase
  readonly dump: () => { readonly phase: DrainPhase, readonly running: number }
}

/**
 * Creates the drain of an instance in the phase `serving`.
 *
 * @param options - how long callers may still connect after the announcement
 * @returns the drain
 */
export const createDrain = ({ timeToLive, membershipLag }: DrainOptions): Drain => {
  let phase: DrainPhase = { kind: 'serving' }
  let running = 0
  let lastTick: number | undefined

  /** Adds the time of a pause to `closeAt`: the announcement may not have been sent before the pause. */
  const extendByPause = (now: number): void => {
    const gap = now - (lastTick ?? now)
    lastTick = now
    if (phase.kind !== 'announced' || gap <= pauseThreshold) return
    phase = { kind: 'announced', closeAt: phase.closeAt + gap }
  }

  const start = (now: number): readonly DrainEffect[] => {
    if (phase.kind !== 'serving') return []
    phase = { kind: 'announced', closeAt: now + timeToLive + membershipLag }
    return [{ kind: 'drain.announce' }]
  }

  const advance = (now: number): readonly DrainEffect[] => {
    const effects: DrainEffect[] = []
    if (phase.kind === 'announced' && now >= phase.closeAt) {
      phase = { kind: 'closed' }
      effects.push({ kind: 'drain.closeListener' })
    }
    if (phase.kind === 'closed' && running === 0) {
      phase = { kind: 'exited' }
      effects.push({ kind: 'drain.exit', code: 0 })
    }
    return effects
  }

  const handle = (input: DrainInput, now: number): readonly DrainEffect[] => {
    switch (input.kind) {
      case 'tick':
        extendByPause(now)
        return advance(now)
      case 'drain.start': return start(now)
      case 'drain.running':
        running = input.running
        return advance(now)
      default: return assertNever(input)
    }
  }

  return { handle, phase: () => phase, dump: () => ({ phase, running }) }
}
