// Starts instances as the deploy file does: as separate processes on loopback, with a settings file filled in like the template.
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const host = '127.0.0.1'
const repository = new URL('../..', import.meta.url).pathname

/** The words of the deploy file's command line. */
const command = /^run = "(.*)"$/m.exec(readFileSync(join(repository, 'deploy/system.toml'), 'utf8'))[1].split(' ')

const children = new Set()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })
for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(2))

/** Creates a folder for settings and logs, which is removed at the end unless KEEP is set. */
export const temporaryFolder = name => {
  const folder = mkdtempSync(join(tmpdir(), `${name}-`))
  process.on('exit', () => { if (process.env.KEEP === undefined) rmSync(folder, { recursive: true, force: true }) })
  return folder
}

/** Range below the ports that the kernel gives to outgoing connections. */
const firstPort = 12_000
const lastPort = 31_000
let nextPort = firstPort + Math.floor(Math.random() * (lastPort - firstPort))

const isFree = port => new Promise(resolve => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

/** Finds a free port. */
export const freePort = async () => {
  for (;;) {
    const port = nextPort
    nextPort = port < lastPort ? port + 1 : firstPort
    if (await isFree(port)) return port
  }
}

/** Waits for a time in ms. */
export const sleep = time => new Promise(resolve => { setTimeout(resolve, time) })

const settingsOf = ({ id, ports, store }) => `[instance]
id = ${id}
data_centre = a
host = ${host}
processors = 0.675
processor_speed = 1

[listen]
front = ${host}:${ports[0]}
ready = ${host}:${ports[1]}
directory = ${host}:${ports[2]}
peer_port = ${ports[3]}
metrics_port = ${ports[4]}

[platform]
store = ${store}

[configuration]
apply_within = 2000
revoke_within = 5000
strict_revoke = true

[retries]
fraction = 0.2
slack = 52
window = 10

[shutdown]
grace = 8

[weights]
apply_within = 8000
`

/** Peak of the resident memory of a process in bytes; 0 once it has ended. */
export const memoryOf = (pid, field = 'VmRSS') => {
  try {
    return Number(new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) * 1024
  } catch {
    return 0
  }
}

/**
 * Starts an instance.
 *
 * @param id - id of the instance
 * @param folder - folder for its settings and its log
 * @param store - address of the store
 */
export const startGateway = async (id, folder, store) => {
  const ports = await Promise.all(Array.from({ length: 5 }, freePort))
  const file = join(folder, `${id}.ini`)
  writeFileSync(file, settingsOf({ id, ports, store }))
  const [program, ...words] = command
  const gateway = { id, front: { host, port: ports[0] }, ready: { host, port: ports[1] }, directory: { host, port: ports[2] }, metrics: { host, port: ports[4] }, child: undefined, exits: [] }
  gateway.start = () => {
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: repository,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, WASABIREEL_NODE_FILE: file }
    })
    const log = createWriteStream(join(folder, `${id}.log`), { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    children.add(child)
    child.once('exit', (code, signal) => {
      children.delete(child)
      gateway.exits.push({ code, signal, at: Date.now() })
    })
    gateway.child = child
    gateway.ended = new Promise(resolve => { child.once('exit', (code, signal) => resolve({ code, signal })) })
  }
  gateway.waitReady = async (time = 15_000) => {
    const until = Date.now() + time
    while (Date.now() < until) {
      const ready = await fetch(`http://${host}:${ports[1]}/-/ready`).then(response => response.status === 200, () => false)
      if (ready) return true
      await sleep(50)
    }
    return false
  }
  gateway.start()
  return gateway
}
