/** Guards against a planned stop that cuts off requests which have just been accepted: each is answered, or never read, so that its caller may send it elsewhere. */
import { requestText, startFront, suspend, type FrontFixture } from '../../test/fixtures/front.js'
import { waitFor } from '../../test/fakes/waitFor.js'
import { afterNextRead } from './nextRead.js'

const answerAll = (fixture: FrontFixture): void => {
  for (const input of fixture.inputs) if (input.kind === 'call.arrived') fixture.answer(input.request, input.call.id)
}

/** Requests that were read and are not answered whole. */
const cutOff = (fixture: FrontFixture): readonly unknown[] => fixture.inputs.filter(({ kind }) => kind === 'call.left')

/** Sends a request on another connection and waits for its answer, by when the server has read what came before. */
const exchangeOnOther = async (fixture: FrontFixture): Promise<void> => {
  const other = await fixture.open()
  other.socket.write(requestText('other'))
  fixture.answer(await fixture.arrived('other'), 'other')
  await waitFor(() => other.text().endsWith('other'))
}

describe('a server for callers that stops', () => {
  it('answers or never reads a request that comes on a connection without requests, at any time until all connections are closed', async () => {
    const fixture = await startFront()
    const callers = await Promise.all(Array.from({ length: 12 }, () => fixture.open()))
    fixture.front.setClosing()
    fixture.front.closeListener()
    let flushed = false
    const drained = fixture.front.flushed().then(() => { flushed = true })
    for (const [index, { socket }] of callers.entries()) {
      socket.write(requestText(`r${index}`))
      await new Promise(resolve => setImmediate(resolve))
      answerAll(fixture)
    }
    const timer = setInterval(() => answerAll(fixture), 1)
    await drained
    clearInterval(timer)
    fixture.front.destroy()
    await waitFor(() => flushed && callers.every(({ isClosed }) => isClosed()))
    const read = fixture.inputs.flatMap(input => input.kind === 'call.arrived' ? [input.call.id] : [])
    const answered = callers.flatMap(({ text }, index) => text().endsWith(`r${index}`) ? [`r${index}`] : [])
    expect(answered).toEqual(read)
    expect(cutOff(fixture)).toEqual([])
    fixture.close()
  })

  it('closes the connections that have carried no request when it stops listening, though a request of another one is under way', async () => {
    const fixture = await startFront()
    const [busy, unused] = [await fixture.open(), await fixture.open()]
    busy.socket.write(requestText('long'))
    const long = await fixture.arrived('long')
    fixture.front.setClosing()
    fixture.front.closeListener()
    await waitFor(() => unused.isClosed() && fixture.ends.length > 0)
    expect(fixture.ends).toEqual(['shutdown'])
    expect(busy.isClosed()).toBe(false)
    fixture.answer(long, 'long')
    await waitFor(() => busy.isClosed())
    expect(busy.text()).toMatch(/long$/)
    fixture.close()
  })

  it('reads no request after it reports that nothing is left to answer', async () => {
    const fixture = await startFront()
    const unused = await fixture.open()
    fixture.front.closeListener()
    await fixture.front.flushed()
    unused.socket.write(requestText('late'))
    await waitFor(() => unused.isClosed())
    expect(fixture.inputs).toEqual([])
    fixture.close()
  })

  it('accepts the connections that wait in the kernel while the process is held up, and answers their requests', async () => {
    const fixture = await startFront()
    const kept = await fixture.open()
    kept.socket.write(requestText('first'))
    fixture.answer(await fixture.arrived('first'), 'first')
    await waitFor(() => kept.text().endsWith('first'))
    const opening = [fixture.open(), fixture.open()]
    kept.socket.write(requestText('kept'))
    await new Promise<void>(resolve => process.nextTick(resolve))
    suspend(20)
    fixture.front.setClosing()
    fixture.front.closeListener()
    const callers = await Promise.all(opening)
    callers.forEach(({ socket }, index) => socket.write(requestText(`new${index}`)))
    for (const id of ['kept', 'new0', 'new1']) fixture.answer(await fixture.arrived(id), id)
    await fixture.front.flushed()
    expect([kept, ...callers].map(({ text }) => text().split('\r\n\r\n').at(-1))).toEqual(['kept', 'new0', 'new1'])
    fixture.close()
  })

  it('waits for a request whose head has arrived in part, and answers it', async () => {
    const fixture = await startFront()
    const caller = await fixture.open()
    caller.socket.write('POST /a/x HTTP/1.1\r\nHost: a.exa')
    await exchangeOnOther(fixture)
    fixture.front.setClosing()
    fixture.front.closeListener()
    const drained = fixture.front.flushed()
    for (let turn = 0; turn < 5; turn++) await new Promise<void>(resolve => afterNextRead(resolve))
    caller.socket.write('mple\r\nX-Request-Id: parts\r\nContent-Length: 0\r\n\r\n')
    fixture.answer(await fixture.arrived('parts'), 'parts')
    await drained
    await waitFor(() => caller.isClosed())
    expect(caller.text()).toMatch(/parts$/)
    fixture.close()
  })
})
