// Makes the program as the platform starts it, under target/, with its compiled code beside it.
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdirSync, readFileSync } from 'node:fs'
import { bundleProgram } from './bundleProgram.mjs'

// Compiled code is only taken by a process with the same options.
const [, options] = /run = "node (.*?)target\/wasabireel\.cjs/.exec(readFileSync('deploy/system.toml', 'utf8'))

mkdirSync('target', { recursive: true })
await bundleProgram('target/program.cjs')
copyFileSync('scripts/startCached.cjs', 'target/wasabireel.cjs')
const words = options.split(' ').filter(option => option !== '')
const rehearsalLimit = 60_000 // ms
try {
  execFileSync(process.execPath, ['--import', 'tsx', 'scripts/rehearse.ts', 'target/wasabireel.cjs', ...words], { stdio: 'pipe', timeout: rehearsalLimit })
} catch (error) {
  // A program without the code of its first seconds starts later; that is no reason to have none.
  console.warn(`rehearsal failed: ${error.message}\n${error.stderr}`)
  execFileSync(process.execPath, [...words, 'target/wasabireel.cjs', '--write', '--version'], { stdio: 'pipe' })
}
