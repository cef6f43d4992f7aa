import { err, ok, type Result } from 'neverthrow'
import { createFileWatcher } from './fileWatcher.js'
import type { UnreadableFile } from './textFile.js'

const createFixture = (initialText: string) => {
  const changes: string[] = []
  const file: { now: Result<string, UnreadableFile> } = { now: ok(initialText) }
  return { changes, file, checkFile: createFileWatcher({ read: () => file.now, onChange: text => changes.push(text) }, initialText) }
}

describe('createFileWatcher', () => {
  it('reports a change that was made before the first check, and reports it once', () => {
    const { changes, file, checkFile } = createFixture('a')
    file.now = ok('b')
    checkFile()
    checkFile()
    expect(changes).toEqual(['b'])
  })

  it('reports nothing while the file is missing, and reports its new text once it is back', () => {
    const { changes, file, checkFile } = createFixture('a')
    file.now = err({ kind: 'unreadableFile', file: 'x', reason: 'ENOENT' })
    checkFile()
    expect(changes).toEqual([])
    file.now = ok('c')
    checkFile()
    expect(changes).toEqual(['c'])
  })
})
