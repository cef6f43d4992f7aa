/** Runs `bench/claims.ts` in a process of its own and reads its figures. */
import { execFileSync } from 'node:child_process'

/** What claims cost the fleet. */
export interface ClaimsCost {
  readonly nodes: number
  readonly calls: number
  readonly appends: number
  readonly reads: number
  readonly messagesPerCall: number
  /** Bytes a second of a node between peers and with the log, both ways: mean and busiest. */
  readonly meanBytes: number
  readonly mostBytes: number
  /** Microseconds of the whole fleet for one call. */
  readonly processorPerCall: number
  readonly processorPerTick: number
  /** Bytes of heap of fleet and log together that ten seconds left behind. */
  readonly heapGrowth: number
}

const seconds = 10

/**
 * Measures at a size and rate.
 *
 * @param nodes - instances
 * @param rate - calls that may not be repeated, in a second
 */
export const measureClaims = (nodes: number, rate: number): ClaimsCost => {
  const text = execFileSync('node_modules/.bin/tsx', ['bench/claims.ts', '--nodes', String(nodes), '--rate', String(rate), '--seconds', String(seconds)], { encoding: 'utf8' })
  const read = (pattern: RegExp): number => Number(pattern.exec(text)?.[1] ?? NaN)
  return {
    nodes,
    calls: read(/calls\/s ([\d.]+)/),
    appends: read(/log: ([\d.]+) appends/),
    reads: read(/([\d.]+) reads\/s/),
    messagesPerCall: read(/peers: ([\d.]+) messages/),
    meanBytes: 1_000 * read(/mean ([\d.]+) KB/),
    mostBytes: 1_000 * read(/busiest ([\d.]+)/),
    processorPerCall: read(/processor: (\d+) us per call/),
    processorPerTick: read(/([\d.]+) us per tick/),
    heapGrowth: 1e6 * read(/grown by ([\d.]+) MB/)
  }
}
