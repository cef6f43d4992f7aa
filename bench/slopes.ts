/**
 * Measures what each feature costs at several sizes, fits the slopes, works out
 * the cost at the size to design for and prints it as tables: `npm run
 * bench:slopes`. With `--write` the tables in `docs/CAPACITY.md` are replaced.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { loadHash } from '../src/hash.js'
import { measureAll } from './slopes/measurements.js'
import { tablesOf } from './slopes/tables.js'

const page = 'docs/CAPACITY.md'
const begin = '<!-- tables: npm run bench:slopes -- --write -->'
const end = '<!-- end of tables -->'

const began = performance.now()
const note = (what: string): void => console.error(`${Math.round((performance.now() - began) / 1_000)} s: ${what}`)
const tables = tablesOf(await measureAll(await loadHash(), note))
note('done')
console.log(tables)
if (process.argv.includes('--write')) {
  const text = readFileSync(page, 'utf8')
  const [head] = text.split(begin)
  const tail = text.split(end)[1] ?? ''
  writeFileSync(page, `${head}${begin}\n\n${tables}\n${end}${tail}`)
}
