/** Collects the inputs that an adapter emits and lets a test wait for them. */

/** Inputs in order of arrival. */
export interface InputCollector<Input> {
  readonly inputs: readonly Input[]
  readonly emit: (input: Input) => void
  /** Resolves with the first input, earlier ones included, for which `wanted` holds. */
  readonly next: <Wanted extends Input>(wanted: (input: Input) => input is Wanted) => Promise<Wanted>
  /** Resolves as soon as `holds` is true after some input. */
  readonly until: (holds: () => boolean) => Promise<void>
}

/**
 * Creates an empty collector.
 *
 * @returns the collector
 */
export const createInputCollector = <Input>(): InputCollector<Input> => {
  const inputs: Input[] = []
  let watchers: Array<() => boolean> = []

  const emit = (input: Input): void => {
    inputs.push(input)
    watchers = watchers.filter(watch => !watch())
  }

  const until = (holds: () => boolean): Promise<void> => new Promise(resolve => {
    const watch = (): boolean => {
      if (!holds()) return false
      resolve()
      return true
    }
    if (!watch()) watchers.push(watch)
  })

  const next = async <Wanted extends Input>(wanted: (input: Input) => input is Wanted): Promise<Wanted> => {
    await until(() => inputs.some(wanted))
    return inputs.find(wanted) as Wanted
  }

  return { inputs, emit, next, until }
}
