/** The partitions that an instance holds. A partition is created on first use and dropped when idle. */
import { createPartition, emptyStep } from './claimsPartition.js'
import type { Partition, PartitionDump, PartitionStep } from './claimsPartition.js'
import type { Claim, Close } from './claimsMessages.js'
import { partitionOf, streamOf } from './claimsPlacement.js'
import type { Hash } from '../hash.js'
import type { LogInput } from '../ports/logPort.js'

/** Routes claims, close records and log results to the partitions of an instance. */
export interface Holder {
  readonly claim: (claim: Claim, from: string, now: number) => PartitionStep
  readonly close: (close: Close, from: string, now: number) => PartitionStep
  readonly log: (input: LogInput, now: number) => PartitionStep
  readonly tick: (now: number) => PartitionStep
  /** Whether no partition has pending work. */
  readonly isDrained: () => boolean
  readonly dump: () => readonly PartitionDump[]
}

/** Settings of the partitions, see `PartitionOptions`. */
export interface HolderOptions {
  readonly hash: Hash
  readonly window: number
  readonly skew: number
  readonly retention: number
}

/**
 * Creates a holder without partitions. A partition is created by its first claim or close record.
 *
 * @param options - hash and time bounds
 * @returns the holder
 */
export const createHolder = ({ hash, ...bounds }: HolderOptions): Holder => {
  const partitions = new Map<string, Partition>()
  let tokenCount = 0
  const nextToken = (): number => tokenCount++

  const partitionFor = (entry: Claim | Close): Partition => {
    const stream = streamOf(partitionOf(hash, entry))
    const partition = partitions.get(stream) ?? createPartition({ ...bounds, stream, nextToken })
    partitions.set(stream, partition)
    return partition
  }

  const tick = (now: number): PartitionStep => {
    const steps: PartitionStep[] = []
    for (const [stream, partition] of partitions) {
      const step = partition.tick(now)
      if (step !== emptyStep) steps.push(step)
      if (partition.isIdle(now)) partitions.delete(stream)
    }
    if (steps.length === 0) return emptyStep
    return { effects: steps.flatMap(step => step.effects), replies: steps.flatMap(step => step.replies) }
  }

  return {
    claim: (claim, from, now) => partitionFor(claim).claim(claim, from, now),
    close: (close, from, now) => partitionFor(close).close(close, from, now),
    log: (input, now) => partitions.get(input.stream)?.log(input, now) ?? emptyStep,
    tick,
    isDrained: () => [...partitions.values()].every(partition => partition.isDrained()),
    dump: () => [...partitions.values()].map(partition => partition.dump())
  }
}
