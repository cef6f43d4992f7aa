/** Collects the inputs that an adapter emits and lets a test wait for them. */

/** Inputs in order of arrival. */
export interface InputCollector<Input> {
  readonly inputs: readonly Input[]
  /** Records an input; passed to the adapter as its listener. */
  readonly emit: (input: Input) => void
  /** Resolves with the first input, past ones included, that satisfies `wanted`. */
  readonly next: <Wanted extends Input>(wanted: (input: Input) => input is Wanted) => Promise<Wanted>
  /** Resolves once `condition` is true; checks it at once and after each input. */
  readonly until: (condition: () => boolean) => Promise<void>
}

/**
 * Creates an empty collector.
 */
export const createInputCollector = <Input>(): InputCollector<Input> => {
  const inputs: Input[] = []
  let watchers: Array<() => boolean> = []

  const emit = (input: Input): void => {
    inputs.push(input)
    watchers = watchers.filter(watch => !watch())
  }

  const until = (condition: () => boolean): Promise<void> => new Promise(resolve => {
    const watch = (): boolean => {
      if (!condition()) return false
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
