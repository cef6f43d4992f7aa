/** Chooses an endpoint for a call to a plain service: the fewest own calls in flight, at random among equals. */
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import type { Endpoint } from '../endpoints/endpointsTypes.js'
import type { Random } from '../random.js'
import type { NoEndpoint, ServiceChoice, ServiceRoutingRequest } from './routingTypes.js'

/** The service calls of one instance. */
export interface ServiceChooser {
  readonly choose: (question: ServiceRoutingRequest, endpoints: readonly Endpoint[]) => Result<ServiceChoice, NoEndpoint>
  readonly started: (endpoint: string) => void
  readonly ended: (endpoint: string) => void
  readonly dump: () => Readonly<Record<string, number>>
}

const offers = (question: ServiceRoutingRequest, endpoint: Endpoint): boolean =>
  endpoint.kind === 'service' && endpoint.state === 'live' && endpoint.models.some(held => held.model === question.service)

/**
 * Creates the chooser.
 *
 * @param random - breaks ties
 * @param dataCentre - calls stay in it while it has an endpoint with free slots; undefined prefers none
 * @returns a chooser with nothing in flight
 */
export const createServiceChooser = (random: Random, dataCentre?: string): ServiceChooser => {
  const inFlight = new Map<string, number>()

  const load = (endpoint: Endpoint): number => {
    const calls = inFlight.get(endpoint.id) ?? 0
    const full = calls >= endpoint.slots ? endpoint.slots : 0
    const far = dataCentre === undefined || endpoint.dataCentre === dataCentre ? 0 : endpoint.slots / 2
    return (calls + full + far) / Math.max(1, endpoint.slots)
  }

  const choose = (question: ServiceRoutingRequest, endpoints: readonly Endpoint[]): Result<ServiceChoice, NoEndpoint> => {
    const offering = endpoints.filter(endpoint => offers(question, endpoint))
    if (offering.length === 0) return err({ kind: 'noEndpoint', reason: 'noService', service: question.service })
    const open = offering.filter(({ id }) => !question.exclude.includes(id) && (question.allowed?.includes(id) ?? true))
    if (open.length === 0) return err({ kind: 'noEndpoint', reason: 'allExcluded' })
    const least = Math.min(...open.map(load))
    const equals = open.filter(endpoint => load(endpoint) === least)
    const chosen = equals[random.below(equals.length)]
    return ok({ endpoint: chosen.id, incarnation: chosen.incarnation })
  }

  const started = (endpoint: string): void => {
    inFlight.set(endpoint, (inFlight.get(endpoint) ?? 0) + 1)
  }

  const ended = (endpoint: string): void => {
    const left = (inFlight.get(endpoint) ?? 0) - 1
    if (left <= 0) inFlight.delete(endpoint)
    else inFlight.set(endpoint, left)
  }

  return { choose, started, ended, dump: () => Object.fromEntries(inFlight) }
}
