/** Clients that send requests without a body one after another on one channel, at a limited rate, without waiting for answers, and read what comes. */
import { connect } from 'node:net'
import { callHost } from './configuration.mjs'

const turn = 10
const maxBacklog = 200_000
const perTurn = 10
const idle = 1000

/**
 * Opens the channels of the clients and sends on each.
 *
 * @param options - the instance, the number of clients, the largest number of bytes that each sends, all bytes a second on the wire, path and API key of the requests
 * @returns a function that closes the channels and returns the requests sent and the answers seen of each client
 */
export const startPipelines = ({ host, port, clients, maxBytes, rate, path, key }) => {
  const members = Array.from({ length: clients }, (_, index) => {
    const member = { index, socket: connect(port, host), requests: 0, bytes: 0, answers: 0, end: undefined }
    member.socket.on('error', error => { member.end = error.code })
    member.socket.on('data', data => { member.answers += data.toString('latin1').split('HTTP/1.1 ').length - 1 })
    return member
  })
  let next = 0

  const nextRequests = member => Array.from({ length: perTurn }, () => {
    member.requests++
    return `GET ${path} HTTP/1.1\r\nHost: ${callHost}\r\nX-Request-Id: pipeline-${process.pid}-${member.index}-${member.requests}\r\nX-Request-Deadline-Ms: 10000\r\nApi-Key: ${key}\r\n\r\n`
  }).join('')

  const sendSome = () => {
    for (let left = rate * turn / 1000; left > 0;) {
      const member = members[next % clients]
      next++
      if (member.socket.destroyed || member.bytes > maxBytes || member.socket.writableLength > maxBacklog) {
        left -= idle
        continue
      }
      const text = nextRequests(member)
      left -= text.length
      member.bytes += text.length
      member.socket.write(text)
    }
  }

  const timer = setInterval(sendSome, turn)
  return () => {
    clearInterval(timer)
    for (const { socket } of members) socket.destroy()
    return members.map(({ requests, bytes, answers, end }) => ({ requests, bytes, answers, end }))
  }
}
