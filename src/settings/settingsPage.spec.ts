import { readFileSync } from 'node:fs'
import { settingsPage } from './settingsPage.js'

describe('docs/SETTINGS.md', () => {
  it('matches the output of `npm run pages`', () => {
    expect(readFileSync('docs/SETTINGS.md', 'utf8')).toBe(settingsPage())
  })

  it('lists a unit, allowed values and a description for every key', () => {
    const rows = settingsPage().split('\n').filter(line => line.startsWith('| `'))
    expect(rows.filter(row => /\|\s+\|/.test(row))).toEqual([])
    expect(rows.length).toBeGreaterThan(40)
  })
})
