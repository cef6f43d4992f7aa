/**
 * Names of cache scopes. Workers and part stores share prompt parts only within one
 * scope, so its name is all that separates workspaces. There is one scope for each
 * version of a model's weights and each isolated workspace, and one that all the
 * others share.
 *
 * The name of the shared scope says which workspaces are isolated. A part that a
 * workspace made before it was isolated lies in a scope that no request names while
 * the workspace is isolated, whatever the order of changes: the workspaces that read
 * and write a shared scope are always those that its name leaves out. The name
 * follows from the configuration alone, so all instances agree on it without
 * communication, also one that has just started.
 */
import type { Catalog, Workspace } from '../catalog/catalogTypes.js'
import type { Hash } from '../hash.js'

/** The model and the version of its weights that a scope belongs to. */
export interface ScopedWeights {
  readonly model: string
  readonly version: number
}

/** Which workspaces share no cached prompt parts by one configuration. */
export interface CacheIsolation {
  readonly isIsolated: (workspace: string) => boolean
  /** End of the name of the scope that all others share; empty if no workspace is isolated. */
  readonly sharedSuffix: string
  /** Number of isolated workspaces. */
  readonly count: number
}

/** The state of an instance that knows no configuration. */
export const noIsolation: CacheIsolation = { isIsolated: () => false, sharedSuffix: '', count: 0 }

const hexRadix = 16

/**
 * Reads which workspaces are isolated.
 *
 * @param workspaces - those of the configuration, in any order
 * @param hash - the process's hash functions
 */
export const cacheIsolationOf = (workspaces: Catalog['workspaces'], hash: Hash): CacheIsolation => {
  const names = new Set(workspaces?.filter(({ isolated }) => isolated).map(({ name }) => name))
  if (names.size === 0) return noIsolation
  const digest = hash.h64(JSON.stringify([...names].sort())).toString(hexRadix)
  return { isIsolated: workspace => names.has(workspace), sharedSuffix: `+${digest}`, count: names.size }
}

/** Encodes a name so that it holds no separator of scopes and can be sent in a header, also if it is no well-formed text. */
const encodeName = (name: string): string => encodeURIComponent(JSON.stringify(name).slice(1, -1))

/**
 * Builds the name of a cache scope.
 *
 * @param model - name of the model
 * @param version - version of the weights; undefined if the worker's version is not known
 * @param workspace - workspace of the request as the request found it at its arrival
 * @param isolation - which workspaces are isolated now
 * @returns `model@version`, followed by `/workspace` for a workspace that is isolated now or was at the arrival, else by the shared suffix
 */
export const cacheScope = (model: string, version: number | undefined, workspace: Workspace | undefined, isolation: CacheIsolation): string => {
  const weights = `${model}@${version ?? 'any'}`
  if (workspace === undefined || !(workspace.isolated || isolation.isIsolated(workspace.name))) return `${weights}${isolation.sharedSuffix}`
  return `${weights}/${encodeName(workspace.name)}`
}

const scopePattern = /^(.*)@(\d+)(?:[/+][^@]*)?$/

/**
 * Parses the name of a cache scope.
 *
 * @returns its model and version, or undefined if the scope names no version
 */
export const parseCacheScope = (scope: string): ScopedWeights | undefined => {
  const match = scopePattern.exec(scope)
  return match === null ? undefined : { model: match[1], version: Number(match[2]) }
}
