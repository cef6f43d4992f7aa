/** The bounds that a gateway keeps, from its settings. */
import type { GatewaySettings } from '../settings/gatewaySettings.js'
import type { GatewayBounds } from './gatewayMachine.js'

const msPerSecond = 1_000
/** Part of the time to revoke keys within which an instance without a proof still serves them. */
const keyShare = 0.9
/** Part of the time to apply a configuration after which an absent key or path may be a new one. */
const absenceShare = 0.75

/**
 * Works out the bounds. Keys of a configuration that can't be proved are served
 * on where they need not end at instances that are cut off.
 *
 * @param settings - checked settings
 */
export const boundsOf = ({ configuration, retries, shutdown, addresses, weights }: GatewaySettings): GatewayBounds => ({
  forwarding: {
    weights: weights.apply_within,
    keys: configuration.strict_revoke ? configuration.revoke_within * keyShare : Infinity,
    absence: configuration.apply_within * absenceShare
  },
  retries: { fraction: retries.fraction, slack: retries.slack, window: retries.window * msPerSecond },
  addressLife: addresses.time_to_live,
  addressLifeFactor: addresses.kept_times,
  grace: shutdown.grace * msPerSecond,
  loadShare: weights.load_share
})
