/** Prometheus metrics of a gateway: counters of log events, a latency histogram and gauges of the current state. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { GatewayGauges, GatewayLogEvent } from '../gateway/gatewayTypes.js'
import type { ConnectionEnd } from '../ports/forwardPort.js'
import type { BodyRefusalReason } from '../requestBodies/requestBodies.js'

/** Histogram bucket bounds, in seconds. */
const answerTimeBuckets = [0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 15]
const msPerSecond = 1_000

/** Gauge values, read at each scrape. The property names are the values of the label `value`. */
export interface ProcessGauges extends GatewayGauges {
  /** Bytes that callers have not read of their responses. */
  readonly unreadBytes: number
  /** Bytes of the bodies of requests that are being read or in progress. */
  readonly bodyBytes: number
  /** Log lines that were dropped. */
  readonly droppedLines: number
}

/** The metrics of one gateway process, with their registry. */
export interface GatewayMetrics {
  readonly registry: Registry
  /** Updates the counters and the histogram for one log event. */
  readonly countEvent: (event: GatewayLogEvent) => void
  /** Counts a connection opened to a worker. */
  readonly connectionOpened: () => void
  /** Counts a connection of a caller that was closed. */
  readonly callerConnectionClosed: (reason: ConnectionEnd) => void
  /** Counts a failed call to the platform or a malformed record, by kind. */
  readonly platformError: (kind: string) => void
  /** Counts an unexpected error, by place. */
  readonly internalError: (place: string) => void
  /** Counts a response that was given up because its caller reads slowly, by how the caller was told. */
  readonly readerCut: (told: 'brokenOff' | 'error') => void
  /** Counts a request that was refused while its body was read, by reason. */
  readonly bodyRefused: (reason: BodyRefusalReason) => void
}

/**
 * Creates the metrics of a gateway in a registry of their own.
 *
 * @param gauges - returns the current gauge values; called at each scrape
 * @returns the metrics
 */
export const createGatewayMetrics = (gauges: () => ProcessGauges): GatewayMetrics => {
  const registry = new Registry()
  const registers = [registry]
  const sends = new Counter({ name: 'wasabireel_sends_total', help: 'Requests sent to workers by cause.', labelNames: ['cause'], registers })
  const failedSends = new Counter({ name: 'wasabireel_failed_sends_total', help: 'Sends without a usable answer by reason.', labelNames: ['reason'], registers })
  const refusals = new Counter({ name: 'wasabireel_refusals_total', help: 'Requests that got no worker\'s answer by reason and outcome.', labelNames: ['reason', 'outcome'], registers })
  const brokenAnswers = new Counter({ name: 'wasabireel_broken_answers_total', help: 'Answers broken off midway by reason.', labelNames: ['reason'], registers })
  const answerTimes = new Histogram({ name: 'wasabireel_answer_seconds', help: 'Time from arrival to the end of the answer by status.', labelNames: ['status'], buckets: answerTimeBuckets, registers })
  const callersLeft = new Counter({ name: 'wasabireel_callers_left_total', help: 'Callers that left before the end of the answer by reason.', labelNames: ['reason'], registers })
  const cutOffs = new Counter({ name: 'wasabireel_cut_off_total', help: 'Requests whose connection ended before they were delivered, or before their complete answer was sent, by stage and reason.', labelNames: ['stage', 'reason'], registers })
  const callerConnections = new Counter({ name: 'wasabireel_caller_connections_closed_total', help: 'Closed connections of callers by reason.', labelNames: ['reason'], registers })
  const stateChanges = new Counter({ name: 'wasabireel_changes_total', help: 'Changes of belief by kind.', labelNames: ['kind'], registers })
  const connections = new Counter({ name: 'wasabireel_worker_connections_total', help: 'Connections opened to workers.', registers })
  const platformErrors = new Counter({ name: 'wasabireel_platform_troubles_total', help: 'Failed calls and malformed records by kind.', labelNames: ['kind'], registers })
  const internalErrors = new Counter({ name: 'wasabireel_internal_errors_total', help: 'Unexpected errors by place.', labelNames: ['place'], registers })
  const readersCut = new Counter({ name: 'wasabireel_slow_readers_cut_total', help: 'Responses given up because their callers read slowly, by how these were told.', labelNames: ['told'], registers })
  const bodiesRefused = new Counter({ name: 'wasabireel_bodies_refused_total', help: 'Requests refused while their bodies were read, by reason.', labelNames: ['reason'], registers })
  const state = new Gauge({
    name: 'wasabireel_state',
    help: 'Present values: requests, waiting, proof age in ms, configuration, instances, workers, dropped log lines.',
    labelNames: ['value'],
    registers,
    collect () {
      for (const [value, amount] of Object.entries(gauges())) this.set({ value }, Number.isFinite(amount) ? amount : -1)
    }
  })
  state.reset()

  const countEvent = (event: GatewayLogEvent): void => {
    switch (event.kind) {
      case 'sent': return sends.inc({ cause: event.cause })
      case 'attemptFailed': return failedSends.inc({ reason: event.reason })
      case 'refused': return refusals.inc({ reason: event.reason, outcome: event.outcome })
      case 'brokenOff': return brokenAnswers.inc({ reason: event.reason })
      case 'answered': return answerTimes.observe({ status: String(event.status) }, event.after / msPerSecond)
      case 'callerLeft': return callersLeft.inc({ reason: event.reason })
      case 'cutOff': return cutOffs.inc({ stage: event.stage, reason: event.reason })
      default: stateChanges.inc({ kind: event.kind })
    }
  }

  return {
    registry,
    countEvent,
    connectionOpened: () => connections.inc(),
    callerConnectionClosed: reason => callerConnections.inc({ reason }),
    platformError: kind => platformErrors.inc({ kind }),
    internalError: place => internalErrors.inc({ place }),
    readerCut: told => readersCut.inc({ told }),
    bodyRefused: reason => bodiesRefused.inc({ reason })
  }
}
