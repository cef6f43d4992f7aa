/**
 * Chooses an endpoint for a call to a service other than a model: the one with the fewest calls of
 * this instance in flight relative to its slots, and a random one among ties. Full endpoints and
 * those in other data centres rank lower.
 */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { Random } from '../random.js'
import type { NoEndpoint, ServiceChoice, ServiceRoutingRequest } from './routingTypes.js'

/** Chooses endpoints for the service calls of one instance, and counts the calls in flight. */
export interface ServiceChooser {
  /** Chooses an endpoint; the call counts only once `started` is called. */
  readonly choose: (request: ServiceRoutingRequest, endpoints: readonly Endpoint[]) => Result<ServiceChoice, NoEndpoint>
  /** Counts a call dispatched to the endpoint with this id. */
  readonly started: (endpoint: string) => void
  /** Removes a call to the endpoint with this id from the count. */
  readonly ended: (endpoint: string) => void
  /** Returns the calls in flight by endpoint id, for the state dump. */
  readonly dump: () => Readonly<Record<string, number>>
}

const offers = (request: ServiceRoutingRequest, endpoint: Endpoint): boolean =>
  endpoint.kind === 'service' && endpoint.state === 'live' && endpoint.models.some(held => held.model === request.service)

/**
 * Creates a service chooser.
 *
 * @param random - breaks ties
 * @param dataCentre - the preferred data centre: endpoints elsewhere count as if half of their slots were taken; undefined prefers none
 * @returns a chooser with no calls in flight
 */
export const createServiceChooser = (random: Random, dataCentre?: string): ServiceChooser => {
  const inFlight = new Map<string, number>()

  const load = (endpoint: Endpoint): number => {
    const calls = inFlight.get(endpoint.id) ?? 0
    const fullPenalty = calls >= endpoint.slots ? endpoint.slots : 0
    const remotePenalty = dataCentre === undefined || endpoint.dataCentre === dataCentre ? 0 : endpoint.slots / 2
    return (calls + fullPenalty + remotePenalty) / Math.max(1, endpoint.slots)
  }

  const choose = (request: ServiceRoutingRequest, endpoints: readonly Endpoint[]): Result<ServiceChoice, NoEndpoint> => {
    const offeringEndpoints = endpoints.filter(endpoint => offers(request, endpoint))
    if (offeringEndpoints.length === 0) return err({ kind: 'noEndpoint', reason: 'noService', service: request.service })
    const eligible = offeringEndpoints.filter(({ id }) => !request.exclude.includes(id) && (request.allowed?.includes(id) ?? true))
    if (eligible.length === 0) return err({ kind: 'noEndpoint', reason: 'allExcluded' })
    const least = Math.min(...eligible.map(load))
    const ties = eligible.filter(endpoint => load(endpoint) === least)
    const chosen = ties[random.below(ties.length)]
    return ok({ endpoint: chosen.id, incarnation: chosen.incarnation })
  }

  const started = (endpoint: string): void => {
    inFlight.set(endpoint, (inFlight.get(endpoint) ?? 0) + 1)
  }

  const ended = (endpoint: string): void => {
    const remaining = (inFlight.get(endpoint) ?? 0) - 1
    if (remaining <= 0) inFlight.delete(endpoint)
    else inFlight.set(endpoint, remaining)
  }

  return { choose, started, ended, dump: () => Object.fromEntries(inFlight) }
}
