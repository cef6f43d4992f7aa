/** Creates the state of a request that has been admitted. */
import type { Route, Workspace } from '../catalog/catalogTypes.js'
import type { Call } from '../ports/forwardPort.js'
import type { Exchange } from './forwardingTypes.js'

/** A request, and what its admission has found. */
export interface AdmittedCall {
  readonly request: number
  readonly call: Call
  readonly route: Route
  readonly workspace: Workspace | undefined
  readonly service: string
}

/**
 * Creates the state of a request that no worker has got yet.
 *
 * @param admitted - the request
 * @param now - when it arrived, in ms
 */
export const createExchange = ({ request, call, route, workspace, service }: AdmittedCall, now: number): Exchange => ({
  request,
  call,
  route,
  workspace,
  service,
  arrivedAt: now,
  deadline: now + Math.min(call.patience ?? Infinity, route.timeout),
  sentTo: new Set(),
  excluded: new Map(),
  credit: undefined,
  retryCount: 0,
  mayHaveRun: false,
  attempt: undefined,
  second: undefined,
  relay: undefined,
  relayCount: 0,
  relayAfter: now,
  secondCount: 0,
  crashCount: 0,
  nextSecondAt: now,
  lastFailure: undefined,
  awaitsPeerFor: undefined,
  origin: undefined,
  streamBegun: false,
  headSent: false,
  lastEventId: undefined,
  events: 0,
  firstEventAt: undefined,
  lastEventAt: undefined
})
