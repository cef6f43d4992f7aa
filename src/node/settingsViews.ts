/** Derives from the settings what the node's features need: endpoints, desired models and members. */
import type { EndpointDescriptor, LoadedModel } from '../endpoints/endpointsTypes.js'
import type { DesiredModel } from '../orders/ordersTypes.js'
import type { Member } from '../ports/membershipPort.js'
import type { Ruleset } from '../rules/rulesTypes.js'
import type { Settings } from '../settings/settingsSchema.js'

/**
 * Lists the endpoints that the settings declare.
 *
 * @param settings - validated settings
 * @returns workers and services
 */
export const configuredEndpoints = (settings: Settings): readonly EndpointDescriptor[] => [
  ...Object.entries(settings.worker).map(([id, worker]): EndpointDescriptor => ({
    id,
    kind: 'worker',
    address: { host: worker.host, port: worker.port },
    dataCentre: worker.data_centre,
    fenced: worker.fenced,
    slots: worker.slots,
    models: worker.models
  })),
  ...Object.entries(settings.service).map(([id, service]): EndpointDescriptor => ({
    id,
    kind: 'service',
    address: { host: service.host, port: service.port },
    dataCentre: service.data_centre,
    fenced: false,
    slots: service.slots,
    models: [{ model: service.service, weightVersion: '' }]
  }))
]

/**
 * Groups the service endpoints by the plain service that they serve.
 *
 * @param settings - validated settings
 * @returns endpoint ids by service name
 */
export const endpointsByService = (settings: Settings): ReadonlyMap<string, readonly string[]> => {
  const services = new Map<string, string[]>()
  for (const [id, { service }] of Object.entries(settings.service)) {
    services.set(service, [...(services.get(service) ?? []), id])
  }
  return services
}

const modelKey = ({ model, adapter }: Pick<LoadedModel, 'model' | 'adapter'>): string => `${model}+${adapter ?? ''}`

/**
 * Computes which workers should hold which model: the settings declare the
 * workers, the rules the weight version in force.
 *
 * @param settings - validated settings
 * @param ruleset - rules in force, if any
 * @returns one row for each model and adapter that both the settings and the rules declare
 */
export const desiredModels = (settings: Settings, ruleset: Ruleset | undefined): readonly DesiredModel[] => {
  const rows = new Map<string, DesiredModel & { readonly workers: string[] }>()
  for (const [worker, { models }] of Object.entries(settings.worker)) {
    for (const { model, adapter } of models) {
      const modelRules = ruleset?.models().get(model)
      if (modelRules === undefined || (adapter !== undefined && !modelRules.adapters.includes(adapter))) continue
      const row = rows.get(modelKey({ model, adapter })) ?? { model, adapter, weightVersion: modelRules.weightVersion, workers: [] }
      if (!row.workers.includes(worker)) row.workers.push(worker)
      rows.set(modelKey(row), row)
    }
  }
  return [...rows.values()]
}

/** Identity of this process: its incarnation, unique to each start, and the ports it listens on. */
export interface ProcessIdentity {
  readonly incarnation: string
  readonly callerPort: number
  readonly peerPort: number
}

/**
 * Describes this instance as a member.
 *
 * @param settings - validated settings
 * @param self - incarnation and ports of this process
 * @returns the member, in state `live`
 */
export const selfMember = (settings: Settings, self: ProcessIdentity): Member => ({
  id: settings.instance.id,
  kind: 'entry',
  incarnation: self.incarnation,
  address: { host: settings.caller.host, port: self.callerPort },
  peer: { host: settings.peer.host, port: self.peerPort },
  dataCentre: settings.instance.data_centre,
  state: 'live',
  size: settings.instance.size
})

/** Placeholder for the caller port of a seed, until the seed announces it. */
const unannouncedPort = 0

/**
 * Lists the seeds in the settings as members, as they are known before gossip supplies their details.
 *
 * @param settings - validated settings
 * @returns one member, without incarnation and caller port, for each seed except this instance
 */
export const seedMembers = (settings: Settings): readonly Member[] =>
  settings.peer.seeds
    .filter(({ id }) => id !== settings.instance.id)
    .map(({ id, host, port }) => ({
      id,
      kind: 'entry',
      incarnation: '',
      address: { host, port: unannouncedPort },
      peer: { host, port },
      dataCentre: '',
      state: 'live',
      size: 1
    }))
