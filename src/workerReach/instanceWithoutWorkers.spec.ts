import { playPartitioned, type PartitionedOptions } from '../../test/fleets/partitionedPlay.js'
import { loadHash, type Hash } from '../hash.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

/** Share of the others' served first tries that instances without links are to serve; the users' rule is two thirds. */
const minShare = 0.9

describe('an instance that has lost its links to the workers', () => {
  it.each([
    ['refuse connections, at 3 of 7 instances', { instances: 7, partitioned: 3, cut: { mode: 'refused' } }],
    ['hang, at 3 of 7 instances', { instances: 7, partitioned: 3, cut: { mode: 'hangs' } }],
    ['live on and refuse new connections, at 3 of 7 instances', { instances: 7, partitioned: 3, cut: { mode: 'openLiveOn' } }],
    ['hang, at 6 of 7 instances', { instances: 7, partitioned: 6, cut: { mode: 'hangs' } }],
    ['hang, to one service only', { instances: 7, partitioned: 3, cut: { mode: 'hangs', service: 'model' } }],
    ['refuse connections, at 20 of 60 instances', { instances: 60, partitioned: 20, cut: { mode: 'refused' }, load: 120, workers: 12 }]
  ] satisfies [string, Omit<PartitionedOptions, 'hash'>][])('serves its callers nearly as often as the others if the links %s', (_how, options) => {
    const { partitioned, others, isBroken } = playPartitioned({ hash, ...options })
    expect(partitioned.sent).toBeGreaterThan(20)
    expect(others.served / others.sent).toBeGreaterThan(0.95)
    expect(partitioned.served / partitioned.sent).toBeGreaterThanOrEqual(minShare * others.served / others.sent)
    expect(isBroken).toBe(false)
  })
})
