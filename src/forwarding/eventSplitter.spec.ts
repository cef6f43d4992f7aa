import { createEventSplitter } from './eventSplitter.js'

const push = (chunks: readonly string[]) => {
  const splitter = createEventSplitter()
  const events = chunks.map(chunk => splitter.push(Buffer.from(chunk)))
  return { texts: events.map(event => event?.bytes.toString()), lastId: events.findLast(event => event !== undefined)?.lastId, hasPartialEvent: splitter.hasPartialEvent() }
}

describe('the event splitter', () => {
  it('passes on complete events', () => {
    expect(push(['id: 1\ndata: a\n\n'])).toEqual({ texts: ['id: 1\ndata: a\n\n'], lastId: '1', hasPartialEvent: false })
  })

  it('holds back an event until it is complete', () => {
    expect(push(['id: 1\ndata: a\n\nid: 2\nda', 'ta: b\n\n']).texts).toEqual(['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'])
  })

  it('reports an incomplete event at the end of a stream', () => {
    expect(push(['id: 1\ndata: a\n\nid: 2\n'])).toMatchObject({ lastId: '1', hasPartialEvent: true })
  })

  it('accepts lines that end with a carriage return and a line feed', () => {
    expect(push(['id:7\r\ndata: a\r\n\r\n'])).toEqual({ texts: ['id:7\r\ndata: a\r\n\r\n'], lastId: '7', hasPartialEvent: false })
  })

  it('counts the events of one chunk and returns the last id', () => {
    const events = createEventSplitter().push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n'))
    expect(events).toMatchObject({ count: 2, lastId: '2' })
  })

  it('accepts lines that end with a lone carriage return', () => {
    expect(push(['id: 7\rdata: a\r\rid: 8\rda'])).toEqual({ texts: ['id: 7\rdata: a\r\r'], lastId: '7', hasPartialEvent: true })
    expect(push(['id: 7\rdata: a\n\rid: 8\ndata: b\r\n\r'])).toMatchObject({ lastId: '8', hasPartialEvent: false })
  })

  it('does not hold an event back until the line feed after its last carriage return, and passes that on too', () => {
    expect(push(['id: 7\r\ndata: a\r\n\r', '\n', 'id: 8\r', '\ndata: b\r', '\n\r', '\nid: 9'])).toMatchObject({
      texts: ['id: 7\r\ndata: a\r\n\r', '\n', undefined, undefined, 'id: 8\r\ndata: b\r\n\r', '\n'],
      hasPartialEvent: true
    })
  })

  it('takes a stream that ends without the last empty line for one that ends inside an event', () => {
    for (const ending of ['\n', '\r\n', '\r', '']) expect(push([`id: 1\n\nid: 2\ndata: b${ending}`])).toMatchObject({ lastId: '1', hasPartialEvent: true })
  })

  it('finds an id that is split over chunks, and the events of every way to split a stream', () => {
    const stream = 'id: 11\r\ndata: a\r\n\r\nid: 12\ndata: b\n\n: note\n\nid: 13\rdata: c\r\r'
    for (let first = 0; first <= stream.length; first++) {
      for (let second = first; second <= stream.length; second++) {
        const splitter = createEventSplitter()
        const events = [stream.slice(0, first), stream.slice(first, second), stream.slice(second)].flatMap(chunk => splitter.push(Buffer.from(chunk)) ?? [])
        expect(events.map(({ bytes }) => bytes.toString()).join('')).toBe(stream)
        expect(events.reduce((sum, { count }) => sum + count, 0)).toBe(3)
        expect(events.findLast(({ lastId }) => lastId !== undefined)?.lastId).toBe('13')
        expect(splitter.hasPartialEvent()).toBe(false)
      }
    }
  })

  it('copies an event that arrives in small parts no more than a few times', () => {
    const concat = jest.spyOn(Buffer, 'concat')
    const splitter = createEventSplitter()
    for (let index = 0; index < 10_000; index++) splitter.push(Buffer.from('x'))
    const event = splitter.push(Buffer.from('\n\n'))
    const copied = concat.mock.results.reduce((sum, { value }) => sum + value.length, 0)
    concat.mockRestore()
    expect(event?.bytes.length).toBe(10_002)
    expect(copied).toBeLessThan(50_000)
  })

  it('finds the id of a first event behind a byte order mark, also one split over chunks', () => {
    const stream = Buffer.from('\ufeffid: 1\ndata: a\n\n')
    for (const split of [0, 1, 2, 3, 4]) {
      const splitter = createEventSplitter()
      const events = [stream.subarray(0, split), stream.subarray(split)].map(chunk => splitter.push(chunk))
      expect(events.findLast(event => event !== undefined)).toEqual({ bytes: stream, count: 1, lastId: '1' })
    }
  })
})
