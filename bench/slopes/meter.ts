/** Measures processor time and heap of this process, and counts messages. */
import { encodeFrame } from '../../src/adapters/peerFrames.js'
import { messageOverhead } from '../../test/fakes/fakeNetwork.js'

/** Runs an action and returns the processor time (user and system) that this process used meanwhile, in microseconds. */
export const processorTime = (action: () => void): number => {
  const before = process.cpuUsage()
  action()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/** Returns the bytes of live heap and array buffers after a garbage collection. Without `--expose-gc` there is no collection. */
export const liveBytes = (): number => {
  (globalThis as { gc?: () => void }).gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Returns the bytes of a message between instances on the wire, including TCP and IP headers and the acknowledgement. */
export const wireBytes = (message: unknown): number => encodeFrame(message).length + messageOverhead

/** Counts messages and their bytes by feature, between `start` and `stop`. The feature is the part of the message's kind before the dot. */
export interface MessageCounter {
  readonly record: (message: { readonly kind: string }) => void
  /** Resets the counts and starts counting. */
  readonly start: () => void
  /** Stops counting and returns the counts by feature. */
  readonly stop: () => ReadonlyMap<string, { readonly messages: number, readonly bytes: number }>
}

/** Creates a counter that does not count until `start`. */
export const createMessageCounter = (): MessageCounter => {
  let counting = false
  let counts = new Map<string, { messages: number, bytes: number }>()
  const record: MessageCounter['record'] = message => {
    if (!counting) return
    const feature = message.kind.split('.')[0]
    const count = counts.get(feature) ?? { messages: 0, bytes: 0 }
    counts.set(feature, count)
    count.messages++
    count.bytes += wireBytes(message)
  }
  const start = (): void => {
    counts = new Map()
    counting = true
  }
  const stop: MessageCounter['stop'] = () => {
    counting = false
    return counts
  }
  return { record, start, stop }
}
