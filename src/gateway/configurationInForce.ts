/**
 * The configuration that is in force at one instance. A newer one replaces it as a
 * whole and takes effect at once; an older one, as a restored store or a peer that
 * is behind may return it, is ignored.
 */
import { indexCatalog, type CatalogIndex } from '../catalog/catalogIndex.js'
import type { Address, Catalog } from '../catalog/catalogTypes.js'
import type { GatewayEffect, GatewayLogEvent } from './gatewayTypes.js'
import type { Hash } from '../hash.js'
import type { PartStores } from '../placement/partStores.js'
import { defaultMemoryTokens } from './workerRegistry.js'

/** What the configuration in force depends on. */
export interface ConfigurationOptions {
  readonly hash: Hash
  readonly partStores: PartStores
  readonly emit: (effect: GatewayEffect) => void
  readonly log: (event: GatewayLogEvent) => void
}

/** The configuration in force at one instance. */
export interface ConfigurationInForce {
  /** The configuration; undefined until there is one. */
  readonly index: () => CatalogIndex | undefined
  /** Its version; 0 until there is one. */
  readonly version: () => number
  /** Tokens that the part stores hold together. */
  readonly partStoreTokens: () => number
  /** Applies a configuration, if it is newer, and returns whether it is; `proofAge` is that of the newest proof, in ms. */
  readonly apply: (catalog: Catalog, source: 'store' | 'peer', proofAge: number) => boolean
}

const sameAddresses = (left: readonly Address[], right: readonly Address[]): boolean =>
  left.length === right.length && left.every(({ host, port }, index) => host === right[index].host && port === right[index].port)

/**
 * Creates the state of an instance without a configuration.
 *
 * @param options - what it depends on
 */
export const createConfigurationInForce = ({ hash, partStores, emit, log }: ConfigurationOptions): ConfigurationInForce => {
  let index: CatalogIndex | undefined
  let partStoreAddresses: readonly Address[] = []

  const partStoreTokens = (): number => index?.partStores.reduce((sum, { memoryTokens }) => sum + memoryTokens, 0) || defaultMemoryTokens

  const followPartStores = (stores: CatalogIndex['partStores']): void => {
    const addresses = stores.map(({ address }) => address)
    if (sameAddresses(addresses, partStoreAddresses)) return
    partStoreAddresses = addresses
    partStores.setStores(stores)
    emit({ kind: 'parts.follow', addresses })
  }

  return {
    index: () => index,
    version: () => index?.catalog.version ?? 0,
    partStoreTokens,
    apply: (catalog, source, proofAge) => {
      if (index !== undefined && catalog.version <= index.catalog.version) return false
      index = indexCatalog(catalog, hash)
      log({ kind: 'configurationInForce', version: catalog.version, source, proofAge: Math.round(Math.min(proofAge, Number.MAX_SAFE_INTEGER)), isolated: index.cacheIsolation.count })
      const { bodyBytes, idleTimeout, headerTimeout } = catalog.limits
      emit({ kind: 'gateway.limits', bodyBytes, idleTimeout, headerTimeout })
      followPartStores(index.partStores)
      return true
    }
  }
}
