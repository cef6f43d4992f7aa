import { formatLogLine, parseLogLine, requestTimeline, type LogLine } from './requestTimeline.js'

const line = (second: number, fields: Partial<LogLine> & { readonly msg: string }): LogLine => ({
  time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString(),
  instance: 'e1',
  ...fields
})

describe('the timeline of a request', () => {
  it('contains the lines of the request from all instances in order of time', () => {
    const lines = [line(3, { msg: 'answered', id: 'r1', worker: 'w1' }), line(1, { msg: 'sent', id: 'r1', worker: 'w1', instance: 'e2' }), line(2, { msg: 'sent', id: 'r2' })]
    expect(requestTimeline('r1', lines).map(({ msg }) => msg)).toEqual(['sent', 'answered'])
  })

  it('contains lines about the state of its workers close in time, and none about other workers', () => {
    const lines = [
      line(10, { msg: 'sent', id: 'r1', worker: 'w1' }),
      line(11, { msg: 'workerDoubted', worker: 'w1' }),
      line(11, { msg: 'workerDoubted', worker: 'w2' }),
      line(30, { msg: 'workerProbed', worker: 'w1' })
    ]
    expect(requestTimeline('r1', lines).map(({ msg }) => msg)).toEqual(['sent', 'workerDoubted'])
  })

  it('is empty for a request id that no line has', () => {
    expect(requestTimeline('r9', [line(1, { msg: 'sent', id: 'r1' })])).toEqual([])
  })

  it('is read from lines with or without a prefix, ignoring text that is not a log line', () => {
    expect(parseLogLine('  1.2 e1 {"time":"t","instance":"e1","msg":"sent"}')).toMatchObject({ msg: 'sent' })
    expect(parseLogLine('{"half":')).toBeUndefined()
    expect(parseLogLine('plain words')).toBeUndefined()
  })

  it('is formatted as time, instance, event name and fields', () => {
    expect(formatLogLine(line(1, { msg: 'sent', id: 'r1', worker: 'w1', cause: 'first' }))).toBe('2026-01-01T00:00:01.000Z e1 sent worker=w1 cause=first')
  })
})
