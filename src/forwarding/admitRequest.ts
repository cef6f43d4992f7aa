/** Whether a request may be forwarded at all: its route, its key, and the service that is to run it. */
import type { Route, Workspace } from '../catalog/catalogTypes.js'
import type { Call } from '../ports/forwardPort.js'
import type { DecisionTime, ForwardingContext } from './forwardingContext.js'
import { chooseService } from './placeRequest.js'
import type { Refusal } from './refusal.js'

/** What became of a request at the door. */
export type AdmissionResult =
  | { readonly kind: 'admitted', readonly route: Route, readonly workspace: Workspace | undefined, readonly service: string }
  | { readonly kind: 'refused', readonly refusal: Refusal }

const refused = (refusal: Refusal): AdmissionResult => ({ kind: 'refused', refusal })

/** What is absent from a configuration may stand in a newer one if the proof of it is old. */
const absent = (context: ForwardingContext, age: number, refusal: Refusal): Refusal =>
  age < context.bounds().absence ? refusal : { kind: 'unprovenConfiguration' }

/**
 * Decides on a request that has arrived.
 *
 * @param context - the instance
 * @param call - the request
 * @param time - present time
 */
export const admitRequest = (context: ForwardingContext, call: Call, { moment }: DecisionTime): AdmissionResult => {
  const index = context.catalog()
  if (index === undefined) return refused({ kind: 'noConfiguration' })
  const age = context.lease.age(moment)
  const route = index.findRoute(call.host, call.path)
  if (route === undefined) return refused(absent(context, age, { kind: 'noRoute' }))
  const isOpen = route.open || index.catalog.workspaces === undefined
  const workspace = isOpen || call.key === undefined ? undefined : index.findWorkspace(call.key)
  if (!isOpen && workspace === undefined) return refused(absent(context, age, { kind: 'unknownKey' }))
  if (!isOpen && age >= context.bounds().keys) return refused({ kind: 'unprovenConfiguration' })
  const service = chooseService(context, route, call)
  return service === undefined ? refused({ kind: 'noWorker' }) : { kind: 'admitted', route, workspace, service }
}
