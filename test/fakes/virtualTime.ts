/** A queue of timed events with a clock that advances only when the queue is run. */

/** A virtual clock; all times and delays are in ms. */
export interface VirtualTime {
  readonly now: () => number
  /** Schedules an action at a time; a time in the past counts as now. */
  readonly at: (time: number, action: () => void) => void
  /** Schedules an action after a delay. */
  readonly after: (delay: number, action: () => void) => void
  /** Runs all events up to `time`, in order of time and then of scheduling, and sets the clock to it. */
  readonly runUntil: (time: number) => void
}

interface Timed {
  readonly time: number
  readonly order: number
  readonly action: () => void
}

const isEarlier = (left: Timed, right: Timed): boolean =>
  left.time < right.time || (left.time === right.time && left.order < right.order)

const push = (heap: Timed[], item: Timed): void => {
  let index = heap.push(item) - 1
  while (index > 0) {
    const parent = (index - 1) >> 1
    if (!isEarlier(item, heap[parent])) break
    heap[index] = heap[parent]
    index = parent
  }
  heap[index] = item
}

const pop = (heap: Timed[]): Timed | undefined => {
  const top = heap[0]
  const last = heap.pop()
  if (last === undefined || heap.length === 0) return top
  let index = 0
  for (;;) {
    let child = 2 * index + 1
    if (child >= heap.length) break
    if (child + 1 < heap.length && isEarlier(heap[child + 1], heap[child])) child++
    if (!isEarlier(heap[child], last)) break
    heap[index] = heap[child]
    index = child
  }
  heap[index] = last
  return top
}

/**
 * Creates a clock.
 *
 * @param start - initial time, in ms
 * @returns a clock with an empty queue
 */
export const createVirtualTime = (start = 0): VirtualTime => {
  let current = start
  let order = 0
  const heap: Timed[] = []
  const at = (time: number, action: () => void): void => push(heap, { time: Math.max(time, current), order: order++, action })

  const runUntil = (time: number): void => {
    while (heap.length > 0 && heap[0].time <= time) {
      const next = pop(heap)
      if (next === undefined) break
      current = next.time
      next.action()
    }
    current = Math.max(current, time)
  }

  return { now: () => current, at, after: (delay, action) => at(current + delay, action), runUntil }
}
