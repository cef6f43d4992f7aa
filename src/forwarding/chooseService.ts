/** Chooses the service of a request, so that requests that share a part of their prompt get the same one. */
import type { Route } from '../catalog/catalogTypes.js'
import { affinityPart } from '../placement/modelPlacement.js'
import type { Call } from '../ports/forwardPort.js'
import type { ForwardingContext } from './forwardingContext.js'

/**
 * Chooses the service of a request from its route's targets in proportion to
 * their weights. The choice is a hash of the request's deepest shared prompt part,
 * so requests that share it get the same service; without a prompt it is a hash of
 * the request's id. Targets without a live worker are left out if any has one.
 *
 * @param context - state of the instance
 * @param route - the request's route
 * @param call - the request
 * @returns the name of the service; undefined if the route has no target
 */
export const chooseService = (context: ForwardingContext, route: Route, call: Call): string | undefined => {
  const usable = route.targets.filter(({ service, weight }) => weight > 0 && context.workers.live(service).length > 0)
  const targets = usable.length > 0 ? usable : route.targets
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  const key = (call.prompt === undefined ? undefined : affinityPart(call.prompt))?.id ?? call.id
  let offset = context.hash.h32(key) / 2 ** 32 * total
  for (const { service, weight } of targets) {
    offset -= weight
    if (offset < 0) return service
  }
  return targets.at(-1)?.service
}
