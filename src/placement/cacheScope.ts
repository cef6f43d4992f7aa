/**
 * Names of the scopes within which cached prompt parts are shared: one for each
 * version of a model's weights and, for isolated workspaces, each workspace.
 */
import type { Workspace } from '../catalog/catalogTypes.js'

/** The weights that a scope belongs to. */
export interface ScopedWeights {
  readonly model: string
  readonly version: number
}

/**
 * Names a scope.
 *
 * @param model - the model
 * @param version - of its weights; undefined if the worker's is not known
 * @param workspace - whose request it is
 */
export const cacheScope = (model: string, version: number | undefined, workspace: Workspace | undefined): string => {
  const shared = `${model}@${version ?? 'any'}`
  return workspace?.isolated === true ? `${shared}/${workspace.name}` : shared
}

const scopePattern = /^(.*)@(\d+)(?:\/.*)?$/

/** The weights of a scope, if it names them. */
export const parseCacheScope = (scope: string): ScopedWeights | undefined => {
  const match = scopePattern.exec(scope)
  return match === null ? undefined : { model: match[1], version: Number(match[2]) }
}
