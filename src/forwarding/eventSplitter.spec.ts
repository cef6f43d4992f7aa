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
})
