/** Starts instances with the command of the deploy file, on loopback and with settings of a small deployment. */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const host = '127.0.0.1'
const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const firstPort = 12_000
const portRange = 18_000
let nextPort = firstPort + process.pid * 37 % portRange

const isFree = port => new Promise(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

/** Returns a port below the ephemeral ones on which nothing listens. */
export const freePort = async () => {
  for (;;) {
    nextPort = nextPort + 1 < firstPort + portRange ? nextPort + 1 : firstPort
    if (await isFree(nextPort)) return nextPort
  }
}

/** The command line of the deploy file for the role `gateway`. */
const commandOf = () => {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
  if (run === null) throw new Error('the deploy file has no command')
  return run[1].split(' ')
}

/** A temporary folder for settings and logs. */
export const createFolder = () => mkdtempSync(join(tmpdir(), 'review-'))

const settingsOf = (id, store, zone, ports) => `[instance]
id = ${id}
data_centre = ${zone}
host = ${host}
processors = 0.675
processor_speed = 1

[listen]
front = ${host}:${ports.front}
ready = ${host}:${ports.ready}
directory = ${host}:${ports.directory}
peer_port = ${ports.peer}
metrics_port = ${ports.metrics}
descriptors = 4100

[platform]
store = ${store}

[configuration]
apply_within = 2000
revoke_within = 5000
strict_revoke = true

[memory]
limit = 200

[retries]
fraction = 0.2
slack = 52
window = 10

[shutdown]
grace = 8

[weights]
apply_within = 8000
`

/** Creates an instance with its ports and settings; `start` starts its process. */
export const createGateway = async ({ id, store, zone = 'a', folder }) => {
  const ports = { front: await freePort(), ready: await freePort(), directory: await freePort(), peer: await freePort(), metrics: await freePort() }
  const file = join(folder, `${id}.conf`)
  writeFileSync(file, settingsOf(id, store, zone, ports))
  const [command, ...words] = commandOf()
  let child
  let ended = Promise.resolve()

  const start = () => {
    const log = createWriteStream(join(folder, `${id}.log`), { flags: 'a' })
    child = spawn(command, words, { cwd: root, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, WASABIREEL_NODE_FILE: file } })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    const started = child
    ended = new Promise(resolve => { started.once('exit', (code, signal) => resolve({ code, signal })) })
  }

  const isRunning = () => child !== undefined && child.exitCode === null && child.signalCode === null

  return {
    id,
    ports,
    front: ports.front,
    start,
    isRunning,
    signal: name => { if (isRunning()) child.kill(name) },
    /** Resolves with the code or the signal of the exit. */
    ended: () => ended,
    isReady: () => fetch(`http://${host}:${ports.ready}/-/ready`).then(response => response.status === 200, () => false)
  }
}

/** Waits until all instances say that they are ready; throws after `limit` ms. */
export const waitUntilReady = async (gateways, limit = 20_000) => {
  const until = Date.now() + limit
  for (const gateway of gateways) {
    while (!await gateway.isReady()) {
      if (Date.now() > until) throw new Error(`${gateway.id} is not ready`)
      await new Promise(resolve => { setTimeout(resolve, 50) })
    }
  }
}
