/** What the node's features read from the settings. */
import type { EndpointDescriptor, LoadedModel } from '../endpoints/endpointsTypes.js'
import type { DesiredModel } from '../orders/ordersTypes.js'
import type { Member } from '../ports/membershipPort.js'
import type { Ruleset } from '../rules/rulesTypes.js'
import type { Settings } from '../settings/settingsSchema.js'

/**
 * Endpoints that the settings name.
 *
 * @param settings - checked settings
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
 * Endpoints by the plain service that they serve.
 *
 * @param settings - checked settings
 * @returns ids by service name
 */
export const endpointsByService = (settings: Settings): ReadonlyMap<string, readonly string[]> => {
  const services = new Map<string, string[]>()
  for (const [id, { service }] of Object.entries(settings.service)) {
    services.set(service, [...(services.get(service) ?? []), id])
  }
  return services
}

const nameOf = ({ model, adapter }: Pick<LoadedModel, 'model' | 'adapter'>): string => `${model}+${adapter ?? ''}`

/**
 * Which workers are meant to hold which model: the settings name the workers,
 * the rules the weight version in force.
 *
 * @param settings - checked settings
 * @param ruleset - rules in force
 * @returns one row for each model and adapter that both know
 */
export const desiredModels = (settings: Settings, ruleset: Ruleset | undefined): readonly DesiredModel[] => {
  const rows = new Map<string, DesiredModel & { readonly workers: string[] }>()
  for (const [worker, { models }] of Object.entries(settings.worker)) {
    for (const { model, adapter } of models) {
      const ruled = ruleset?.models().get(model)
      if (ruled === undefined || (adapter !== undefined && !ruled.adapters.includes(adapter))) continue
      const row = rows.get(nameOf({ model, adapter })) ?? { model, adapter, weightVersion: ruled.weightVersion, workers: [] }
      if (!row.workers.includes(worker)) row.workers.push(worker)
      rows.set(nameOf(row), row)
    }
  }
  return [...rows.values()]
}

/** This process: its name of this start and the ports it listens on. */
export interface ProcessIdentity {
  readonly incarnation: string
  readonly callerPort: number
  readonly peerPort: number
}

/**
 * This instance as a member.
 *
 * @param settings - checked settings
 * @param self - ports and incarnation of this process
 * @returns the member, live
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

/** Port of a seed's caller address until the seed itself tells it. */
const unknownPort = 0

/**
 * The instances that the settings name, as members that have not been heard of.
 *
 * @param settings - checked settings
 * @returns one member for each seed but this instance
 */
export const seedMembers = (settings: Settings): readonly Member[] =>
  settings.peer.seeds
    .filter(({ id }) => id !== settings.instance.id)
    .map(({ id, host, port }) => ({
      id,
      kind: 'entry',
      incarnation: '',
      address: { host, port: unknownPort },
      peer: { host, port },
      dataCentre: '',
      state: 'live',
      size: 1
    }))
