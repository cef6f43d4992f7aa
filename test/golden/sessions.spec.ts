import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { loadHash } from '../../src/hash.js'
import { deployments, runSession, sessionNames } from './sessions.js'

const folder = join(process.cwd(), 'test', 'golden', 'sessions')
const isRenewing = process.env.RENEW_GOLDEN === '1'

describe('golden sessions', () => {
  const cases = deployments.flatMap(deployment => sessionNames.map(name => [deployment, name] as const))

  it.each(cases)('%s %s', async (deployment, name) => {
    const transcript = runSession(await loadHash(), deployment, name)
    const file = join(folder, `${deployment}-${name}.txt`)
    if (isRenewing) writeFileSync(file, transcript)
    expect(transcript).toBe(readFileSync(file, 'utf8'))
  })
})
