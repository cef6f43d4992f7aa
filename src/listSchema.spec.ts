import { z } from 'zod'
import { configMessageSchema } from './config/configMessages.js'
import { endpointsMessageSchema } from './endpoints/endpointsMessages.js'
import { fleetMessageSchema } from './fleet/fleetMessages.js'
import { listOf } from './listSchema.js'
import { membershipMessageSchema } from './membership/membershipMessages.js'

const issuesOf = (schema: z.ZodType, value: unknown): readonly z.core.$ZodIssue[] => schema.safeParse(value).error?.issues ?? []

describe('the schema of a list', () => {
  it('returns the values of the elements', () => {
    const schema = z.object({ list: listOf(z.object({ n: z.number().default(3) })).readonly(), more: listOf(z.string()).default([]) })
    expect(schema.parse({ list: [{}, { n: 4, other: 1 }] })).toEqual({ list: [{ n: 3 }, { n: 4 }], more: [] })
  })

  it('names the first fault and its place, and no other', () => {
    expect(issuesOf(z.object({ list: listOf(z.number().min(0)) }), { list: [1, -1, 'a', -2] })).toMatchObject([{ code: 'too_small', path: ['list', 1] }])
    expect(issuesOf(listOf(z.object({ a: z.string(), b: z.string() })), [{}, {}])).toMatchObject([{ path: [0, 'a'] }, { path: [0, 'b'] }])
    expect(issuesOf(listOf(z.string()), { length: 2 })).toMatchObject([{ code: 'invalid_type', expected: 'array', path: [] }])
  })

  it('shows its elements to those who build values of it', () => {
    expect(z.toJSONSchema(listOf(z.string()))).toMatchObject({ type: 'array', items: { type: 'string' } })
  })
})

const wrongs = Array<object>(20_000).fill({ odd: true })

/** Lists of 20,000 wrong values in each place of the messages that has a list. A whole frame of them ended the process for want of memory. */
const longLists = (): readonly object[] => {
  const zeros = Array(20_000).fill(-1)
  return [
    { kind: 'fleet.beat', weights: zeros, readFor: { silent: zeros, partStores: zeros } },
    { kind: 'fleet.workerCrash', suspects: zeros },
    { kind: 'fleet.partQuestion', parts: zeros },
    { kind: 'fleet.partProofs', proofs: zeros },
    { kind: 'fleet.blockedParts', blocked: zeros },
    { kind: 'fleet.blockedAnswer', blocked: zeros },
    { kind: 'fleet.sent', parts: zeros },
    { kind: 'fleet.streams', streams: zeros },
    { kind: 'fleet.streamAnswer', versions: zeros },
    { kind: 'fleet.placementRequest', prompt: { parts: zeros }, alternatives: zeros, excluded: zeros, loads: zeros },
    { kind: 'fleet.placementDecision', loads: zeros },
    { kind: 'fleet.placementUpdates', flights: zeros, begun: zeros, ended: zeros, running: zeros, reports: zeros },
    { kind: 'fleet.workers', records: zeros },
    { kind: 'fleet.workers', records: [{ kind: 'present', worker: { models: zeros } }] },
    { kind: 'fleet.catalog', catalog: { routes: zeros, services: zeros, workspaces: zeros } },
    { kind: 'fleet.catalog', catalog: { routes: [{ targets: zeros }], workspaces: [{ keys: zeros }] } }
  ]
}

describe('the schemas of messages between instances', () => {
  it.each(longLists())('collect few issues for lists of wrong values (%#)', message => {
    const count = issuesOf(fleetMessageSchema, message).length
    expect(count).toBeGreaterThan(0)
    expect(count).toBeLessThan(40)
  })

  it.each([
    [membershipMessageSchema, { kind: 'membership.state', rumors: wrongs }],
    [membershipMessageSchema, { kind: 'membership.ping', rumors: wrongs, health: wrongs }],
    [endpointsMessageSchema, { kind: 'endpoints.loads', loads: wrongs, unreachable: wrongs }],
    [endpointsMessageSchema, { kind: 'endpoints.facts', facts: wrongs }],
    [endpointsMessageSchema, { kind: 'endpoints.digest', sums: wrongs }],
    [configMessageSchema, { kind: 'config.text', lines: wrongs, history: [] }]
  ])('collect few issues for lists of wrong values in the messages of entry instances (%#)', (schema, message) => {
    const count = issuesOf(schema, message).length
    expect(count).toBeGreaterThan(0)
    expect(count).toBeLessThan(40)
  })
})
