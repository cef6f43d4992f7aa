/**
 * The registry of features. Each feature has a name and says which inputs it
 * takes; the node hands it those and gathers what it asks for.
 */
import type { FeatureName } from '../ports/features.js'

/** Anything with a kind. */
export interface HasKind {
  readonly kind: string
}

/** A feature as the registry holds it. */
export interface Feature<Input extends HasKind, Effect extends HasKind> {
  readonly name: FeatureName
  readonly accepts: (input: Input) => boolean
  readonly handle: (input: Input, now: number) => readonly Effect[]
  /** Plain JSON for the state dump, without secrets and bodies. */
  readonly dump: () => unknown
}

/** The features of one node, in order of registration. */
export interface Registry<Input extends HasKind, Effect extends HasKind> {
  readonly register: (feature: Feature<Input, Effect>) => void
  readonly get: (name: FeatureName) => Feature<Input, Effect> | undefined
  /** Hands an input to every feature that takes it. */
  readonly handle: (input: Input, now: number) => readonly Effect[]
  readonly dump: () => Readonly<Record<string, unknown>>
}

/** Thrown when two features claim one name. */
export class DuplicateFeature extends Error {
  override readonly name = 'DuplicateFeature'

  /** @param feature - the name claimed twice */
  constructor (readonly feature: FeatureName) {
    super(`feature "${feature}" is registered twice`)
  }
}

/**
 * Creates an empty registry.
 *
 * @returns the registry
 */
export const createRegistry = <Input extends HasKind, Effect extends HasKind>(): Registry<Input, Effect> => {
  const features = new Map<FeatureName, Feature<Input, Effect>>()

  const register = (feature: Feature<Input, Effect>): void => {
    if (features.has(feature.name)) throw new DuplicateFeature(feature.name)
    features.set(feature.name, feature)
  }

  const handle = (input: Input, now: number): readonly Effect[] => {
    const effects: Effect[] = []
    for (const feature of features.values()) {
      if (feature.accepts(input)) effects.push(...feature.handle(input, now))
    }
    return effects
  }

  const dump = (): Readonly<Record<string, unknown>> =>
    Object.fromEntries([...features.values()].map(feature => [feature.name, feature.dump()]))

  return { register, get: name => features.get(name), handle, dump }
}
