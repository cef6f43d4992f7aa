/** A plain service in virtual time; its record says what really ran. */
import type { EndpointEffect, EndpointInput } from '../../src/ports/endpointPort.js'
import type { VirtualTime } from './virtualTime.js'

/** What happens to a call. */
export type ServiceOutcome = 'run' | 'cutBefore' | 'cutAfter' | 'refuse' | { readonly slow: number }

/** One run of a call. */
export interface ServiceRun {
  readonly service: string
  readonly key: string
  readonly at: number
}

/** The service. */
export interface FakeService {
  readonly id: string
  readonly runs: readonly ServiceRun[]
  leaving: boolean
  readonly incarnation: () => string
  readonly isAlive: () => boolean
  readonly dispatch: (effect: Extract<EndpointEffect, { kind: 'endpoint.dispatch' }>, deliver: (input: EndpointInput) => void, fate: ServiceOutcome) => void
  readonly crash: () => void
  readonly restart: () => void
}

const runTime = 20

/**
 * Creates a service.
 *
 * @param id - its id
 * @param time - the clock
 */
export const createFakeService = (id: string, time: VirtualTime): FakeService => {
  const runs: ServiceRun[] = []
  let starts = 1
  let alive = true

  const run = (key: string): number => runs.push({ service: id, key, at: time.now() })

  const dispatch: FakeService['dispatch'] = ({ attempt, request }, deliver, fate) => {
    if (request.kind !== 'service') return
    if (!alive || fate === 'refuse') return deliver({ kind: 'endpoint.failed', attempt, failure: 'refused', sent: false })
    if (fate === 'cutBefore') return deliver({ kind: 'endpoint.failed', attempt, failure: 'cut', sent: true })
    const planned = starts
    const key = request.headers['idempotency-key'] ?? request.id
    time.after(typeof fate === 'object' ? fate.slow : runTime, () => {
      if (!alive || planned !== starts) return deliver({ kind: 'endpoint.failed', attempt, failure: 'cut', sent: true })
      const n = run(key)
      if (fate === 'cutAfter') return deliver({ kind: 'endpoint.failed', attempt, failure: 'cut', sent: true })
      deliver({ kind: 'endpoint.answer', attempt, requestId: request.id, status: 200, headers: { 'content-type': 'application/json' }, body: Buffer.from(JSON.stringify({ ran: key, n })) })
    })
  }

  return {
    id,
    runs,
    leaving: false,
    incarnation: () => `${id}-${starts}`,
    isAlive: () => alive,
    dispatch,
    crash: () => { alive = false },
    restart: () => {
      alive = true
      starts++
    }
  }
}
