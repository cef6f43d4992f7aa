import { createHash } from 'node:crypto'
import { loadHash } from '../hash.js'
import { rulesFor } from '../../test/fakes/deployments.js'
import { startOperator, type FakeOperator } from '../../test/fakes/fakeOperator.js'

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex')
const listingsRule = 'deadline workspace=listings -> 1s # asked by Ines, Listings'
const viewingsRule = 'deadline workspace=viewings -> 2s # asked by Tom, Viewings'
const text = `${rulesFor(['listings', 'viewings'])}key role=publish workspaces=listings team=Listings hash=sha256:${sha256('key-of-ines')} # asked by Rae, Platform\n${listingsRule}\n${viewingsRule}\n`

let operator: FakeOperator
beforeEach(async () => {
  operator = startOperator(await loadHash())
  expect(operator.publish(text).status).toBe(200)
})

describe('a publish with the key of a team', () => {
  it('is accepted if it changes only that team\'s lines for its workspaces', () => {
    expect(operator.publish(text.replace('-> 1s', '-> 3s'), 'key-of-ines')).toMatchObject({ status: 200, body: { version: 3 } })
  })

  it('is refused as a whole if it changes another team\'s line, and the answer names that line', () => {
    const answer = operator.publish(text.replace('-> 2s', '-> 3s'), 'key-of-ines')
    expect(answer).toMatchObject({ status: 403, body: { error: { type: 'publish_refused', result: { kind: 'forbidden' } } } })
    expect(JSON.stringify(answer.body)).toContain(JSON.stringify(viewingsRule).slice(1, -1))
    expect(JSON.stringify(answer.body)).toContain('"team":"Viewings"')
    expect(JSON.stringify(answer.body)).not.toContain(listingsRule)
    expect(operator.ask({ method: 'GET', path: '/v1/rules' }).body).toMatchObject({ version: 2, text: expect.stringContaining(viewingsRule) })
  })

  it('is unauthorised with the key of a caller', () => {
    expect(operator.publish(text, 'demo-key-listings').status).toBe(401)
  })
})
