/**
 * Capacity benchmark (`npm run bench:slopes`): measures the cost of each feature
 * at several sizes, fits straight lines through the measurements and prints
 * tables of them and of the cost of one node at the design size. With `--write`
 * it also replaces the tables in `docs/CAPACITY.md`.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { loadHash } from '../src/hash.js'
import { measureAll } from './slopes/measurements.js'
import { tablesOf } from './slopes/tables.js'

const page = 'docs/CAPACITY.md'
const beginMarker = '<!-- tables: npm run bench:slopes -- --write -->'
const endMarker = '<!-- end of tables -->'

const startedAt = performance.now()
const logProgress = (name: string): void => console.error(`${Math.round((performance.now() - startedAt) / 1_000)} s: ${name}`)
const tables = tablesOf(await measureAll(await loadHash(), logProgress))
logProgress('done')
console.log(tables)
if (process.argv.includes('--write')) {
  const text = readFileSync(page, 'utf8')
  const [head] = text.split(beginMarker)
  const tail = text.split(endMarker)[1] ?? ''
  writeFileSync(page, `${head}${beginMarker}\n\n${tables}\n${endMarker}${tail}`)
}
