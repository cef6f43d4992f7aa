/** What the scripts of all cases share: the record, the time limit, the exit codes and the end of all processes. */
import { rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { createFolder, createGateway, waitUntilReady } from './gateway.mjs'
import { startStore } from './store.mjs'

/** Time after which a case that has not ended counts as one that could not run, in ms. */
const timeLimit = 110_000

export const sleep = time => new Promise(resolve => { setTimeout(resolve, time) })

/** Whether the disruption is to be played. */
export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * Plays a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param folder - folder of the case, for its record
 * @param play - gets the scene; returns `broken`, whether the rule was broken, `summary`, and `records`, the lines of the record
 */
export const playCase = async (folder, play) => {
  const settings = createFolder()
  const store = await startStore()
  const gateways = []
  const startedAt = Date.now()
  const events = []

  const note = (kind, fields = {}) => { events.push({ at: Date.now() - startedAt, kind, ...fields }) }

  const end = async code => {
    for (const gateway of gateways) {
      gateway.signal('SIGCONT')
      gateway.signal('SIGKILL')
    }
    await Promise.all(gateways.map(gateway => gateway.ended()))
    rmSync(settings, { recursive: true, force: true })
    process.exit(code)
  }

  const write = lines => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)

  const fail = error => {
    write([`could not run: ${error instanceof Error ? error.message : String(error)}`, ...events.map(event => JSON.stringify(event))])
    console.error(error)
    return end(2)
  }
  setTimeout(() => fail(new Error('the time limit has passed')), timeLimit).unref()
  process.on('uncaughtException', fail)
  process.on('unhandledRejection', fail)

  for (const name of ['SIGTERM', 'SIGINT']) process.on(name, () => fail(new Error(`ended by ${name}`)))

  /** Starts instances and waits until they are ready. */
  const startGateways = async count => {
    for (let index = 1; index <= count; index++) gateways.push(await createGateway({ id: `front-${index}`, store: store.address, folder: settings }))
    for (const gateway of gateways) gateway.start()
    await waitUntilReady(gateways)
    note('ready', { gateways: count })
    return gateways
  }

  try {
    const { broken, summary, records } = await play({ store, startGateways, note, since: time => time - startedAt })
    const text = `${broken ? 'BROKEN' : 'held'}${hasTrouble ? '' : ' (without the disruption)'}: ${summary}`
    write([text, ...events.map(event => JSON.stringify(event)), ...records.map(record => JSON.stringify(record))])
    console.log(text)
    await end(broken ? 1 : 0)
  } catch (error) {
    await fail(error)
  }
}
