/** Clients that send chunked bodies in chunks of one byte, at a limited rate, and never end them. */
import { connect } from 'node:net'
import { callHost } from './configuration.mjs'

const piece = Buffer.from('1\r\nx\r\n'.repeat(1000))
const pieceBytes = 1000
const turn = 10
const maxBacklog = 200_000

/**
 * Opens the channels of a crowd and sends on each.
 *
 * @param options - the instance, the number of clients, the largest number of bytes of each body, all bytes a second on the wire, and the API key
 * @returns a function that closes the channels and returns how many bytes of each body were written
 */
export const startCrowd = ({ host, port, clients, bodyBytes, rate, key }) => {
  const members = Array.from({ length: clients }, (_, index) => {
    const socket = connect(port, host)
    socket.on('error', () => {})
    socket.write(`POST /book/a HTTP/1.1\r\nHost: ${callHost}\r\nX-Request-Id: crowd-${process.pid}-${index}\r\nX-Request-Deadline-Ms: 10000\r\nApi-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`)
    return { socket, sent: 0 }
  })
  let next = 0

  const sendSome = () => {
    for (let left = rate * turn / 1000; left > 0; left -= piece.length) {
      const member = members[next % clients]
      next++
      if (member.sent + pieceBytes > bodyBytes || member.socket.writableLength > maxBacklog) continue
      member.sent += pieceBytes
      member.socket.write(piece)
    }
  }

  const timer = setInterval(sendSome, turn)
  return () => {
    clearInterval(timer)
    for (const { socket } of members) socket.destroy()
    return members.map(({ sent }) => sent)
  }
}
