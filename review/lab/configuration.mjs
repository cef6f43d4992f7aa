/** A configuration of a small deployment, as the operator writes it. */

const host = 'review.example'

/**
 * Builds a configuration.
 *
 * @param version - its version
 * @param keys - API keys of each tenant
 * @param isolated - names of the tenants that share no part with any other
 */
export const configuration = (version, keys = { 'tenant-a': ['key-a'], 'tenant-b': ['key-b'] }, isolated = []) => ({
  version,
  routes: [
    { name: 'r-draft', host, pathPrefix: '/draft/', kind: 'streaming', timeoutMs: 15_000, sloMs: 300, priority: 0, service: 'writer', maxAttempts: 2, public: false, sticky: true, resumable: true, gapTargetMs: 200 },
    { name: 'r-book', host, pathPrefix: '/book/', kind: 'non_idempotent', timeoutMs: 1000, sloMs: 193, priority: 2, service: 'desk', maxAttempts: 1, public: false },
    { name: 'r-read', host, pathPrefix: '/read/', kind: 'idempotent', timeoutMs: 1000, sloMs: 193, priority: 2, service: 'desk', maxAttempts: 2, public: false }
  ],
  services: [
    { name: 'writer', healthPath: '/healthz', maxConns: 360, protocol: 'h1', tls: false, engine: { slots: 64, kvCapacity: 111_602, kvTokenBytes: 163_840, linkMbps: 130_000, moves: true, backups: true, stride: 4, maxInflight: 12, pinMs: 4000, holdMs: 2000, handle_s: 5, models: [{ name: 'm0' }] } },
    { name: 'desk', healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false }
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: Object.entries(keys).map(([name, apiKeys]) => ({ name, apiKeys, priority: 1, isolated: isolated.includes(name) }))
})

export const callHost = host
