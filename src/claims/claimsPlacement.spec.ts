import { createPlacement } from './claimsPlacement.js'
import type { Placement } from './claimsPlacement.js'
import { partitionCount } from './claimsTypes.js'
import type { ClaimsInstance } from './claimsTypes.js'
import { loadHash } from '../hash.js'

const createInstances = (count: number): ClaimsInstance[] =>
  Array.from({ length: count }, (_, index) => ({ id: `node-${index}`, incarnation: '1', state: 'live' }))

const placeOn = async (instances: readonly ClaimsInstance[]): Promise<Placement> => {
  const placement = createPlacement(await loadHash())
  placement.update(instances)
  return placement
}

const partitions = Array.from({ length: partitionCount }, (_, partition) => partition)

const holdersIn = (placement: Placement): string[] => partitions.map(partition => placement.holders(partition)[0])

describe('placement of partitions', () => {
  it.each([[1, 64], [6, 11], [8, 8], [320, 1]])('gives each of %i instances at most %i partitions', async (count, maxPartitions) => {
    const holders = holdersIn(await placeOn(createInstances(count)))
    const loads = holders.map(holder => holders.filter(each => each === holder).length)
    expect(Math.max(...loads)).toBeLessThanOrEqual(maxPartitions)
  })

  it('does not depend on the order of the instances', async () => {
    const instances = createInstances(50)
    expect(holdersIn(await placeOn(instances))).toEqual(holdersIn(await placeOn([...instances].reverse())))
  })

  it('moves few partitions when an instance leaves, and none to the leaving instance', async () => {
    const instances = createInstances(320)
    const before = holdersIn(await placeOn(instances))
    const leaving = instances.map(instance => instance.id === before[0] ? { ...instance, state: 'leaving' as const } : instance)
    const after = holdersIn(await placeOn(leaving))
    expect(after).not.toContain(before[0])
    expect(partitions.filter(partition => before[partition] !== after[partition]).length).toBeLessThanOrEqual(4)
  })

  it('chooses two standbys', async () => {
    const [holder, ...standbys] = (await placeOn(createInstances(5))).holders(3)
    expect(new Set([holder, ...standbys]).size).toBe(3)
    expect((await placeOn([])).holders(3)).toEqual([])
  })
})
