/** Guards against a stop that holds its own instance up, as each waiting request looks at all others at every tick. */
import { buildCall, buildRoute } from '../../test/fixtures/forwarding.js'
import { createExchange } from './createExchange.js'
import type { Exchange } from './forwardingTypes.js'
import { createRequestShutdown } from './requestShutdown.js'

const buildExchange = (request: number, isOpen: boolean): Exchange => {
  const exchange = createExchange({ request, call: buildCall({ id: `r${request}` }), route: buildRoute({ timeout: 15_000 }), workspace: undefined, service: 'desk' }, request)
  if (isOpen) exchange.sentTo.add('w1')
  return exchange
}

const never = (): never => { throw new RangeError('Not called here.') }

const build = (longest: number | undefined) => {
  const exchanges = new Map(Array.from({ length: 40 }, (_, index): [number, Exchange] => [index, buildExchange(index, index % 2 === 0)]))
  const values = jest.spyOn(exchanges, 'values')
  const context = { shutdownProgress: () => ({ since: 400, left: 7_000, accepting: true }), durations: { add: never, longest: () => longest }, log: never }
  const responses = { sendRefusal: never, refuse: never, open: never, complete: never, answer: never, abandon: never }
  const shutdown = createRequestShutdown({ context, exchanges, responses, isolation: { run: never } })
  return { values, mayBegin: (now: number) => [...exchanges].filter(([request]) => request % 2 === 1).map(([, exchange]) => shutdown.mayBegin(exchange, now)) }
}

describe('the requests that wait while an instance shuts down', () => {
  it('are judged by one look at the requests in progress for each tick', () => {
    const { values, mayBegin } = build(100)
    expect(mayBegin(3_000)).toEqual(Array.from({ length: 20 }, () => true))
    expect(values).toHaveBeenCalledTimes(1)
    expect(mayBegin(3_600)).toEqual(Array.from({ length: 20 }, () => false))
    expect(values).toHaveBeenCalledTimes(2)
  })
})
