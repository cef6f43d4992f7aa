// Builds dist/wasabireel, a single executable: bundles the program and injects the bundle into a copy of the Node.js binary.
import { chmodSync, copyFileSync, existsSync, mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs'
import { execFileSync } from 'node:child_process'
import { inject } from 'postject'
import { bundle, bundleProgram } from './bundleProgram.mjs'

const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

mkdirSync('dist', { recursive: true })
await bundleProgram('dist/program.cjs')
// It handles signals before the program has been compiled.
copyFileSync('scripts/startCached.cjs', 'dist/wasabireel.cjs')
for (const [entry, outfile] of [['src/standins/main.ts', 'dist/standins.cjs'], ['demo/main.ts', 'dist/demo.cjs']]) {
  if (existsSync(entry)) await bundle(entry, outfile)
}

writeFileSync('dist/sea.json', JSON.stringify({
  main: 'dist/program.cjs',
  output: 'dist/wasabireel.blob',
  disableExperimentalSEAWarning: true,
  useCodeCache: true
}))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'pipe' })
copyFileSync(process.execPath, 'dist/wasabireel.new')
chmodSync('dist/wasabireel.new', 0o755)
// postject's ELF reader warns about sections without a name, which the Node.js binary has.
const warn = console.warn
console.warn = (...args) => { if (!String(args[0]).startsWith('warning: Can\'t find string offset')) warn(...args) }
await inject('dist/wasabireel.new', 'NODE_SEA_BLOB', readFileSync('dist/wasabireel.blob'), { sentinelFuse: fuse })
console.warn = warn

// Renaming leaves the old file to processes that still run it.
renameSync('dist/wasabireel.new', 'dist/wasabireel')
