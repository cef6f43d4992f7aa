// Starts the bundled program with compiled code from the build, which halves the time to start. Given --write, it writes that code.
const { readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

// Without a handler this signal ends a process; it may come while the program is still being read.
process.on('SIGHUP', () => {})

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
