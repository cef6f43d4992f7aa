/** Stand-in of a caller: sends one request on a new connection and reads its whole answer. */
import { request as httpRequest } from 'node:http'

const host = '127.0.0.1'
let lastId = 0
const run = Math.random().toString(16).slice(2, 10)

/** Returns an id that no other request has. */
export const newId = () => `${run}${(++lastId).toString(16).padStart(8, '0')}`

/**
 * Sends a request; resolves with `status`, `headers` and `body`, or without a status if the connection ended before the answer was whole.
 */
export const ask = ({ port, method = 'GET', path, name, key, id = newId(), patience = 1_000, headers = {}, body = '' }) => new Promise(resolve => {
  const sentAt = Date.now()
  const outcome = fields => resolve({ id, sentAt, endedAt: Date.now(), ...fields })
  const request = httpRequest({
    host,
    port,
    method,
    path,
    agent: false,
    headers: { Host: name, 'X-Request-Id': id, 'X-Request-Deadline-Ms': String(patience), ...(key === undefined ? {} : { 'Api-Key': key }), 'Content-Length': String(Buffer.byteLength(body)), ...headers }
  }, response => {
    const chunks = []
    response.on('data', chunk => chunks.push(chunk))
    response.on('end', () => outcome({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() }))
    response.on('error', () => outcome({ failure: 'cut' }))
  })
  request.setTimeout(patience + 1_000, () => request.destroy())
  request.on('error', () => outcome({ failure: 'cut' }))
  request.end(body)
})
