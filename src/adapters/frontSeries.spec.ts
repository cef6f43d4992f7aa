import { playFrontSeries, refusedStatus, responsesOf, wholeRequests, type SeriesCaller, type SeriesOutcome } from '../../test/fakes/frontSeries.js'

const seeds = Array.from({ length: 40 }, (_, index) => index + 1)

let outcome: SeriesOutcome

afterEach(() => outcome.fixture.close())

const leftReasons = (id: string): readonly string[] =>
  outcome.fixture.inputs.flatMap(input => input.kind === 'call.left' && input.id === id ? [input.reason] : [])

const arrivals = (id: string): number =>
  outcome.fixture.inputs.filter(input => input.kind === 'call.arrived' && input.call.id === id).length

/** What went wrong with one request of a caller that stayed; undefined if nothing. */
const faultOf = (caller: SeriesCaller, id: string, index: number): string | undefined => {
  const response = responsesOf(caller)[index]
  if (response?.whole === true && response.status === refusedStatus) return undefined
  if (response?.whole === true) return response.body.trimEnd() !== id ? `${id} got the response to ${response.body.trimEnd()}` : undefined
  if (caller.sent.some(other => outcome.aborted.has(other))) return undefined
  if (arrivals(id) > 0) return `${id} was passed on and has no whole response: ${leftReasons(id).join()}`
  const announced = responsesOf(caller).some(({ headers }) => /connection: close/i.test(headers))
  return announced || outcome.hasShutDown ? undefined : `${id} arrived whole and has neither a response nor a reason`
}

describe('a front server', () => {
  it.each(seeds)('answers each whole request of a caller that stays, in series %i', async seed => {
    outcome = await playFrontSeries(seed)
    const staying = outcome.callers.filter(({ hasLeft }) => !hasLeft)
    const faults = staying.flatMap(caller => wholeRequests(caller).map((id, index) => faultOf(caller, id, index)))
    expect(faults.filter(fault => fault !== undefined)).toEqual([])
    const reports = outcome.callers.flatMap(({ sent }) => sent).map(leftReasons)
    expect(reports.filter(reasons => reasons.length > 1 || reasons.includes('unknown'))).toEqual([])
  })
})
