/** Export and import of cached blocks through the store for kept KV cache. */
import { z } from 'zod'
import { parseJson, sendJson } from '../standInServer.js'
import type { Call, StandInServer } from '../standInServer.js'
import type { EngineCache } from './engineCache.js'

const transferSchema = z.object({ salt: z.string(), blocks: z.array(z.string()) })
const pieceSchema = z.object({ salt: z.string(), blocks: z.array(z.string()) })
const blocksPerPiece = 8 // about a thousand tokens of blocks of 512 bytes

const piecesOf = (blocks: readonly string[]): readonly string[][] =>
  Array.from({ length: Math.floor(blocks.length / blocksPerPiece) }, (_, index) => blocks.slice(index * blocksPerPiece, (index + 1) * blocksPerPiece))

/**
 * Adds the routes of export and import. A piece is kept under its last block's
 * name; both stop at the first piece that is missing.
 *
 * @param server - gets the routes
 * @param cache - the engine's cache
 * @param kvUrl - the store; undefined refuses both
 */
export const createKvTransfer = (server: StandInServer, cache: EngineCache, kvUrl: string | undefined): void => {
  const urlOf = (piece: readonly string[]): string => `${kvUrl}/pieces/${piece.at(-1)}`

  const exportPiece = async (piece: readonly string[], salt: string): Promise<boolean> => {
    const response = await fetch(urlOf(piece), { method: 'PUT', body: JSON.stringify({ salt, blocks: piece }) })
    return response.ok
  }

  const importPiece = async (piece: readonly string[], salt: string): Promise<boolean> => {
    const response = await fetch(urlOf(piece))
    if (!response.ok) return false
    const kept = pieceSchema.parse(await response.json())
    if (kept.salt !== salt || kept.blocks.join() !== piece.join()) return false
    cache.store(piece, salt)
    return true
  }

  const transfer = async (call: Call, direction: 'export' | 'import'): Promise<void> => {
    const body = transferSchema.safeParse(parseJson(call.body))
    if (kvUrl === undefined || !body.success) return sendJson(call.response, 400, { error: { type: 'invalid_request', message: 'no store, or no known form' } })
    const { salt, blocks } = body.data
    const pieces = piecesOf(direction === 'export' ? blocks.slice(0, cache.held(blocks, salt)) : blocks)
    let done = 0
    try {
      for (const piece of pieces) {
        if (!await (direction === 'export' ? exportPiece(piece, salt) : importPiece(piece, salt))) break
        done++
      }
    } catch {
      return sendJson(call.response, 503, { error: { type: 'store_unavailable', message: 'the store gave no answer' } })
    }
    sendJson(call.response, 200, { blocks: done * blocksPerPiece })
  }

  server.on('POST', '/v1/kv/export', call => { transfer(call, 'export') })
  server.on('POST', '/v1/kv/import', call => { transfer(call, 'import') })
}
