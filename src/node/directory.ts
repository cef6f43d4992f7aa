/** Answers callers that ask where to go: addresses and models. */
import { addressList, workspaceInstances } from '../addresses/addresses.js'
import type { RendezvousHash } from '../addresses/rendezvous.js'
import type { Config } from '../config/configMachine.js'
import type { Membership } from '../membership/membershipTypes.js'
import type { Member } from '../ports/membershipPort.js'
import type { Directory } from '../requests/requestsMachine.js'
import type { Settings } from '../settings/settingsSchema.js'

/** What the directory reads. */
export interface DirectoryOptions {
  readonly placement: RendezvousHash
  readonly membership: Membership
  readonly config: Config
  readonly settings: Settings
}

/** The directory, with the instances of a workspace for its limits. */
export interface WorkspaceDirectory extends Directory {
  readonly instancesOf: (workspace: string) => readonly Member[]
}

/** A seed that has not been heard of has no caller address yet. */
const isReachable = (member: Member): boolean => member.address.port > 0

/**
 * Creates the directory.
 *
 * @param options - where members and rules are read
 * @returns the directory
 */
export const createDirectory = ({ placement, membership, config, settings }: DirectoryOptions): WorkspaceDirectory => {
  const width = settings.addresses.per_workspace
  let alive: readonly Member[] = []
  let reached: readonly Member[] = []

  /** The same array until the members change, so that choices can be remembered by it. */
  const reachable = (): readonly Member[] => {
    const present = membership.alive()
    if (present !== alive) {
      alive = present
      reached = present.filter(isReachable)
    }
    return reached
  }

  const entriesOf = (workspace: string): readonly Member[] => workspaceInstances(placement, workspace, reachable(), width)

  const addresses = (workspace: string, caller: string): unknown => {
    const { timeToLive, ...list } = addressList(placement, { workspace, caller, members: reachable(), width })
    return { ...list, timeToLiveMs: Math.min(timeToLive, settings.addresses.time_to_live) }
  }

  const models = (workspace: string, now: number): unknown => {
    const ruleset = config.ready(now) ? config.current()?.ruleset : undefined
    const rows = [...(ruleset?.models() ?? [])].flatMap(([model, { adapters, weightVersion }]) =>
      [undefined, ...adapters].map(adapter => ({ model, adapter, weightVersion })))
    const served = rows.filter(({ model, adapter }) => ruleset?.decide({ workspace, model, adapter }).allowed)
    return {
      object: 'list',
      data: served.map(({ model, adapter, weightVersion }) => ({ id: adapter === undefined ? model : `${model}:${adapter}`, object: 'model', owned_by: 'wasabireel', weight_version: weightVersion }))
    }
  }

  return { addresses, models, instancesOf: entriesOf }
}
