/** A stand-in for the store for kept KV cache: pieces by key, oldest dropped first. */
import { LRUCache } from 'lru-cache'
import { answerWithFaults, createStandInServer } from './standInServer.js'
import type { StandIn, StandInOptions } from './standInServer.js'

/** Settings of the store. */
export interface KvStoreOptions extends StandInOptions {
  /** Pieces that it keeps; each stands for about a thousand tokens. */
  readonly pieces?: number
}

/** An operation on a piece. */
export interface PieceOperation {
  readonly operation: 'put' | 'hit' | 'miss'
  readonly key: string
  readonly at: number
}

/**
 * Creates a store.
 *
 * @param options - address and size
 * @returns the store; its record lists the operations
 */
export const createKvStore = (options: KvStoreOptions = {}): StandIn<PieceOperation> => {
  const kept = new LRUCache<string, Buffer>({ max: options.pieces ?? 10_000 })
  const record: PieceOperation[] = []
  const server = createStandInServer(options, record)
  const note = (operation: PieceOperation['operation'], key: string): void => { record.push({ operation, key, at: server.now() }) }

  server.on('PUT', '/pieces/:key', call => answerWithFaults(server, call, () => {
    const key = call.params.key ?? ''
    kept.set(key, call.body)
    note('put', key)
    return { status: 200, body: {} }
  }))

  server.on('GET', '/pieces/:key', call => answerWithFaults(server, call, () => {
    const key = call.params.key ?? ''
    const piece = kept.get(key)
    note(piece === undefined ? 'miss' : 'hit', key)
    if (piece === undefined) return { status: 404, body: { error: { type: 'not_kept', message: 'no such piece' } } }
    return { status: 200, body: JSON.parse(piece.toString('utf8')) }
  }))

  return server.standIn(record)
}
