import { err, ok, type Result } from 'neverthrow'
import { createFileWatcher } from './fileWatcher.js'
import type { UnreadableFile } from './textFile.js'

const build = (loaded: string) => {
  const changes: string[] = []
  const file: { now: Result<string, UnreadableFile> } = { now: ok(loaded) }
  return { changes, file, checkFile: createFileWatcher({ read: () => file.now, onChange: text => changes.push(text) }, loaded) }
}

describe('the watch of a settings file', () => {
  it('takes a change that was made before the first look', () => {
    const { changes, file, checkFile } = build('a')
    file.now = ok('b')
    checkFile()
    checkFile()
    expect(changes).toEqual(['b'])
  })

  it('takes nothing from a file that is away for a moment, and what it says afterwards', () => {
    const { changes, file, checkFile } = build('a')
    file.now = err({ kind: 'unreadableFile', file: 'x', reason: 'ENOENT' })
    checkFile()
    expect(changes).toEqual([])
    file.now = ok('c')
    checkFile()
    expect(changes).toEqual(['c'])
  })
})
