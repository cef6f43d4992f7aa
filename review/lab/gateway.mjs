/** One instance: the program of the deploy file, with the settings that its template gives for a small deployment. */
import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'

const deploy = readFileSync('deploy/system.toml', 'utf8')
const [program, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
const template = readFileSync(/^template = "(.*)"$/m.exec(deploy)[1], 'utf8')

/** Bounds of the small deployments, as their settings state them. */
const bounds = {
  configApplyMs: 2000,
  revokeMs: 5000,
  strictRevoke: true,
  retryBudget: 0.2,
  retrySlack: 52,
  budgetWindowS: 10,
  graceS: 8,
  versionApplyMs: 8000
}
const limits = { cpuShare: 0.675, cores: 1, memoryMb: 200, maxFds: 4100 }

const fill = values => template.replace(/\{\{([\w.]+)\}\}/g, (_match, path) =>
  String(path.split('.').reduce((value, name) => value?.[name], values) ?? ''))

/** Finds free ports of a loopback address. */
export const freePorts = async (host, count) => {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise(resolve => {
    const server = createServer()
    server.listen(0, host, () => resolve(server))
  })))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => { server.close(resolve) })))
  return ports
}

/**
 * Creates an instance, which is not started.
 *
 * @param options - its id, loopback address and zone, the address of the store and the folder for its files
 */
export const createGateway = async ({ id, host, zone, store, folder, record, cpu = limits.cpuShare }) => {
  const [front, ready, directory, peer] = await freePorts(host, 4)
  const file = join(folder, `${id}.conf`)
  writeFileSync(file, fill({
    node: id,
    zone,
    ip: host,
    limits: { ...limits, cpuShare: cpu },
    listen: { front: `${host}:${front}`, ready: `${host}:${ready}`, directory: `${host}:${directory}` },
    portRange: [peer, peer + 15],
    platform: { address: store },
    bounds
  }))
  let child
  let starts = 0
  let isClosed = false

  const start = () => {
    // A restart may be due after the end of a play.
    if (isClosed) return
    starts++
    const log = createWriteStream(join(folder, `${id}.${starts}.log`))
    const started = spawn(program, words, { env: { PATH: process.env.PATH, HOME: process.env.HOME, WASABIREEL_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    child = started
    started.stdout.pipe(log)
    started.stderr.pipe(log)
    record({ what: 'instance started', id })
    started.on('exit', (code, signal) => {
      record({ what: 'instance ended', id, code, signal })
      if (child === started) child = undefined
    })
  }

  const isReady = async () => {
    try {
      return (await fetch(`http://${host}:${ready}/-/ready`, { signal: AbortSignal.timeout(500) })).status === 200
    } catch {
      return false
    }
  }

  return {
    id,
    host,
    front,
    directory,
    peer,
    ready,
    start,
    isReady,
    isRunning: () => child !== undefined,
    signal: name => {
      record({ what: 'signal', id, signal: name })
      child?.kill(name)
    },
    close: async () => {
      isClosed = true
      const ending = child
      if (ending === undefined) return
      const ended = new Promise(resolve => { ending.on('exit', resolve) })
      ending.kill('SIGKILL')
      await ended
    }
  }
}
