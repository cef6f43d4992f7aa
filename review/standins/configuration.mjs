/** Configurations of a small deployment, as the operator writes them. */

/** Host of all routes. */
export const hostName = 'desk.example'

const route = fields => ({ host: hostName, priority: 2, maxAttempts: 2, public: false, sticky: false, resumable: false, ...fields })

/** Idempotent route to the plain service. */
export const readRoute = route({ name: 'r-read', pathPrefix: '/read/', kind: 'idempotent', timeoutMs: 1_000, sloMs: 150, service: 'branch-desk' })

/** Resumable streams of the model service. */
export const draftRoute = route({ name: 'r-draft', pathPrefix: '/draft/', kind: 'streaming', timeoutMs: 15_000, sloMs: 300, priority: 0, service: 'copywriter-llm', sticky: true, resumable: true, gapTargetMs: 200 })

const services = [
  { name: 'branch-desk', healthPath: '/healthz', maxConns: 96, protocol: 'h1', tls: false },
  { name: 'copywriter-llm', healthPath: '/healthz', maxConns: 360, protocol: 'h1', tls: false, engine: { slots: 64, kvCapacity: 111_602, kvTokenBytes: 163_840, linkMbps: 130_000, models: [{ name: 'm0' }] } }
]

/**
 * Builds a configuration.
 *
 * @param version - its version
 * @param keys - keys of the only tenant
 */
export const configuration = (version, keys) => ({
  version,
  routes: [readRoute, draftRoute],
  services,
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'office', apiKeys: keys, priority: 1, isolated: false }]
})
