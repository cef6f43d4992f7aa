/** Error classes for programming errors. Failures that a caller may see are returned as values instead. */

/** Thrown when an exhaustive switch meets a member of a discriminated union that no branch handles. */
export class UnhandledVariant extends Error {
  override readonly name = 'UnhandledVariant'

  /** @param variant - the value that no branch handled */
  constructor (readonly variant: unknown) {
    super(`unhandled variant: ${JSON.stringify(variant)}`)
  }
}

/**
 * Default branch of an exhaustive switch, which does not compile while a variant is unhandled.
 *
 * @param variant - the value that is left after all branches, of type `never`
 * @throws UnhandledVariant if it is reached at run time
 */
export const assertNever = (variant: never): never => {
  throw new UnhandledVariant(variant)
}
