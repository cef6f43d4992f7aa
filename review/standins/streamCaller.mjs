/**
 * Stand-in of a caller of resumable streams: after a broken channel it takes the
 * stream up with `Last-Event-Id` at any instance, naming in `Resumes` the attempt
 * that brought its first event, and abandons it after a gap of two seconds without
 * an event.
 */
import { request as httpRequest } from 'node:http'
import { hostName } from './configuration.mjs'

const host = '127.0.0.1'
const timeLimit = 15_000
const gapLimit = 2_000
/** Time before a new attempt, in ms, and number of these. */
const retryDelay = 500
const maxRetries = 3
const eventPattern = /id: (\d+)\ndata: (\S+) (\d+)\n\n/g

const sleep = time => new Promise(resolve => { setTimeout(resolve, time) })

const pick = items => items[Math.floor(Math.random() * items.length)]

/** A part of a prompt that about one stream in thirty shares. */
const sharedPart = () => (0xa0 + Math.floor(Math.random() * 30)).toString(16)

/**
 * Begins a stream.
 *
 * @param options - `ports` of the instances, `key`, number of `events`, and `id`, which makes ids
 * @returns `ended`, which resolves with the attempts, the software versions in the order in which they were read, whether the events were in order, and whether the stream ended as complete
 */
export const startStream = ({ ports, key, events, id }) => {
  const beganAt = Date.now()
  const prompt = `${sharedPart()}:198,${id().slice(-12)}:628`
  const attempts = []
  const versions = []
  /** Id of the attempt that brought the first event. */
  let begunBy
  let last = 0
  let lastAt = beganAt
  let inOrder = true

  const take = (requestId, eventId, version, number) => {
    begunBy ??= requestId
    lastAt = Date.now()
    if (Number(eventId) !== last + 1 || number !== eventId) inOrder = false
    last = Number(eventId)
    if (versions.at(-1) !== version) versions.push(version)
  }

  const attempt = port => new Promise(resolve => {
    const sentAt = Date.now()
    const requestId = id()
    let text = ''
    let status
    let whole = false
    const end = () => {
      clearInterval(watch)
      resolve({ request: requestId, port, sentAt, endedAt: Date.now(), after, status, whole, last })
    }
    const after = last
    const request = httpRequest({
      host,
      port,
      method: 'POST',
      path: `/draft/x?events=${events}`,
      agent: false,
      headers: {
        Host: hostName,
        'X-Request-Id': requestId,
        'X-Request-Deadline-Ms': String(Math.max(1, beganAt + timeLimit - sentAt)),
        'Api-Key': key,
        'Content-Length': '6',
        'X-Model': 'm0',
        'X-Token-Count': '826,73',
        'X-Prompt-Prefix': prompt,
        ...(after > 0 ? { 'Last-Event-Id': String(after), Resumes: begunBy } : {})
      }
    }, response => {
      status = response.statusCode
      response.on('data', chunk => {
        text += chunk.toString()
        for (const [event, ...fields] of text.matchAll(eventPattern)) {
          take(requestId, ...fields)
          text = text.slice(text.indexOf(event) + event.length)
        }
      })
      response.on('end', () => { whole = response.complete && status === 200 })
      response.on('error', () => { /* The close event follows. */ })
      response.on('close', end)
    })
    const watch = setInterval(() => { if (Date.now() - lastAt > gapLimit) request.destroy() }, 20)
    request.on('error', () => { if (status === undefined) end() })
    request.end('prompt')
  })

  const run = async () => {
    for (;;) {
      attempts.push(await attempt(pick(ports)))
      const { whole } = attempts.at(-1)
      const isOver = whole || last === 0 || attempts.length > maxRetries || Date.now() - lastAt > gapLimit || Date.now() - beganAt > timeLimit
      if (isOver) return { attempts, versions, inOrder, whole, last }
      await sleep(retryDelay)
    }
  }

  return { ended: run() }
}
