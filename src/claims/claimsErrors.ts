/** Errors of the claims' configuration. */

/** Thrown when the log's retention is too short for claims to be safe. */
export class RetentionTooShort extends Error {
  override readonly name = 'RetentionTooShort'

  /**
   * @param retention - the log's retention, in ms
   * @param least - the retention in ms that must be exceeded
   */
  constructor (readonly retention: number, readonly least: number) {
    super(`log retention is ${retention} ms; claims require more than ${least} ms`)
  }
}
