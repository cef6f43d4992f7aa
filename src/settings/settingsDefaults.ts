/** Default values of the entry instance's settings. */

/** Defaults by section and key, in the units of `settingsSchema.ts`. Required keys have none. */
export const settingsDefaults = {
  instance: { size: 1, incarnation: '', log_level: 'info' },
  caller: { host: '127.0.0.1', port: 0, body_limit: 4_194_304, header_limit: 16_384, receive_timeout: 15_000, write_buffer: 262_144 },
  operator: { host: '127.0.0.1', port: 0 },
  peer: { host: '127.0.0.1', port: 0, seeds: '', frame_limit: 4_194_304 },
  platform: { log_url: '', membership_url: '', log_timeout: 2_000, log_retention: 86_400_000, list_interval: 2_000, list_lag: 5_000 },
  routing: { objective: 0.5, block_bytes: 512, expected_tokens: 128, default_deadline: 10_000 },
  cache: { followed: 32, depth: 'all' },
  limits: { retry_share: 0.1, in_flight: 4_096 },
  claims: { answer_bytes: 8_388_608 },
  addresses: { per_workspace: 3, time_to_live: 5_000 },
  streams: { resume_grace: 2_000, resume_window: 60_000, stall_timeout: 3_000, resume_keys: '' },
  orders: { loads_at_once: 2 },
  tls: { ca: '', cert: '', key: '' },
  endpoint: { fenced: false, slots: 16, models: '' }
} as const
