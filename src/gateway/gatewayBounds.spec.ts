import type { GatewaySettings } from '../settings/gatewaySettings.js'
import { boundsOf } from './gatewayBounds.js'

const build = (strict: boolean): GatewaySettings => ({
  instance: { id: 'a', data_centre: 'a', host: '10.0.0.1', processors: 1, processor_speed: 1, log_level: 'info' },
  listen: { front: '10.0.0.1:1', ready: '10.0.0.1:2', directory: '10.0.0.1:3', peer_port: 4, descriptors: 0, metrics_port: 5 },
  platform: { store: '10.0.0.2:1' },
  configuration: { apply_within: 2_000, revoke_within: 5_000, strict_revoke: strict },
  retries: { fraction: 0.2, slack: 50, window: 10 },
  shutdown: { grace: 8 },
  addresses: { time_to_live: 800, kept_times: 3 },
  memory: { limit: 0, bodies: 0, unread: 0 },
  weights: { apply_within: 8_000, load_share: 0.286, reacquire_after: 3_000 }
})

describe('the bounds of a gateway', () => {
  it('make an instance that is cut off reject keys before `revoke_within` has passed', () => {
    expect(boundsOf(build(true)).forwarding.keys).toBeLessThan(5_000)
  })

  it('set no time limit for keys without `strict_revoke`', () => {
    expect(boundsOf(build(false)).forwarding.keys).toBe(Infinity)
  })

  it('convert times to milliseconds', () => {
    expect(boundsOf(build(true))).toMatchObject({ grace: 8_000, retries: { fraction: 0.2, slack: 50, window: 10_000 } })
  })
})
