/**
 * Prometheus metrics of one instance. The number of series per workspace is
 * bounded: workspaces beyond the limit share the label value `other`.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Number of workspaces with their own label value; later ones are counted as `other`. */
const maxWorkspaceLabels = 64

/** Bucket bounds in seconds. The users' target of 1.7 s is one of them, so that its attainment can be read exactly. */
const firstTokenBuckets = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.7, 2.5, 5, 10]

/** Bucket bounds in seconds. The users' target of 42 ms is one of them, so that its attainment can be read exactly. */
const tokenGapBuckets = [0.005, 0.01, 0.02, 0.03, 0.042, 0.06, 0.1, 0.25, 1]

/** The metrics that the core of an instance updates, with their registry. */
export interface Metrics {
  readonly registry: Registry
  /** Returns the label value of a workspace: its name, or `other` once the limit of label values is reached. */
  readonly workspaceLabel: (workspace: string) => string
  readonly requests: Counter<'workspace' | 'outcome' | 'error'>
  readonly firstToken: Histogram<'workspace'>
  readonly tokenGap: Histogram
  readonly promptTokens: Counter<'workspace'>
  readonly cachedTokens: Counter<'workspace'>
  readonly recomputedTokens: Counter<'workspace'>
  readonly generatedTokens: Counter<'workspace'>
  readonly attempts: Counter<'cause'>
  readonly streamFaults: Counter<'fault'>
  readonly peerBytes: Counter<'direction'>
  readonly garbledFrames: Counter<'problem'>
  readonly logFailures: Counter<'stream'>
  readonly internalErrors: Counter<'place'>
  readonly inFlight: Gauge
  readonly configVersion: Gauge
}

/**
 * Creates the metrics of an instance.
 *
 * @param options - `processMetrics` adds the default metrics of the Node.js process
 * @returns the metrics, in a registry of their own
 */
export const createMetrics = (options: { readonly processMetrics: boolean }): Metrics => {
  const registry = new Registry()
  const registers = [registry]
  if (options.processMetrics) collectDefaultMetrics({ register: registry })
  const knownWorkspaces = new Set<string>()

  const workspaceLabel = (workspace: string): string => {
    if (knownWorkspaces.has(workspace)) return workspace
    if (knownWorkspaces.size >= maxWorkspaceLabels) return 'other'
    knownWorkspaces.add(workspace)
    return workspace
  }

  return {
    registry,
    workspaceLabel,
    requests: new Counter({ name: 'wasabireel_requests_total', help: 'Answers to callers by outcome and error.', labelNames: ['workspace', 'outcome', 'error'], registers }),
    firstToken: new Histogram({ name: 'wasabireel_first_token_seconds', help: 'Time from arrival to the first token.', labelNames: ['workspace'], buckets: firstTokenBuckets, registers }),
    tokenGap: new Histogram({ name: 'wasabireel_token_gap_seconds', help: 'Time between tokens of a stream.', buckets: tokenGapBuckets, registers }),
    promptTokens: new Counter({ name: 'wasabireel_prompt_tokens_total', help: 'Prompt tokens of answered requests.', labelNames: ['workspace'], registers }),
    cachedTokens: new Counter({ name: 'wasabireel_cached_tokens_total', help: 'Prompt tokens that an engine had cached.', labelNames: ['workspace'], registers }),
    recomputedTokens: new Counter({ name: 'wasabireel_recomputed_tokens_total', help: 'Prompt tokens that some engine held and another computed again.', labelNames: ['workspace'], registers }),
    generatedTokens: new Counter({ name: 'wasabireel_generated_tokens_total', help: 'Tokens relayed to callers.', labelNames: ['workspace'], registers }),
    attempts: new Counter({ name: 'wasabireel_attempts_total', help: 'Dispatches to endpoints by cause.', labelNames: ['cause'], registers }),
    streamFaults: new Counter({ name: 'wasabireel_stream_faults_total', help: 'Faults seen in engine streams.', labelNames: ['fault'], registers }),
    peerBytes: new Counter({ name: 'wasabireel_peer_bytes_total', help: 'Bytes exchanged with other instances.', labelNames: ['direction'], registers }),
    garbledFrames: new Counter({ name: 'wasabireel_garbled_frames_total', help: 'Frames of other instances that could not be read.', labelNames: ['problem'], registers }),
    logFailures: new Counter({ name: 'wasabireel_log_failures_total', help: 'Operations on the log without an answer.', labelNames: ['stream'], registers }),
    internalErrors: new Counter({ name: 'wasabireel_internal_errors_total', help: 'Unexpected errors by place.', labelNames: ['place'], registers }),
    inFlight: new Gauge({ name: 'wasabireel_requests_in_flight', help: 'Requests that this instance holds.', registers }),
    configVersion: new Gauge({ name: 'wasabireel_config_version', help: 'Configuration version in force.', registers })
  }
}
