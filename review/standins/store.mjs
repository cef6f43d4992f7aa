/**
 * Stand-in of the platform's store: a log of topics with one partition each,
 * over HTTP on loopback.
 */
import { createServer } from 'node:http'

const host = '127.0.0.1'
const defaultPageSize = 1_024
const pageItems = 500

const offsetBytes = value => {
  const bytes = Buffer.alloc(8)
  bytes.writeBigUInt64BE(BigInt(value))
  return bytes
}

const frame = record => {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(record.length)
  return Buffer.concat([length, record])
}

const splitFrames = body => {
  const records = []
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at)
    records.push(body.subarray(at + 4, at + 4 + length))
    at += 4 + length
  }
  return records
}

const encodeKeyed = (key, value) => Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)])

const decodeKeyed = record => {
  const keyEnd = 1 + record[0]
  return { key: record.subarray(1, keyEnd).toString(), value: record.subarray(keyEnd) }
}

const readBody = async request => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks)
}

/** Starts a store on a free port. */
export const startStore = async () => {
  const topics = new Map()
  const sockets = new Set()
  const waiting = new Set()

  const topicOf = name => {
    const topic = topics.get(name) ?? { first: 0, records: [] }
    topics.set(name, topic)
    return topic
  }

  const wake = () => {
    for (const retry of [...waiting]) {
      waiting.delete(retry)
      retry()
    }
  }

  const send = (response, status, body) => {
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body))
    response.writeHead(status, { 'Content-Type': Buffer.isBuffer(body) ? 'application/octet-stream' : 'application/json', 'Content-Length': bytes.length, 'Store-Era': '1' }).end(bytes)
  }

  const read = (response, name, from, size, until) => {
    const { first, records } = topicOf(name)
    if (from < first || from > records.length) return send(response, 410, { first })
    if (from === records.length && Date.now() < until) {
      const retry = () => {
        clearTimeout(timer)
        if (!response.destroyed) read(response, name, from, size, until)
      }
      const timer = setTimeout(() => {
        waiting.delete(retry)
        retry()
      }, until - Date.now())
      waiting.add(retry)
      return
    }
    send(response, 200, Buffer.concat([offsetBytes(records.length), offsetBytes(first), ...records.slice(from, from + size).map(frame)]))
  }

  const newest = (response, name, after) => {
    const { records } = topicOf(name)
    const items = new Map()
    records.forEach((record, offset) => {
      const { key, value } = decodeKeyed(record)
      items.delete(key)
      if (value.length > 0) items.set(key, { key, value: value.toString('base64'), offset })
    })
    const sorted = [...items.values()].sort((left, right) => left.key < right.key ? -1 : 1).filter(({ key }) => after === null || key > after)
    send(response, 200, { items: sorted.slice(0, pageItems), more: sorted.length > pageItems, end: records.length })
  }

  const append = async (request, response, name, at) => {
    const body = await readBody(request)
    const { records } = topicOf(name)
    if (at !== null && Number(at) !== records.length) return send(response, 412, { end: records.length })
    const offset = records.length
    records.push(...splitFrames(body))
    send(response, 200, { offset, end: records.length })
    wake()
  }

  const answer = (request, response) => {
    const { pathname, searchParams } = new URL(request.url, `http://${host}`)
    const name = searchParams.get('topic') ?? ''
    switch (`${request.method} ${pathname}`) {
      case 'GET /-/log-read':
        return read(response, name, Number(searchParams.get('from')), Number(searchParams.get('maxSize') ?? defaultPageSize), Date.now() + Number(searchParams.get('waitMs') ?? 0))
      case 'GET /-/log-newest': return newest(response, name, searchParams.get('after'))
      case 'POST /-/log-append': return append(request, response, name, searchParams.get('at'))
      default: return send(response, 404, {})
    }
  }

  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    response.on('error', () => { /* The caller has left. */ })
    answer(request, response)
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
    socket.on('error', () => socket.destroy())
  })
  await new Promise(resolve => { server.listen(0, host, resolve) })

  return {
    address: `${host}:${server.address().port}`,
    /** Appends a keyed record, as the operator or a worker does; an empty value deletes the key. */
    put: (topic, key, value) => {
      topicOf(topic).records.push(encodeKeyed(key, typeof value === 'string' ? value : JSON.stringify(value)))
      wake()
    },
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
