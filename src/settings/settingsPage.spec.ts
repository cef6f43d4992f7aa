import { readFileSync } from 'node:fs'
import { settingsPage } from './settingsPage.js'

describe('docs/SETTINGS.md', () => {
  it('is what `npm run pages` writes', () => {
    expect(readFileSync('docs/SETTINGS.md', 'utf8')).toBe(settingsPage())
  })

  it('gives every key a unit, what is allowed and a meaning', () => {
    const rows = settingsPage().split('\n').filter(line => line.startsWith('| `'))
    expect(rows.filter(row => /\|\s+\|/.test(row))).toEqual([])
    expect(rows.length).toBeGreaterThan(40)
  })
})
