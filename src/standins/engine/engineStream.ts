/** Writes a job's events to a reader, at the reader's pace, with the faults of streams. */
import type { ServerResponse } from 'node:http'
import type { FaultQueue } from '../faults.js'
import type { Job } from './engineBatch.js'

/** A reader of a job's stream. */
export interface Reader {
  /** Writes what has been generated since the last call. */
  readonly flush: () => void
}

/** What goes wrong in one stream. */
interface StreamFaults {
  readonly crossed: boolean
  readonly duplicate: boolean
  readonly garbled: boolean
  /** Events after which the connection is cut. */
  readonly cutAfter: number
}

const takeFaults = (faults: FaultQueue): StreamFaults => ({
  crossed: faults.take('crossed') !== undefined,
  duplicate: faults.take('duplicate') !== undefined,
  garbled: faults.take('garbled') !== undefined,
  cutAfter: faults.take('cutAfter')?.events ?? Infinity
})

/**
 * Opens a stream.
 *
 * @param job - whose events are written
 * @param response - the reader's connection, head already written
 * @param from - position of the first event
 * @param queue - faults that may strike this stream
 * @returns the reader
 */
export const createReader = (job: Job, response: ServerResponse, from: number, queue: FaultQueue): Reader => {
  const faults = takeFaults(queue)
  let position = from

  const textOf = (index: number): string => {
    const data = faults.crossed ? job.events[index].replace(job.served.id, `${job.served.id}-crossed`) : job.events[index]
    const text = `id: ${index}\ndata: ${faults.garbled ? '{"garbled' : data}\n\n`
    return faults.duplicate ? text + text : text
  }

  const flush = (): void => {
    if (response.destroyed || response.writableEnded) return
    let text = ''
    const ready = Math.min(job.events.length, faults.cutAfter)
    while (position < ready && !response.writableNeedDrain) text += textOf(position++)
    if (text !== '') response.write(text)
    if (position >= faults.cutAfter) {
      response.socket?.destroySoon()
      return
    }
    if (job.state === 'over' && position >= job.events.length) {
      response.end(job.served.outcome === 'finished' ? 'data: [DONE]\n\n' : '')
    }
  }

  response.on('drain', flush)
  return { flush }
}
