/**
 * A stand-in for the KV cache store. It stores pieces by key and evicts the
 * least recently used piece when it is full.
 */
import { LRUCache } from 'lru-cache'
import { answerWithFaults, createStandInServer } from './standInServer.js'
import type { StandIn, StandInOptions } from './standInServer.js'

/** Options of the KV cache store. */
export interface KvStoreOptions extends StandInOptions {
  /** Maximum number of stored pieces, 10,000 by default; a piece covers about a thousand tokens. */
  readonly pieces?: number
}

/** An operation on a piece; `at` is in ms. */
export interface PieceOperation {
  readonly operation: 'put' | 'hit' | 'miss'
  readonly key: string
  readonly at: number
}

/**
 * Creates a KV cache store.
 *
 * @param options - address and capacity
 * @returns the store; its record lists the operations on pieces
 */
export const createKvStore = (options: KvStoreOptions = {}): StandIn<PieceOperation> => {
  const storedPieces = new LRUCache<string, Buffer>({ max: options.pieces ?? 10_000 })
  const record: PieceOperation[] = []
  const server = createStandInServer(options, record)
  const recordOperation = (operation: PieceOperation['operation'], key: string): void => { record.push({ operation, key, at: server.now() }) }

  server.on('PUT', '/pieces/:key', call => answerWithFaults(server, call, () => {
    const key = call.params.key ?? ''
    storedPieces.set(key, call.body)
    recordOperation('put', key)
    return { status: 200, body: {} }
  }))

  server.on('GET', '/pieces/:key', call => answerWithFaults(server, call, () => {
    const key = call.params.key ?? ''
    const piece = storedPieces.get(key)
    recordOperation(piece === undefined ? 'miss' : 'hit', key)
    if (piece === undefined) return { status: 404, body: { error: { type: 'not_kept', message: 'no piece is stored under this key' } } }
    return { status: 200, body: JSON.parse(piece.toString('utf8')) }
  }))

  return server.toStandIn(record)
}
