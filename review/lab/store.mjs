/** Stand-in of the platform's store: a log of topics with one partition each, over HTTP. */
import { createServer } from 'node:http'

const offsetBytes = 8

const offset = value => {
  const bytes = Buffer.alloc(offsetBytes)
  bytes.writeBigUInt64BE(BigInt(value))
  return bytes
}

const framed = record => {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(record.length)
  return Buffer.concat([length, record])
}

/** Encodes a record of a keyed topic; without a value the key is dropped. */
const keyed = (key, value) => {
  const name = Buffer.from(key)
  return Buffer.concat([Buffer.from([name.length]), name, value === undefined ? Buffer.alloc(0) : Buffer.from(value)])
}

const readBody = async request => {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks)
}

const split = body => {
  const records = []
  for (let position = 0; position < body.length;) {
    const length = body.readUInt32BE(position)
    records.push(body.subarray(position + 4, position + 4 + length))
    position += 4 + length
  }
  return records
}

/**
 * Starts a store.
 *
 * @param host - loopback address
 * @param answerTime - time that each call takes, in ms
 */
export const startStore = async (host, answerTime = 4) => {
  let topics = new Map()
  let copied = new Map()
  let era = 1
  let down = false
  const waiting = new Set()
  const appended = []

  const topicOf = name => {
    if (!topics.has(name)) topics.set(name, [])
    return topics.get(name)
  }

  const wake = () => {
    for (const retry of [...waiting]) retry()
  }

  const add = (name, record) => {
    topicOf(name).push(record)
    wake()
  }

  const sendJson = (response, status, value) => {
    const body = JSON.stringify(value)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'store-era': era }).end(body)
  }

  const sendPage = (response, name, from, size) => {
    const records = topicOf(name)
    if (from > records.length) return sendJson(response, 410, { first: 0 })
    const page = Buffer.concat([offset(records.length), offset(0), ...records.slice(from, from + size).map(framed)])
    response.writeHead(200, { 'content-length': page.length, 'store-era': era }).end(page)
  }

  const read = (response, name, from, size, wait) => {
    if (wait <= 0 || from !== topicOf(name).length) return sendPage(response, name, from, size)
    const finish = () => {
      waiting.delete(finish)
      clearTimeout(timer)
      if (down) response.socket?.destroy()
      else sendPage(response, name, from, size)
    }
    const retry = finish
    const timer = setTimeout(finish, wait)
    waiting.add(retry)
    response.on('close', () => {
      waiting.delete(retry)
      clearTimeout(timer)
    })
  }

  const newest = (response, name) => {
    const items = new Map()
    topicOf(name).forEach((record, at) => {
      const end = 1 + record[0]
      const key = record.subarray(1, end).toString()
      if (record.length === end) items.delete(key)
      else items.set(key, { key, value: record.subarray(end).toString('base64'), offset: at })
    })
    sendJson(response, 200, { items: [...items.values()], more: false, end: topicOf(name).length })
  }

  const append = (response, name, at, body) => {
    const records = topicOf(name)
    if (at !== null && Number(at) !== records.length) return sendJson(response, 412, { end: records.length })
    const first = records.length
    for (const record of split(body)) records.push(record)
    appended.push({ at: Date.now(), topic: name, offset: first, text: body.subarray(4).toString() })
    sendJson(response, 200, { offset: first, end: records.length })
    wake()
  }

  const server = createServer(async (request, response) => {
    const body = await readBody(request).catch(() => undefined)
    if (body === undefined) return
    await new Promise(resolve => { setTimeout(resolve, answerTime) })
    if (down) return request.socket.destroy()
    const url = new URL(request.url, 'http://store')
    const query = name => url.searchParams.get(name)
    const topic = query('topic') ?? ''
    switch (url.pathname) {
      case '/-/log-read': return read(response, topic, Number(query('from')), Number(query('maxSize') ?? 1024), Number(query('waitMs') ?? 0))
      case '/-/log-newest': return newest(response, topic)
      case '/-/log-append': return append(response, topic, query('at'), body)
      default: return sendJson(response, 404, {})
    }
  })
  server.on('clientError', (_error, socket) => socket.destroy())
  await new Promise(resolve => { server.listen(0, host, resolve) })

  return {
    address: `${host}:${server.address().port}`,
    port: server.address().port,
    appended,
    put: (topic, key, value) => add(topic, keyed(key, JSON.stringify(value))),
    drop: (topic, key) => add(topic, keyed(key, undefined)),
    copy: () => { copied = new Map([...topics].map(([name, records]) => [name, [...records]])) },
    setDown: value => {
      down = value
      if (down) {
        wake()
        server.closeAllConnections()
      }
    },
    restore: () => {
      topics = new Map([...copied].map(([name, records]) => [name, [...records]]))
      era++
    },
    close: () => new Promise(resolve => {
      server.closeAllConnections()
      server.close(() => resolve())
    })
  }
}
