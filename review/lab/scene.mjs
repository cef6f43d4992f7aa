/**
 * The frame of a script: folder, record of what happened, clean-up and exit status. The codes are none that Node.js itself uses;
 * `run.sh` turns them into 1, 0 and 2, so that a script that cannot start is not taken for a broken or a kept rule.
 */
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

const brokenCode = 110
const heldCode = 100
const notRunCode = 120

export const isTroubled = process.env.TROUBLE !== '0'

/**
 * Plays a case and ends the process with the code for a broken rule, one that held, or a case that could not run.
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
  let status = notRunCode
  const finish = async () => {
    for (const close of closers.reverse()) await close()
    writeFileSync(join(here, 'record.txt'), `${lines.join('\n')}\n`)
    if (process.env.KEEP !== undefined) cpSync(folder, process.env.KEEP, { recursive: true })
    rmSync(folder, { recursive: true, force: true })
    process.exit(status)
  }
  const limit = setTimeout(() => {
    record({ what: 'time limit' })
    status = notRunCode
    finish()
  }, 110_000)
  process.on('uncaughtException', error => {
    record({ what: 'unexpected error', error: String(error?.stack ?? error) })
    status = notRunCode
    finish()
  })
  try {
    const broken = await play({ folder, record, now, defer: close => closers.push(close) })
    for (const text of broken) record({ what: 'RULE BROKEN', text })
    status = broken.length > 0 ? brokenCode : heldCode
    console.log(broken.length > 0 ? broken.join('\n') : 'the rule held')
  } catch (error) {
    record({ what: 'the case could not run', error: String(error?.stack ?? error) })
    console.error(error)
  }
  clearTimeout(limit)
  await finish()
}
