/**
 * Graceful shutdown of one instance: announce leaving, go on accepting while
 * callers may still hold an answer that names this instance, then close the
 * listener, finish what runs, and exit. No time limit cuts a running request.
 */
import { assertNever } from '../errors.js'
import type { Tick } from '../ports/peerPort.js'

/** What the drain reacts to. */
export type DrainInput =
  | Tick
  /** An operator or a signal asks this instance to leave. */
  | { readonly kind: 'drain.start' }
  /** How many requests are accepted and unfinished. */
  | { readonly kind: 'drain.running', readonly running: number }

/** What the drain asks of the process. */
export type DrainEffect =
  /** Announces leaving to peers and to the platform's list. */
  | { readonly kind: 'drain.announce' }
  | { readonly kind: 'drain.closeListener' }
  | { readonly kind: 'drain.exit', readonly code: 0 }

/** How far the drain is. */
export type DrainPhase =
  | { readonly kind: 'serving' }
  | { readonly kind: 'announced', readonly closeAt: number }
  | { readonly kind: 'closed' }
  | { readonly kind: 'exited' }

/** How long callers may still come, in ms. */
export interface DrainOptions {
  /** How long a caller keeps an answer. */
  readonly timeToLive: number
  /** How long another instance may go on naming this one. */
  readonly membershipLag: number
}

/** A gap between ticks above which the process was paused, in ms. */
const pauseGap = 1_000

/** The drain of one instance. */
export interface Drain {
  readonly handle: (input: DrainInput, now: number) => readonly DrainEffect[]
  readonly phase: () => DrainPhase
  readonly dump: () => { readonly phase: DrainPhase, readonly running: number }
}

/**
 * Creates the drain of an instance that serves.
 *
 * @param options - how long callers may still come
 */
export const createDrain = ({ timeToLive, membershipLag }: DrainOptions): Drain => {
  let phase: DrainPhase = { kind: 'serving' }
  let running = 0
  let lastTick: number | undefined

  /** Time spent paused does not count: the announcement may not have left before it. */
  const excuse = (now: number): void => {
    const gap = now - (lastTick ?? now)
    lastTick = now
    if (phase.kind !== 'announced' || gap <= pauseGap) return
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
        excuse(now)
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
