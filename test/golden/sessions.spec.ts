import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { loadHash } from '../../src/hash.js'
import { deployments, runSession, sessionNames } from './sessions.js'

const folder = join(process.cwd(), 'test', 'golden', 'sessions')
/** Whether to overwrite the golden files, which RENEW_GOLDEN=1 requests. */
const updatesGoldenFiles = process.env.RENEW_GOLDEN === '1'

describe('golden sessions', () => {
  const cases = deployments.flatMap(deployment => sessionNames.map(name => [deployment, name] as const))

  it.each(cases)('of %s: %s gives the transcript of its golden file', async (deployment, name) => {
    const transcript = runSession(await loadHash(), deployment, name)
    const file = join(folder, `${deployment}-${name}.txt`)
    if (updatesGoldenFiles) writeFileSync(file, transcript)
    expect(transcript).toBe(readFileSync(file, 'utf8'))
  })
})
