// Builds the program under target/ as the platform starts it, together with its V8 code cache.
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdirSync, readFileSync } from 'node:fs'
import { bundleProgram } from './bundleProgram.mjs'

// V8 accepts a code cache only in a process with the same options.
const [, options] = /run = "node (.*?)target\/wasabireel\.cjs/.exec(readFileSync('deploy/system.toml', 'utf8'))

mkdirSync('target', { recursive: true })
await bundleProgram('target/program.cjs')
copyFileSync('scripts/startCached.cjs', 'target/wasabireel.cjs')
const nodeOptions = options.split(' ').filter(option => option !== '')
const rehearsalTimeout = 60_000 // ms
try {
  execFileSync(process.execPath, ['--import', 'tsx', 'scripts/rehearse.ts', 'target/wasabireel.cjs', ...nodeOptions], { stdio: 'pipe', timeout: rehearsalTimeout })
} catch (error) {
  // Without the compiled code of its first seconds the program only starts more slowly, so the build goes on with the cache of a run of --version.
  console.warn(`rehearsal failed: ${error.message}\n${error.stderr}`)
  execFileSync(process.execPath, [...nodeOptions, 'target/wasabireel.cjs', '--write', '--version'], { stdio: 'pipe' })
}
