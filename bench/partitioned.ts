/**
 * Measures what instances without links to the workers cost a fleet of gateways in
 * virtual time: first tries that are served, requests that are passed on, and
 * messages and bytes about the reach of workers. `npx tsx bench/partitioned.ts
 * [instances...]`; with `--seeds FIRST-LAST`, plays these seeds of every case at the
 * first size, and prints which break the users' rule.
 */
import { encode } from 'cbor-x'
import { loadHash, type Hash } from '../src/hash.js'
import { messageOverhead } from '../test/fakes/fakeNetwork.js'
import { cutFrom, cutUntil, playPartitioned, type PartitionedOptions } from '../test/fleets/partitionedPlay.js'

const defaultSizes = [7, 60, 195]
const msPerSecond = 1_000
const kinds: ReadonlySet<string> = new Set(['fleet.reachQuestion', 'fleet.reachAnswer'])

/** Instances without links, workers and requests a second by size. */
const sizeOf = (instances: number): Pick<PartitionedOptions, 'partitioned' | 'workers' | 'load'> =>
  instances <= 7 ? { partitioned: 3, workers: 8, load: 60 } : { partitioned: Math.floor(instances / 3), workers: instances / 5, load: 2 * instances }

const cases: Readonly<Record<string, Pick<PartitionedOptions, 'cut'> & Partial<PartitionedOptions>>> = {
  'links refuse': { cut: { mode: 'refused' } },
  'links hang': { cut: { mode: 'hangs' } },
  'open links live on': { cut: { mode: 'openLiveOn' } },
  'one service hangs': { cut: { mode: 'hangs', service: 'model' } },
  'all but one, links hang': { cut: { mode: 'hangs' }, partitioned: 6 }
}

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const playSize = (hash: Hash, instances: number): void => {
  let messages = 0
  let bytes = 0
  const { partitioned, others, fleet } = playPartitioned({
    hash,
    instances,
    ...sizeOf(instances),
    cut: { mode: 'hangs' },
    disturb: played => played.network.intercept(({ message }) => {
      if (!kinds.has(message.kind)) return 'deliver'
      messages++
      bytes += encode(message).length + messageOverhead
      return 'deliver'
    })
  })
  const found = fleet.logEvents.filter(({ event }) => event.kind === 'serviceCutOff').map(({ at }) => at)
  const relayed = fleet.logEvents.filter(({ event }) => event.kind === 'relayed').length
  const span = (cutUntil - cutFrom) / msPerSecond
  print(`${instances} instances, ${sizeOf(instances).partitioned} without links: served ${partitioned.served} of ${partitioned.sent} there, ${others.served} of ${others.sent} at the others; known ${Math.round(Math.min(...found) - cutFrom)} to ${Math.round(Math.max(...found) - cutFrom)} ms after the cut; ${relayed} requests passed on; ${(messages / span).toFixed(1)} messages and ${(bytes / span).toFixed(0)} bytes a second in the whole fleet`)
}

const playSeeds = (hash: Hash, instances: number, first: number, last: number): void => {
  for (const [name, options] of Object.entries(cases)) {
    const failures: string[] = []
    for (let seed = first; seed <= last; seed++) {
      const { isBroken, partitioned: { served, sent } } = playPartitioned({ hash, instances, seed, ...sizeOf(instances), ...options })
      if (isBroken) failures.push(`seed ${seed}: ${served} of ${sent}`)
    }
    print(`${name}, ${instances} instances: ${last - first + 1 - failures.length} of ${last - first + 1} plays hold${failures.length > 0 ? `; ${failures.join('; ')}` : ''}`)
  }
}

const [...options] = process.argv.slice(2)
const seeds = options.includes('--seeds') ? options.splice(options.indexOf('--seeds'), 2)[1].split('-').map(Number) : undefined
const sizes = options.length > 0 ? options.map(Number) : defaultSizes
const hash = await loadHash()
if (seeds === undefined) for (const instances of sizes) playSize(hash, instances)
else playSeeds(hash, sizes[0], seeds[0], seeds[1])
