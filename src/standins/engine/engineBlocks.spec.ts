import { loadHash } from '../../hash.js'
import { createPrefixHasher } from '../../prefix/prefixHasher.js'
import { parseRequest } from '../../requests/requestsParser.js'
import { settingsDefaults } from '../../settings/settingsDefaults.js'
import { createEngine, engineDefaults } from './engine.js'

const bodies = {
  '/v1/chat/completions': {
    model: 'drafter',
    stream: true,
    max_tokens: 1,
    messages: [{ role: 'system', content: 'guidance '.repeat(200) }, { role: 'user', content: 'a cottage' }]
  },
  '/v1/completions': { model: 'drafter', stream: true, max_tokens: 1, prompt: 'guidance '.repeat(300) }
}

test.each(Object.entries(bodies))('router and engine compute the same block names for a prompt at %s', async (path, json) => {
  const hash = await loadHash()
  const engine = createEngine(hash)
  const { host, port } = await engine.listen()
  const body = JSON.stringify(json)
  const headers = { 'x-workspace': 'north', 'x-weight-version': '1' }
  await (await fetch(`http://${host}:${port}${path}`, { method: 'POST', headers, body })).text()
  const listing = await (await fetch(`http://${host}:${port}/v1/cache/events`)).json() as { events: Array<{ block: string }> }
  await engine.close()

  const parsed = parseRequest({ kind: 'caller.request', request: 1, method: 'POST', path, headers: {}, body: Buffer.from(body), remote: '' })._unsafeUnwrap()
  if (parsed.kind !== 'call' || parsed.call.kind !== 'model') throw new TypeError('the parsed request is not a model call')
  const { blocks } = createPrefixHasher(hash).chain({ workspace: 'north', model: 'drafter', weightVersion: '1' }, parsed.call.prompt)
  expect(listing.events.map(({ block }) => block)).toEqual(blocks)
  expect(settingsDefaults.routing.block_bytes).toBe(engineDefaults.blockBytes)
})
