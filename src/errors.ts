/** Error classes for faults of the program itself; failures that a caller may see are values. */

/** Thrown where a discriminated union holds a member that no branch handles. */
export class UnhandledVariant extends Error {
  override readonly name = 'UnhandledVariant'

  /** @param variant - the value that no branch handled */
  constructor (readonly variant: unknown) {
    super(`no branch handles ${JSON.stringify(variant)}`)
  }
}

/**
 * Ends an exhaustive switch; it does not compile while a variant is unhandled.
 *
 * @param variant - what is left, which must be nothing
 */
export const assertNever = (variant: never): never => {
  throw new UnhandledVariant(variant)
}
