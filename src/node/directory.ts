/** Answers discovery requests of callers: which instances to connect to and which models are available. */
import { addressList, workspaceInstances } from '../addresses/addresses.js'
import type { RendezvousHash } from '../addresses/rendezvous.js'
import type { Config } from '../config/configMachine.js'
import type { Membership } from '../membership/membershipTypes.js'
import type { Member } from '../ports/membershipPort.js'
import type { Directory } from '../requests/requestsMachine.js'
import type { Settings } from '../settings/settingsSchema.js'

/** Dependencies of the directory. */
export interface DirectoryOptions {
  readonly rendezvousHash: RendezvousHash
  readonly membership: Membership
  readonly config: Config
  readonly settings: Settings
}

/** The directory, extended with the instances that serve a workspace, which share its limits. */
export interface WorkspaceDirectory extends Directory {
  /** Returns the reachable instances that serve a workspace. */
  readonly instancesOf: (workspace: string) => readonly Member[]
}

/** A seed that no gossip has described yet has no known caller port, so callers cannot be sent to it. */
const isReachable = (member: Member): boolean => member.address.port > 0

/**
 * Creates the directory.
 *
 * @param options - sources of members, rules and settings
 * @returns the directory
 */
export const createDirectory = ({ rendezvousHash, membership, config, settings }: DirectoryOptions): WorkspaceDirectory => {
  const instancesPerWorkspace = settings.addresses.per_workspace
  let lastAlive: readonly Member[] = []
  let lastReachable: readonly Member[] = []

  /** Returns the same array until the members change, so that results can be cached by its identity. */
  const reachable = (): readonly Member[] => {
    const alive = membership.alive()
    if (alive !== lastAlive) {
      lastAlive = alive
      lastReachable = alive.filter(isReachable)
    }
    return lastReachable
  }

  const instancesOf = (workspace: string): readonly Member[] => workspaceInstances(rendezvousHash, workspace, reachable(), instancesPerWorkspace)

  const addresses = (workspace: string, caller: string): unknown => {
    const { timeToLive, ...list } = addressList(rendezvousHash, { workspace, caller, members: reachable(), width: instancesPerWorkspace })
    return { ...list, timeToLiveMs: Math.min(timeToLive, settings.addresses.time_to_live) }
  }

  const models = (workspace: string, now: number): unknown => {
    const ruleset = config.ready(now) ? config.current()?.ruleset : undefined
    const rows = [...(ruleset?.models() ?? [])].flatMap(([model, { adapters, weightVersion }]) =>
      [undefined, ...adapters].map(adapter => ({ model, adapter, weightVersion })))
    const allowed = rows.filter(({ model, adapter }) => ruleset?.decide({ workspace, model, adapter }).allowed)
    return {
      object: 'list',
      data: allowed.map(({ model, adapter, weightVersion }) => ({ id: adapter === undefined ? model : `${model}:${adapter}`, object: 'model', owned_by: 'wasabireel', weight_version: weightVersion }))
    }
  }

  return { addresses, models, instancesOf }
}
