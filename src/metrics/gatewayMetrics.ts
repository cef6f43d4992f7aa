/** Counters and latency histograms of a gateway. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { GatewayLogEvent } from '../gateway/gatewayTypes.js'

/** Seconds. */
const answerBuckets = [0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 15]
const msPerSecond = 1_000

/** Values read when metrics are asked for. */
export interface GatewayGauges {
  readonly requests: number
  readonly waiting: number
  /** In ms. */
  readonly proofAge: number
  readonly configuration: number
  readonly instances: number
  readonly workers: number
  readonly droppedLines: number
}

/** The metrics of one process. */
export interface GatewayMetrics {
  readonly registry: Registry
  /** Counts what a note says. */
  readonly countEvent: (note: GatewayLogEvent) => void
  readonly connectionOpened: () => void
  readonly platformError: (kind: string) => void
}

/**
 * Creates the metrics.
 *
 * @param gauges - reads the present values
 */
export const createGatewayMetrics = (gauges: () => GatewayGauges): GatewayMetrics => {
  const registry = new Registry()
  const registers = [registry]
  const sent = new Counter({ name: 'wasabireel_sends_total', help: 'Requests sent to workers by cause.', labelNames: ['cause'], registers })
  const failed = new Counter({ name: 'wasabireel_failed_sends_total', help: 'Sends without a usable answer by reason.', labelNames: ['reason'], registers })
  const refused = new Counter({ name: 'wasabireel_refusals_total', help: 'Requests that got no worker\'s answer by reason and outcome.', labelNames: ['reason', 'outcome'], registers })
  const broken = new Counter({ name: 'wasabireel_broken_answers_total', help: 'Answers broken off midway by reason.', labelNames: ['reason'], registers })
  const answered = new Histogram({ name: 'wasabireel_answer_seconds', help: 'Time from arrival to the end of the answer by status.', labelNames: ['status'], buckets: answerBuckets, registers })
  const left = new Counter({ name: 'wasabireel_callers_left_total', help: 'Callers that left before the end of the answer.', registers })
  const changes = new Counter({ name: 'wasabireel_changes_total', help: 'Changes of belief by kind.', labelNames: ['kind'], registers })
  const connections = new Counter({ name: 'wasabireel_worker_connections_total', help: 'Connections opened to workers.', registers })
  const troubles = new Counter({ name: 'wasabireel_platform_troubles_total', help: 'Failed calls and malformed records by kind.', labelNames: ['kind'], registers })
  const present = new Gauge({
    name: 'wasabireel_state',
    help: 'Present values: requests, waiting, proof age in ms, configuration, instances, workers, dropped log lines.',
    labelNames: ['value'],
    registers,
    collect () {
      for (const [value, amount] of Object.entries(gauges())) this.set({ value }, Number.isFinite(amount) ? amount : -1)
    }
  })
  present.reset()

  const count = (note: GatewayLogEvent): void => {
    switch (note.kind) {
      case 'sent': return sent.inc({ cause: note.cause })
      case 'attemptFailed': return failed.inc({ reason: note.reason })
      case 'refused': return refused.inc({ reason: note.reason, outcome: note.outcome })
      case 'brokenOff': return broken.inc({ reason: note.reason })
      case 'answered': return answered.observe({ status: String(note.status) }, note.after / msPerSecond)
      case 'callerLeft': return left.inc()
      default: changes.inc({ kind: note.kind })
    }
  }

  return {
    registry,
    countEvent: count,
    connectionOpened: () => connections.inc(),
    platformError: kind => troubles.inc({ kind })
  }
}
