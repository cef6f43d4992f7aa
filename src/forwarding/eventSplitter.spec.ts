import { createEventSplitter } from './eventSplitter.js'

const push = (chunks: readonly string[]) => {
  const splitter = createEventSplitter()
  const events = chunks.map(chunk => splitter.push(Buffer.from(chunk)))
  return { texts: events.map(event => event?.bytes.toString()), lastId: events.findLast(event => event !== undefined)?.lastId, isInside: splitter.hasPartialEvent() }
}

describe('the event splitter', () => {
  it('passes whole events on', () => {
    expect(push(['id: 1\ndata: a\n\n'])).toEqual({ texts: ['id: 1\ndata: a\n\n'], lastId: '1', isInside: false })
  })

  it('keeps back an event that is not whole', () => {
    expect(push(['id: 1\ndata: a\n\nid: 2\nda', 'ta: b\n\n']).texts).toEqual(['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'])
  })

  it('says when the stream stopped inside an event', () => {
    expect(push(['id: 1\ndata: a\n\nid: 2\n'])).toMatchObject({ lastId: '1', isInside: true })
  })

  it('knows lines that end with carriage returns', () => {
    expect(push(['id:7\r\ndata: a\r\n\r\n'])).toEqual({ texts: ['id:7\r\ndata: a\r\n\r\n'], lastId: '7', isInside: false })
  })

  it('counts events and takes the last id of several', () => {
    const events = createEventSplitter().push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b\n\n'))
    expect(events).toMatchObject({ count: 2, lastId: '2' })
  })
})
