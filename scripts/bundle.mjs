// Makes the program as the platform starts it: one file under target/.
import { mkdirSync } from 'node:fs'
import { bundleProgram } from './bundleProgram.mjs'

mkdirSync('target', { recursive: true })
await bundleProgram('target/wasabireel.cjs')
