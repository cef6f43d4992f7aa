/** Stand-in of a caller that sends requests with one key, one after the other at fixed times, each on a new connection. */
import { ask, newId } from './caller.mjs'
import { hostName } from './configuration.mjs'

/**
 * Sends requests until `stop` is called.
 *
 * @param options - `port` of the instance, its `name`, `key`, and `interval` between two requests in ms
 * @returns `sent`, the requests with their outcomes, and `stop`
 */
export const startKeyCaller = ({ port, name, key, interval }) => {
  const sent = []
  const timer = setInterval(() => {
    const id = newId()
    const entry = { request: id, instance: name, key, sentAt: Date.now() }
    sent.push(entry)
    ask({ port, path: `/read/${id}`, name: hostName, key, id }).then(({ status, failure, endedAt }) => Object.assign(entry, { status, failure, endedAt }))
  }, interval)
  return { sent, stop: () => clearInterval(timer) }
}
