/** Stand-in of a client: sends one request on a new channel, and reads its answer. */
import { request as send } from 'node:http'
import { callHost } from './configuration.mjs'

let lastId = 0

/** Sends a request, of which `sent` is told; resolves to its id, status, headers and body, or to the error that ended its channel, and to whether the channel had served a request before. */
export const call = ({ host, port, path, key, method = 'GET', patience = 1000, body, headers = {}, agent = false, sent = () => {} }) => new Promise(resolve => {
  lastId++
  const id = `${process.pid.toString(16)}-${lastId}`
  const chunks = []
  sent({ request: id, method, path, key, headers })
  const request = send({ host, port, path, method, agent, headers: { host: callHost, 'x-request-id': id, 'x-request-deadline-ms': patience, 'api-key': key, ...headers } }, response => {
    response.on('data', chunk => chunks.push(chunk))
    response.on('error', error => resolve({ id, error: error.code ?? error.message, kept: request.reusedSocket }))
    response.on('end', () => resolve({ id, kept: request.reusedSocket, status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() }))
  })
  request.setTimeout(patience, () => request.destroy(new Error('deadline')))
  request.on('error', error => resolve({ id, error: error.code ?? error.message, kept: request.reusedSocket }))
  request.end(body)
})
