import { formatLogLine, parseLogLine, requestTimeline, type LogLine } from './requestTimeline.js'

const line = (second: number, over: Partial<LogLine> & { readonly msg: string }): LogLine => ({
  time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(),
  instance: 'e1',
  ...over
})

describe('the story of a request', () => {
  it('holds its own lines in order, from all instances', () => {
    const lines = [line(3, { msg: 'answered', id: 'r1', worker: 'w1' }), line(1, { msg: 'sent', id: 'r1', worker: 'w1', instance: 'e2' }), line(2, { msg: 'sent', id: 'r2' })]
    expect(requestTimeline('r1', lines).map(({ msg }) => msg)).toEqual(['sent', 'answered'])
  })

  it('holds what was believed of its workers around it, and nothing of others', () => {
    const lines = [
      line(10, { msg: 'sent', id: 'r1', worker: 'w1' }),
      line(11, { msg: 'workerDoubted', worker: 'w1' }),
      line(11, { msg: 'workerDoubted', worker: 'w2' }),
      line(30, { msg: 'workerProbed', worker: 'w1' })
    ]
    expect(requestTimeline('r1', lines).map(({ msg }) => msg)).toEqual(['sent', 'workerDoubted'])
  })

  it('is empty for a request that no line names', () => {
    expect(requestTimeline('r9', [line(1, { msg: 'sent', id: 'r1' })])).toEqual([])
  })

  it('reads lines behind a prefix and passes over what is no log line', () => {
    expect(parseLogLine('  1.2 e1 {"time":"t","instance":"e1","msg":"sent"}')).toMatchObject({ msg: 'sent' })
    expect(parseLogLine('{"half":')).toBeUndefined()
    expect(parseLogLine('plain words')).toBeUndefined()
  })

  it('is worded with the fields that decided', () => {
    expect(formatLogLine(line(1, { msg: 'sent', id: 'r1', worker: 'w1', cause: 'first' }))).toBe('2026-01-01T00:00:01.000Z e1 sent worker=w1 cause=first')
  })
})
