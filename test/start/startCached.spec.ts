import { spawnSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

let folder: string

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'wasabireel-start-')) })

afterEach(() => { rmSync(folder, { recursive: true, force: true }) })

describe('the start of the program', () => {
  it('survives a SIGHUP (reload the settings) that arrives before the program has installed its handler', () => {
    copyFileSync('scripts/startCached.cjs', join(folder, 'wasabireel.cjs'))
    writeFileSync(join(folder, 'program.cjs'), "process.kill(process.pid, 'SIGHUP'); setImmediate(() => { console.log('alive') })")
    const { stdout, signal } = spawnSync(process.execPath, [join(folder, 'wasabireel.cjs')], { encoding: 'utf8' })
    expect(signal).toBeNull()
    expect(stdout).toBe('alive\n')
  })
})
