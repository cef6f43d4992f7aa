// Requests of callers, and the record of a case.
import { Agent, request as send } from 'node:http'
import { appendFileSync, writeFileSync } from 'node:fs'

/** Opens connections of one caller that are kept. */
export const keptConnections = (maxSockets = 1) => new Agent({ keepAlive: true, maxSockets })

/**
 * Sends a request; resolves with its outcome: `status` and `body`, or `error` if the connection ended without a whole answer.
 *
 * @param options - `to` (host and port), `agent`, `method`, `path`, `headers`, `body`, `onSent`
 */
export const ask = ({ to, agent, method = 'POST', path, headers, body, giveUpAfter = 20_000 }) => new Promise(resolve => {
  const sentAt = Date.now()
  const done = outcome => resolve({ ...outcome, sentAt, after: Date.now() - sentAt })
  const length = body === undefined ? {} : { 'content-length': body.length }
  const call = send({ host: to.host, port: to.port, agent, method, path, headers: { ...headers, ...length } }, response => {
    const chunks = []
    response.on('data', chunk => chunks.push(chunk))
    response.on('end', () => {
      clearTimeout(timer)
      done({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), reused: call.reusedSocket })
    })
    response.on('error', error => done({ error: error.code ?? error.message, begun: true, reused: call.reusedSocket }))
  })
  const timer = setTimeout(() => call.destroy(new Error('caller left')), giveUpAfter)
  call.on('error', error => {
    clearTimeout(timer)
    done({ error: error.code ?? error.message, reused: call.reusedSocket })
  })
  call.end(body)
})

/** Creates the record of a case, a text file with the time of each line in ms since its start. */
export const createRecord = file => {
  const startedAt = Date.now()
  writeFileSync(file, '')
  return {
    note: text => appendFileSync(file, `${String(Date.now() - startedAt).padStart(6)} ${text}\n`),
    elapsed: () => Date.now() - startedAt
  }
}

/** Whether the disruption of the case takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Ends a case: status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const finish = (record, status, text) => {
  record.note(`RESULT ${['held', 'broken', 'not run'][status]}: ${text}`)
  console.log(`${['held', 'broken', 'not run'][status]}: ${text}`)
  process.exit(status)
}
