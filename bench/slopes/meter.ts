/** Processor time and heap of this process. */
import { encodeFrame } from '../../src/adapters/peerFrames.js'
import { messageOverhead } from '../../test/fakes/fakeNetwork.js'

/** Microseconds of processor time that an action took. */
export const processorTime = (action: () => void): number => {
  const before = process.cpuUsage()
  action()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/** Bytes of live heap and buffers, after a collection. */
export const liveBytes = (): number => {
  (globalThis as { gc?: () => void }).gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Bytes of one message between instances on the wire, headers and acknowledgement included. */
export const wireBytes = (message: unknown): number => encodeFrame(message).length + messageOverhead

/** Counts messages and bytes by feature while it is on. */
export interface Counter {
  readonly note: (message: { readonly kind: string }) => void
  readonly start: () => void
  readonly stop: () => ReadonlyMap<string, { readonly messages: number, readonly bytes: number }>
}

/** Creates a counter that is off. */
export const createCounter = (): Counter => {
  let on = false
  let counts = new Map<string, { messages: number, bytes: number }>()
  const note: Counter['note'] = message => {
    if (!on) return
    const feature = message.kind.split('.')[0]
    const count = counts.get(feature) ?? { messages: 0, bytes: 0 }
    counts.set(feature, count)
    count.messages++
    count.bytes += wireBytes(message)
  }
  const start = (): void => {
    counts = new Map()
    on = true
  }
  const stop: Counter['stop'] = () => {
    on = false
    return counts
  }
  return { note, start, stop }
}
