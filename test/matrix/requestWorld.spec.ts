import { loadHash } from '../../src/hash.js'
import { checkWorld } from './requestChecks.js'
import { runWorld } from './requestWorld.js'

describe('the request scenario without faults', () => {
  it('keeps every promise', async () => {
    const lines: string[] = []
    const t = Date.now()
    const world = runWorld(await loadHash(), 1, () => ({}), line => lines.push(line))
    process.stdout.write(lines.join('\n') + '\n' + (Date.now() - t) + '\n')
    expect(checkWorld(world)).toEqual([])
  })
})
