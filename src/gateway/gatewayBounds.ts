/** Derives the limits and timeouts of a gateway from its settings. */
import type { GatewaySettings } from '../settings/gatewaySettings.js'
import type { GatewayBounds } from './gatewayInterface.js'

const msPerSecond = 1_000
/** Fraction of `revoke_within` for which an instance without a newer proof of its configuration still accepts keys. */
const revocationShare = 0.9
/** Fraction of `apply_within` after which a key or path that is missing may belong to a newer configuration. */
const absenceShare = 0.75

/**
 * Computes the limits and timeouts of a gateway. Without `strict_revoke`, an
 * instance that is cut off accepts the keys of its last configuration without a
 * time limit.
 *
 * @param settings - validated settings
 * @returns the bounds; times in ms
 */
export const boundsOf = ({ configuration, retries, shutdown, addresses, weights }: GatewaySettings): GatewayBounds => ({
  forwarding: {
    weights: weights.apply_within,
    keys: configuration.strict_revoke ? configuration.revoke_within * revocationShare : Infinity,
    absence: configuration.apply_within * absenceShare
  },
  retries: { fraction: retries.fraction, slack: retries.slack, window: retries.window * msPerSecond },
  addressLife: addresses.time_to_live,
  addressLifeFactor: addresses.kept_times,
  grace: shutdown.grace * msPerSecond,
  loadShare: weights.load_share,
  reacquireAfter: weights.reacquire_after
})
