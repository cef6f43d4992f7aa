// Makes the program as the platform starts it, under target/, with its compiled code beside it.
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdirSync, readFileSync } from 'node:fs'
import { bundleProgram } from './bundleProgram.mjs'

// Compiled code is only taken by a process with the same options.
const [, options] = /run = "node (.*?)target\/wasabireel\.cjs/.exec(readFileSync('deploy/system.toml', 'utf8'))

mkdirSync('target', { recursive: true })
await bundleProgram('target/program.cjs')
copyFileSync('scripts/startCached.cjs', 'target/wasabireel.cjs')
execFileSync(process.execPath, [...options.split(' ').filter(option => option !== ''), 'target/wasabireel.cjs', '--write', '--version'], { stdio: 'pipe' })
