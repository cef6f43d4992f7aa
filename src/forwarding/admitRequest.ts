/** Admission of requests: finds the route, checks the API key and chooses the service. */
import type { Route, Workspace } from '../catalog/catalogTypes.js'
import type { Call } from '../ports/forwardPort.js'
import { chooseService } from './chooseService.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import type { Refusal } from './refusal.js'

/** Whether a request may be forwarded; `workspace` is undefined on routes that need no key. */
export type AdmissionResult =
  | { readonly kind: 'admitted', readonly route: Route, readonly workspace: Workspace | undefined, readonly service: string }
  | { readonly kind: 'refused', readonly refusal: Refusal }

const refused = (refusal: Refusal): AdmissionResult => ({ kind: 'refused', refusal })

/** A key or route that is missing here may be in a newer configuration unless there is recent proof that this one is the newest; `age` of the proof in ms. */
const refusalForMissing = (context: ForwardingContext, age: number, refusal: Refusal): Refusal =>
  age < context.bounds().absence ? refusal : { kind: 'unprovenConfiguration' }

/**
 * Decides whether a request that has arrived may be forwarded.
 *
 * @param context - configuration and state of the instance
 * @param call - the request
 * @param time - present time
 * @returns route, workspace and service of the request, or why it is refused
 */
export const admitRequest = (context: ForwardingContext, call: Call, { moment }: DecisionTime): AdmissionResult => {
  const index = context.catalog()
  if (index === undefined) return refused({ kind: 'noConfiguration' })
  const age = context.lease.age(moment)
  const route = index.findRoute(call.host, call.path)
  if (route === undefined) return refused(refusalForMissing(context, age, { kind: 'noRoute' }))
  const isOpen = route.open || index.catalog.workspaces === undefined
  const workspace = isOpen || call.key === undefined ? undefined : index.findWorkspace(call.key)
  if (!isOpen && workspace === undefined) return refused(refusalForMissing(context, age, { kind: 'unknownKey' }))
  if (!isOpen && age >= context.bounds().keys) return refused({ kind: 'unprovenConfiguration' })
  const service = chooseService(context, route, call)
  return service === undefined ? refused({ kind: 'noWorker' }) : { kind: 'admitted', route, workspace, service }
}
