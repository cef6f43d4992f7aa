// Bundles the program and injects the bundle into a copy of Node, which makes dist/wasabireel one file.
import { chmodSync, copyFileSync, existsSync, mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs'
import { execFileSync } from 'node:child_process'
import { inject } from 'postject'
import { bundle, bundleProgram } from './bundleProgram.mjs'

const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

mkdirSync('dist', { recursive: true })
await bundleProgram('dist/wasabireel.cjs')
for (const [entry, outfile] of [['src/standins/main.ts', 'dist/standins.cjs'], ['demo/main.ts', 'dist/demo.cjs']]) {
  if (existsSync(entry)) await bundle(entry, outfile)
}

writeFileSync('dist/sea.json', JSON.stringify({
  main: 'dist/wasabireel.cjs',
  output: 'dist/wasabireel.blob',
  disableExperimentalSEAWarning: true,
  useCodeCache: true
}))
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'pipe' })
copyFileSync(process.execPath, 'dist/wasabireel.new')
chmodSync('dist/wasabireel.new', 0o755)
// The library's ELF reader warns about sections that Node's binary does not name.
const warn = console.warn
console.warn = (...words) => { if (!String(words[0]).startsWith('warning: Can\'t find string offset')) warn(...words) }
await inject('dist/wasabireel.new', 'NODE_SEA_BLOB', readFileSync('dist/wasabireel.blob'), { sentinelFuse: fuse })
console.warn = warn

// A running binary keeps its old file.
renameSync('dist/wasabireel.new', 'dist/wasabireel')
