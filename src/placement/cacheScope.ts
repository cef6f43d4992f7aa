/**
 * Names of cache scopes. Workers share cached prompt parts only within one
 * scope: there is one for each version of a model's weights and, for isolated
 * workspaces, one for each version and workspace.
 */
import type { Workspace } from '../catalog/catalogTypes.js'

/** The model and the version of its weights that a scope belongs to. */
export interface ScopedWeights {
  readonly model: string
  readonly version: number
}

/**
 * Builds the name of a cache scope.
 *
 * @param model - name of the model
 * @param version - version of the weights; undefined if the worker's version is not known
 * @param workspace - workspace of the request
 * @returns `model@version`, with `/workspace` appended for an isolated workspace
 */
export const cacheScope = (model: string, version: number | undefined, workspace: Workspace | undefined): string => {
  const shared = `${model}@${version ?? 'any'}`
  return workspace?.isolated === true ? `${shared}/${workspace.name}` : shared
}

const scopePattern = /^(.*)@(\d+)(?:\/.*)?$/

/**
 * Parses the name of a cache scope.
 *
 * @returns its model and version, or undefined if the scope names no version
 */
export const parseCacheScope = (scope: string): ScopedWeights | undefined => {
  const match = scopePattern.exec(scope)
  return match === null ? undefined : { model: match[1], version: Number(match[2]) }
}
