/** Lookup functions over one version of the configuration: request routing, API keys, services and the part store. */
import type { Hash } from '../hash.js'
import { cacheIsolationOf, type CacheIsolation } from '../placement/cacheScope.js'
import type { Catalog, Route, Service, Workspace } from './catalogTypes.js'

/** Lookup functions over one configuration version. */
export interface CatalogIndex {
  readonly catalog: Catalog
  /** Finds the route of the host (matched without regard to case) with the longest path prefix that matches. */
  readonly findRoute: (host: string, path: string) => Route | undefined
  /** Finds the workspace that an API key belongs to. */
  readonly findWorkspace: (key: string) => Workspace | undefined
  /** Finds a workspace by name. */
  readonly workspace: (name: string) => Workspace | undefined
  /** Finds a service by name. */
  readonly service: (name: string) => Service | undefined
  /** Which workspaces share no cached prompt parts. */
  readonly cacheIsolation: CacheIsolation
  /** The services that are stores of prompt parts. */
  readonly partStores: readonly Extract<Service['purpose'], { kind: 'partStore' }>[]
}

const routesByHost = (routes: readonly Route[]): Map<string, Route[]> => {
  const hosts = new Map<string, Route[]>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const sameHost = hosts.get(host)
    if (sameHost === undefined) hosts.set(host, [route])
    else sameHost.push(route)
  }
  for (const list of hosts.values()) list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  return hosts
}

/**
 * Builds the lookup tables of a configuration version.
 *
 * @param catalog - the validated configuration
 * @param hash - the process's hash functions
 * @returns its lookup functions
 */
export const indexCatalog = (catalog: Catalog, hash: Hash): CatalogIndex => {
  const hosts = routesByHost(catalog.routes)
  const services = new Map(catalog.services.map(service => [service.name, service]))
  const workspaces = new Map(catalog.workspaces?.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)))
  const workspacesByName = new Map(catalog.workspaces?.map(workspace => [workspace.name, workspace]))
  const partStores = catalog.services.flatMap(({ purpose }) => purpose.kind === 'partStore' ? [purpose] : [])
  return {
    catalog,
    findRoute: (host, path) => hosts.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix)),
    findWorkspace: key => workspaces.get(key),
    workspace: name => workspacesByName.get(name),
    service: name => services.get(name),
    cacheIsolation: cacheIsolationOf(catalog.workspaces, hash),
    partStores
  }
}
