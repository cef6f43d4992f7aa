/** Indirect probes: probes that this instance makes on behalf of other instances. */

/** The instance that requested an indirect probe, and the sequence number of its own probe. */
export interface RelayedProbe {
  readonly from: string
  readonly seq: number
}

/** The outstanding indirect probes. Their sequence numbers are negative, so that they differ from those of the prober. */
export interface Relays {
  /** Records a probe, started at `now` in ms; returns the sequence number to send it under. */
  readonly start: (from: string, seq: number, now: number) => number
  /** Ends the probe that was answered; returns undefined if it is not outstanding. */
  readonly finish: (ownSeq: number) => RelayedProbe | undefined
  /** Drops the probes that started more than `relayTimeout` before `now`, in ms. */
  readonly expire: (now: number) => void
}

/** Time after which the requester no longer waits for the answer, in ms. */
const relayTimeout = 1_000

/**
 * Creates the record of indirect probes.
 *
 * @returns the record, without outstanding probes
 */
export const createRelays = (): Relays => {
  const probes = new Map<number, RelayedProbe & { readonly at: number }>()
  let nextSeq = -1

  const finish = (ownSeq: number): RelayedProbe | undefined => {
    const probe = probes.get(ownSeq)
    probes.delete(ownSeq)
    return probe
  }

  return {
    start: (from, seq, now) => {
      probes.set(nextSeq, { from, seq, at: now })
      return nextSeq--
    },
    finish,
    expire: now => probes.forEach(({ at }, ownSeq) => now - at > relayTimeout && probes.delete(ownSeq))
  }
}
