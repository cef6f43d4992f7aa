/** Guards against a planned stop that forgets a call which may run once: its caller has left, and its answer comes after the listener has closed. */
import { once } from 'node:events'
import { connect } from 'node:net'
import { uuidv7 } from '../../demo/client.js'
import { startPathFleet } from './pathFixture.js'

const path = '/v1/services/bookings/viewings'
/** Longer than the drain of an instance without requests, in ms. */
const runTime = 700

it('an instance that drains settles a call whose caller has left, so that another instance can repeat its answer', async () => {
  const fleet = await startPathFleet(runTime)
  const [{ host, port }] = fleet.origins
  const [{ operatorPort, drain, ended }] = fleet.entries
  const key = uuidv7(Date.now())
  const attempts = async (): Promise<number> => {
    const dump = await fetch(`http://${host}:${operatorPort}/dump`, { headers: { authorization: 'Bearer demo-operator-read' } })
    return ((await dump.json()) as { requests: { attempts: number } }).requests.attempts
  }
  const [unused, caller] = [connect(port, host), connect(port, host)]
  await Promise.all([once(unused, 'connect'), once(caller, 'connect')])
  unused.resume()
  caller.write(`POST ${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer demo-key-north\r\nIdempotency-Key: ${key}\r\nContent-Length: 2\r\n\r\n{`)
  const listenerClosed = once(unused, 'close')
  drain()
  await listenerClosed
  caller.write('}')
  while (await attempts() === 0) { /* The service has not got the call. */ }
  caller.destroy()
  await ended
  expect(fleet.runsOf(key)).toBe(1)
  expect(await fleet.callerAt('north', 1).call('POST', path, key, {})).toMatchObject({ outcome: 'ran' })
  expect(fleet.runsOf(key)).toBe(1)
  await fleet.close()
})
