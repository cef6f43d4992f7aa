/** Collects the inputs that an adapter emits and lets a test wait for them. */

/** Inputs in order of arrival. */
export interface InputCollector<Input> {
  readonly inputs: readonly Input[]
  /** Records an input; passed to the adapter as its listener. */
  readonly emit: (input: Input) => void
  /** Resolves with the first input, past ones included, that satisfies `matches`. */
  readonly next: <Match extends Input>(matches: (input: Input) => input is Match) => Promise<Match>
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

  const next = async <Match extends Input>(matches: (input: Input) => input is Match): Promise<Match> => {
    await until(() => inputs.some(matches))
    return inputs.find(matches) as Match
  }

  return { inputs, emit, next, until }
}
