import { buildCall } from '../../test/fixtures/forwarding.js'
import { loadHash } from '../hash.js'
import type { Call } from '../ports/forwardPort.js'
import { createRequestFingerprints, type RequestFingerprints } from './requestFingerprint.js'

let fingerprintOf: RequestFingerprints

beforeAll(async () => { fingerprintOf = createRequestFingerprints(await loadHash()) })

const fingerprint = (overrides: Partial<Call>, workspace = 'one'): string => fingerprintOf({ call: buildCall(overrides), workspace: { name: workspace } })

describe('the fingerprint of a request', () => {
  it('is the same for its repeats, whatever their ids, keys and headers', () => {
    expect(fingerprint({ id: 'again', key: 'new-key', headers: ['X-Other', '1'], resumeAfter: '7' })).toBe(fingerprint({}))
  })

  it.each([
    ['path', { target: '/desk/other' }],
    ['query', { target: '/desk/book?day=2' }],
    ['method', { method: 'PUT' }],
    ['host', { host: 'other.example' }],
    ['body', { body: Buffer.from('x') }]
  ] satisfies [string, Partial<Call>][])('differs with the %s', (_what, overrides) => {
    expect(fingerprint(overrides)).not.toBe(fingerprint({}))
  })

  it('differs with the workspace', () => {
    expect(fingerprint({}, 'two')).not.toBe(fingerprint({}))
  })

  it('is one of 16 digits for an empty and for a large body', () => {
    for (const body of [Buffer.alloc(0), Buffer.alloc(4_000_000, 'x')]) expect(fingerprint({ body })).toMatch(/^[0-9a-f]{16}$/)
  })
})
