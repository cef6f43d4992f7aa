/**
 * Bounds the memory for answers that are held until they are complete: bodies that
 * are not streamed, and the incomplete last event of each stream. A worker, or an
 * instance to which a request was passed on, that sends bytes without end thus costs
 * only its own request.
 */
import type { Attempt } from './forwardingTypes.js'

/** What is held of the answer to an attempt or a relayed request. */
export type HeldAnswer = Pick<Attempt, 'id' | 'body' | 'splitter'>

/** Bytes held for the attempts and relayed requests of one instance. */
export interface HeldAnswers {
  /** Notes what is held of an answer; returns the id of an attempt or relayed request that has to be given up, or undefined if none has. */
  readonly note: (answer: HeldAnswer) => number | undefined
  /** Forgets an attempt or a relayed request that has ended. */
  readonly release: (attempt: number) => void
}

/** Maximum size of an answer that is not streamed, in bytes. */
const maxAnswerBytes = 8_388_608
/** Maximum size of an event, in bytes. */
const maxEventBytes = 1_048_576
/** Maximum of all bytes held at the same time. */
const maxTotalBytes = 16_777_216

/** Creates the record of an instance that holds nothing yet. */
export const createHeldAnswers = (): HeldAnswers => {
  const sizes = new Map<number, number>()
  let total = 0

  const release = (attempt: number): void => {
    total -= sizes.get(attempt) ?? 0
    sizes.delete(attempt)
  }

  const largest = (): number | undefined => {
    let found: number | undefined
    for (const [attempt, size] of sizes) {
      if (found === undefined || size > (sizes.get(found) ?? 0)) found = attempt
    }
    return found
  }

  const note = ({ id, body, splitter }: HeldAnswer): number | undefined => {
    release(id)
    const size = body.size() + splitter.heldBytes()
    if (size === 0) return undefined
    sizes.set(id, size)
    total += size
    if (body.size() > maxAnswerBytes || splitter.heldBytes() > maxEventBytes) return id
    return total > maxTotalBytes ? largest() : undefined
  }

  return { note, release }
}
