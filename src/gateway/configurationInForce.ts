/**
 * The configuration that is in force at one instance. A newer one replaces it as a
 * whole and takes effect at once; an older one, as a restored store or a peer that
 * is behind may return it, is ignored.
 */
import { indexCatalog, type CatalogIndex } from '../catalog/catalogIndex.js'
import type { Address, Catalog } from '../catalog/catalogTypes.js'
import type { GatewayEffect, GatewayLogEvent } from './gatewayTypes.js'
import type { PartStoreIndex } from './partStoreIndex.js'
import { defaultMemoryTokens } from './workerRegistry.js'

/** What the configuration in force depends on. */
export interface ConfigurationOptions {
  readonly partStore: PartStoreIndex
  readonly emit: (effect: GatewayEffect) => void
  readonly log: (event: GatewayLogEvent) => void
}

/** The configuration in force at one instance. */
export interface ConfigurationInForce {
  /** The configuration; undefined until there is one. */
  readonly index: () => CatalogIndex | undefined
  /** Its version; 0 until there is one. */
  readonly version: () => number
  /** Tokens that the part store holds. */
  readonly partStoreTokens: () => number
  /** Applies a configuration, if it is newer, and returns whether it is; `proofAge` is that of the newest proof, in ms. */
  readonly apply: (catalog: Catalog, source: 'store' | 'peer', proofAge: number) => boolean
}

const sameAddress = (left: Address | undefined, right: Address | undefined): boolean =>
  left?.host === right?.host && left?.port === right?.port

/**
 * Creates the state of an instance without a configuration.
 *
 * @param options - what it depends on
 */
export const createConfigurationInForce = ({ partStore, emit, log }: ConfigurationOptions): ConfigurationInForce => {
  let index: CatalogIndex | undefined
  let partStoreAddress: Address | undefined

  const partStoreTokens = (): number => index?.partStore?.memoryTokens ?? defaultMemoryTokens

  const followPartStore = (address: Address | undefined): void => {
    if (sameAddress(address, partStoreAddress)) return
    partStoreAddress = address
    partStore.setStore(address, partStoreTokens())
    emit({ kind: 'parts.follow', address })
  }

  return {
    index: () => index,
    version: () => index?.catalog.version ?? 0,
    partStoreTokens,
    apply: (catalog, source, proofAge) => {
      if (index !== undefined && catalog.version <= index.catalog.version) return false
      index = indexCatalog(catalog)
      log({ kind: 'configurationInForce', version: catalog.version, source, proofAge: Math.round(Math.min(proofAge, Number.MAX_SAFE_INTEGER)) })
      const { bodyBytes, idleTimeout, headerTimeout } = catalog.limits
      emit({ kind: 'gateway.limits', bodyBytes, idleTimeout, headerTimeout })
      followPartStore(index.partStore?.address)
      return true
    }
  }
}
