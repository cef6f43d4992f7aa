/** Lookups in one version of the configuration: the route of a request and the workspace of a key. */
import type { Catalog, Route, Service, Workspace } from './catalogTypes.js'

/** One version, indexed. */
export interface CatalogIndex {
  readonly catalog: Catalog
  /** The route whose prefix is the longest that begins the path. */
  readonly findRoute: (host: string, path: string) => Route | undefined
  readonly findWorkspace: (key: string) => Workspace | undefined
  readonly service: (name: string) => Service | undefined
  /** The first store of prompt parts, if there is one. */
  readonly partStore: Extract<Service['purpose'], { kind: 'partStore' }> | undefined
}

const routesByHost = (routes: readonly Route[]): Map<string, Route[]> => {
  const hosts = new Map<string, Route[]>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const known = hosts.get(host)
    if (known === undefined) hosts.set(host, [route])
    else known.push(route)
  }
  for (const list of hosts.values()) list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  return hosts
}

/**
 * Indexes a version.
 *
 * @param catalog - a checked configuration
 * @returns its lookups
 */
export const indexCatalog = (catalog: Catalog): CatalogIndex => {
  const hosts = routesByHost(catalog.routes)
  const services = new Map(catalog.services.map(service => [service.name, service]))
  const workspaces = new Map(catalog.workspaces?.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)))
  const stores = catalog.services.flatMap(({ purpose }) => purpose.kind === 'partStore' ? [purpose] : [])
  return {
    catalog,
    findRoute: (host, path) => hosts.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix)),
    findWorkspace: key => workspaces.get(key),
    service: name => services.get(name),
    partStore: stores[0]
  }
}
