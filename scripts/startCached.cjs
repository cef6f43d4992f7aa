// Starts the bundled program with the V8 code cache from the build, which halves the start-up time. With --write it writes that cache on exit instead of reading it.
const { readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

// Signals may arrive while the program is still being loaded; src/cli/startSignals.ts takes over.
process.on('SIGHUP', () => {})
if (['gateway', 'entry'].some(command => process.argv.includes(command))) {
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(0))
}

const filename = join(__dirname, 'program.cjs')
const cacheFile = join(__dirname, 'program.cache')
const isWriting = process.argv[2] === '--write'

const readCache = () => {
  try {
    return readFileSync(cacheFile)
  } catch {
    return undefined
  }
}

const script = new Script(Module.wrap(readFileSync(filename, 'utf8')), { filename, cachedData: isWriting ? undefined : readCache() })
const run = script.runInThisContext()
if (isWriting) {
  process.argv.splice(2, 1)
  process.on('exit', () => writeFileSync(cacheFile, script.createCachedData()))
}
run({}, require, { exports: {} }, filename, __dirname)
