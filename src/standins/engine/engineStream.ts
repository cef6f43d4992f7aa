/** Writes a job's events to a reader's connection with backpressure, and applies stream faults. */
import type { ServerResponse } from 'node:http'
import type { FaultQueue } from '../faults.js'
import type { Job } from './engineBatch.js'

/** A reader that is connected to a job's stream. */
export interface StreamReader {
  /** Writes the events that were generated since the last call, as far as backpressure permits. */
  readonly flush: () => void
}

/** The faults that apply to one stream. */
interface StreamFaults {
  readonly crossed: boolean
  readonly duplicate: boolean
  readonly garbled: boolean
  /** Position of the event before which the connection is closed; Infinity for none. */
  readonly cutAfter: number
}

const takeFaults = (faults: FaultQueue): StreamFaults => ({
  crossed: faults.take('crossed') !== undefined,
  duplicate: faults.take('duplicate') !== undefined,
  garbled: faults.take('garbled') !== undefined,
  cutAfter: faults.take('cutAfter')?.events ?? Infinity
})

/**
 * Creates a reader of a job's stream. It consumes one use of each queued stream fault.
 *
 * @param job - the job whose events are written
 * @param response - the reader's response, whose head has been written
 * @param from - position of the first event to write
 * @param faultQueue - the faults to apply
 * @returns the reader
 */
export const createStreamReader = (job: Job, response: ServerResponse, from: number, faultQueue: FaultQueue): StreamReader => {
  const faults = takeFaults(faultQueue)
  let position = from

  const formatEvent = (index: number): string => {
    const data = faults.crossed ? job.events[index].replace(job.served.id, `${job.served.id}-crossed`) : job.events[index]
    const text = `id: ${index}\ndata: ${faults.garbled ? '{"garbled' : data}\n\n`
    return faults.duplicate ? text + text : text
  }

  const flush = (): void => {
    if (response.destroyed || response.writableEnded) return
    let text = ''
    const ready = Math.min(job.events.length, faults.cutAfter)
    while (position < ready && !response.writableNeedDrain) text += formatEvent(position++)
    if (text !== '') response.write(text)
    if (position >= faults.cutAfter) {
      response.socket?.destroySoon()
      return
    }
    if (job.state === 'ended' && position >= job.events.length) {
      response.end(job.served.outcome === 'finished' ? 'data: [DONE]\n\n' : '')
    }
  }

  response.on('drain', flush)
  return { flush }
}
