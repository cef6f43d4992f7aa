import { createRandom } from '../random.js'
import { createProber } from './prober.js'

describe('prober', () => {
  it('has at most one outstanding probe of a peer, however often its connection is lost', () => {
    const sent: string[] = []
    const prober = createProber(createRandom(1), {
      ping: target => sent.push(`ping ${target}`),
      pingVia: (relay, target) => sent.push(`${relay} pings ${target}`),
      suspect: target => sent.push(`suspect ${target}`),
      peers: () => ['a', 'b', 'c']
    })
    for (let now = 0; now <= 1_100; now += 2) {
      prober.probe('a', now)
      prober.check(now)
    }
    expect(sent.filter(line => line.startsWith('ping a'))).toHaveLength(2)
    expect(sent.filter(line => line.endsWith('pings a'))).toHaveLength(2)
  })
})
