import { err, ok, type Result } from 'neverthrow'
import { watchSettings } from './settingsFile.js'
import type { UnreadableFile } from './textFile.js'

const build = (loaded: string) => {
  const taken: string[] = []
  const file: { now: Result<string, UnreadableFile> } = { now: ok(loaded) }
  return { taken, file, look: watchSettings({ read: () => file.now, changed: text => taken.push(text) }, loaded) }
}

describe('the watch of a settings file', () => {
  it('takes a change that was made before the first look', () => {
    const { taken, file, look } = build('a')
    file.now = ok('b')
    look()
    look()
    expect(taken).toEqual(['b'])
  })

  it('takes nothing from a file that is away for a moment, and what it says afterwards', () => {
    const { taken, file, look } = build('a')
    file.now = err({ kind: 'unreadableFile', file: 'x', reason: 'ENOENT' })
    look()
    expect(taken).toEqual([])
    file.now = ok('c')
    look()
    expect(taken).toEqual(['c'])
  })
})
