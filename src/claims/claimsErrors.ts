/** Faults of the settings that claims refuse to start with. */

/** Thrown when the log keeps records for less time than claims rely on. */
export class RetentionTooShort extends Error {
  override readonly name = 'RetentionTooShort'

  /**
   * @param retention - the log's retention, in ms
   * @param least - the time in ms that it must exceed
   */
  constructor (readonly retention: number, readonly least: number) {
    super(`the log keeps records for ${retention} ms; claims need more than ${least} ms`)
  }
}
