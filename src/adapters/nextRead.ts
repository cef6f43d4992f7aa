/** Waits for what has arrived at the sockets but has not been read. */

/**
 * Calls `callback` after the sockets have been read once more. After the process
 * was blocked, what came from a caller and an expired timer, or a request and the
 * close of its connection, may be pending together.
 *
 * @param callback - called in a later turn of the event loop
 */
export const afterNextRead = (callback: () => void): void => { setImmediate(() => setImmediate(callback)) }
