// Preloaded into a process under test: sends the process the signal SIGNAL at the moment MOMENT of its start, then writes `signalled` to stderr.
const fs = require('node:fs')
const { Server } = require('node:net')

const { SIGNAL, MOMENT, SETTINGS } = process.env
const standardError = 2

let signalled = false

const signalAt = moment => {
  if (signalled || moment !== MOMENT) return
  signalled = true
  process.kill(process.pid, SIGNAL)
  fs.writeSync(standardError, 'signalled\n')
}

const { readFileSync } = fs
fs.readFileSync = (...args) => {
  if (String(args[0]).endsWith('program.cjs')) signalAt('programLoaded')
  const text = readFileSync(...args)
  if (args[0] === SETTINGS) signalAt('settingsRead')
  return text
}

let listeners = 0
const { listen } = Server.prototype
Server.prototype.listen = function (...args) {
  const number = ++listeners
  signalAt(`listener${number}`)
  this.prependOnceListener('listening', () => signalAt(`listening${number}`))
  return listen.apply(this, args)
}
