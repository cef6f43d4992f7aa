/**
 * The registry of features. Each feature has a unique name and a predicate for
 * the inputs that it accepts; the registry dispatches inputs and collects effects.
 */
import type { FeatureName } from '../ports/features.js'

/** A member of a union that is discriminated by `kind`. */
export interface HasKind {
  readonly kind: string
}

/** A feature as it is registered. */
export interface Feature<Input extends HasKind, Effect extends HasKind> {
  readonly name: FeatureName
  /** Whether the feature handles this input. */
  readonly accepts: (input: Input) => boolean
  /** Handles an input at the time `now`, in ms. */
  readonly handle: (input: Input, now: number) => readonly Effect[]
  /** Returns the state for the dump as plain JSON, without secrets and request bodies. */
  readonly dump: () => unknown
}

/** The features of one node, in order of registration. */
export interface Registry<Input extends HasKind, Effect extends HasKind> {
  /**
   * Adds a feature.
   *
   * @throws DuplicateFeature if the name is already registered
   */
  readonly register: (feature: Feature<Input, Effect>) => void
  readonly get: (name: FeatureName) => Feature<Input, Effect> | undefined
  /** Passes an input to every feature that accepts it, in order of registration, and returns all their effects. */
  readonly handle: (input: Input, now: number) => readonly Effect[]
  /** Returns the state of each feature by name. */
  readonly dump: () => Readonly<Record<string, unknown>>
}

/** Thrown when a second feature is registered under the same name. */
export class DuplicateFeature extends Error {
  override readonly name = 'DuplicateFeature'

  /** @param feature - the duplicate name */
  constructor (readonly feature: FeatureName) {
    super(`feature "${feature}" is registered twice`)
  }
}

/**
 * Creates an empty registry.
 *
 * @param onError - called for an error that a feature throws; the other features still get the input
 * @returns the registry
 */
export const createRegistry = <Input extends HasKind, Effect extends HasKind>(onError: (feature: FeatureName, input: Input, error: unknown) => void): Registry<Input, Effect> => {
  const features = new Map<FeatureName, Feature<Input, Effect>>()

  const register = (feature: Feature<Input, Effect>): void => {
    if (features.has(feature.name)) throw new DuplicateFeature(feature.name)
    features.set(feature.name, feature)
  }

  const handle = (input: Input, now: number): readonly Effect[] => {
    const effects: Effect[] = []
    for (const feature of features.values()) {
      try {
        if (feature.accepts(input)) effects.push(...feature.handle(input, now))
      } catch (error) {
        onError(feature.name, input, error)
      }
    }
    return effects
  }

  const dump = (): Readonly<Record<string, unknown>> =>
    Object.fromEntries([...features.values()].map(feature => [feature.name, feature.dump()]))

  return { register, get: name => features.get(name), handle, dump }
}
