/** The frame of a script: folder, record of what happened, clean-up and exit status. */
import { mkdtempSync, rmSync, writeFileSync, cpSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'

export const sleep = ms => new Promise(resolve => { setTimeout(resolve, ms) })

/** Waits until a condition holds; returns whether it did in time. */
export const until = async (condition, time, pause = 5) => {
  const end = performance.now() + time
  while (performance.now() < end) {
    if (await condition()) return true
    await sleep(pause)
  }
  return false
}

export const isTroubled = process.env.TROUBLE !== '0'

/**
 * Plays a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param here - folder of the case, for its record
 * @param play - plays it; returns what broke the rule, one text for each
 */
export const run = async (here, play) => {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const begin = performance.now()
  const lines = []
  const closers = []
  const now = () => Math.round(performance.now() - begin)
  const record = entry => { lines.push(JSON.stringify({ at: now(), ...entry })) }
  let status = 2
  const finish = async () => {
    for (const close of closers.reverse()) await close()
    writeFileSync(join(here, 'record.txt'), `${lines.join('\n')}\n`)
    if (process.env.KEEP !== undefined) cpSync(folder, process.env.KEEP, { recursive: true })
    rmSync(folder, { recursive: true, force: true })
    process.exit(status)
  }
  const limit = setTimeout(() => {
    record({ what: 'time limit' })
    status = 2
    finish()
  }, 110_000)
  try {
    const broken = await play({ folder, record, now, defer: close => closers.push(close) })
    for (const text of broken) record({ what: 'RULE BROKEN', text })
    status = broken.length > 0 ? 1 : 0
    console.log(broken.length > 0 ? broken.join('\n') : 'the rule held')
  } catch (error) {
    record({ what: 'the case could not run', error: String(error?.stack ?? error) })
    console.error(error)
  }
  clearTimeout(limit)
  await finish()
}
