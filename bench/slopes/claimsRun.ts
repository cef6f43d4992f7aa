/** Runs the claims benchmark, `bench/claims.ts`, in a child process and parses its output. */
import { execFileSync } from 'node:child_process'

/** The cost of claims at one fleet size and call rate. */
export interface ClaimsCost {
  /** Number of instances. */
  readonly nodes: number
  /** Non-idempotent calls per second in the whole fleet. */
  readonly calls: number
  /** Appends to the log per second by the whole fleet. */
  readonly appends: number
  /** Reads of the log per second by the whole fleet. */
  readonly reads: number
  readonly messagesPerCall: number
  /** Mean over the instances of bytes per second exchanged with peers and the log, both ways. */
  readonly meanBytes: number
  /** The same for the busiest instance. */
  readonly busiestBytes: number
  /** Processor time of the whole fleet for one call, in microseconds. */
  readonly processorPerCall: number
  /** Processor time of one tick of one instance, in microseconds. */
  readonly processorPerTick: number
  /** Growth of the live heap of fleet and log together over the measured ten seconds, in bytes. */
  readonly heapGrowth: number
}

const measuredTime = 10 // seconds of virtual time

/**
 * Measures the cost of claims; a figure that is missing from the benchmark's output is NaN.
 *
 * @param nodes - number of instances
 * @param rate - non-idempotent calls per second in the whole fleet
 * @returns the cost
 */
export const measureClaims = (nodes: number, rate: number): ClaimsCost => {
  const text = execFileSync('node_modules/.bin/tsx', ['bench/claims.ts', '--nodes', String(nodes), '--rate', String(rate), '--seconds', String(measuredTime)], { encoding: 'utf8' })
  const figure = (pattern: RegExp): number => Number(pattern.exec(text)?.[1] ?? NaN)
  return {
    nodes,
    calls: figure(/calls\/s ([\d.]+)/),
    appends: figure(/log: ([\d.]+) appends/),
    reads: figure(/([\d.]+) reads\/s/),
    messagesPerCall: figure(/peers: ([\d.]+) messages/),
    meanBytes: 1_000 * figure(/mean ([\d.]+) KB/),
    busiestBytes: 1_000 * figure(/busiest ([\d.]+)/),
    processorPerCall: figure(/processor: (\d+) us per call/),
    processorPerTick: figure(/([\d.]+) us per tick/),
    heapGrowth: 1e6 * figure(/grown by ([\d.]+) MB/)
  }
}
