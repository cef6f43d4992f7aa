/** Probes made on behalf of other instances. */

/** Who asked for a probe, and under which number. */
export interface RelayedProbe {
  readonly from: string
  readonly seq: number
}

/** The probes under way; their own numbers are negative. */
export interface Relays {
  /** Starts a probe; answers with its own number. */
  readonly start: (from: string, seq: number, now: number) => number
  /** Ends the probe that was answered. */
  readonly finish: (own: number) => RelayedProbe | undefined
  readonly expire: (now: number) => void
}

/** Time after which nobody waits for the answer, in ms. */
const relayTimeout = 1_000

/**
 * Creates the probes for others, of which none is under way.
 */
export const createRelays = (): Relays => {
  const probes = new Map<number, RelayedProbe & { readonly at: number }>()
  let next = -1

  const finish = (own: number): RelayedProbe | undefined => {
    const probe = probes.get(own)
    probes.delete(own)
    return probe
  }

  return {
    start: (from, seq, now) => {
      probes.set(next, { from, seq, at: now })
      return next--
    },
    finish,
    expire: now => probes.forEach(({ at }, own) => now - at > relayTimeout && probes.delete(own))
  }
}
