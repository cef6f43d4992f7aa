/** Export and import of cached blocks through the KV cache store. */
import { z } from 'zod'
import { parseJson, sendJson } from '../standInServer.js'
import type { Call, StandInServer } from '../standInServer.js'
import type { EngineCache } from './engineCache.js'

const transferSchema = z.object({ salt: z.string(), blocks: z.array(z.string()) })
const pieceSchema = z.object({ salt: z.string(), blocks: z.array(z.string()) })
const blocksPerPiece = 8 // about a thousand tokens with blocks of 512 bytes

const splitIntoPieces = (blocks: readonly string[]): readonly string[][] =>
  Array.from({ length: Math.floor(blocks.length / blocksPerPiece) }, (_, index) => blocks.slice(index * blocksPerPiece, (index + 1) * blocksPerPiece))

/**
 * Adds the routes for export and import. A piece is stored under the name of its
 * last block. Export and import stop at the first piece that fails; import also
 * treats a piece with another salt or other blocks as failed.
 *
 * @param server - the server to add the routes to
 * @param cache - the engine's prefix cache
 * @param kvUrl - URL of the KV cache store; undefined rejects both requests with 400
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
    const stored = pieceSchema.parse(await response.json())
    if (stored.salt !== salt || stored.blocks.join() !== piece.join()) return false
    cache.store(piece, salt)
    return true
  }

  const transfer = async (call: Call, direction: 'export' | 'import'): Promise<void> => {
    const body = transferSchema.safeParse(parseJson(call.body))
    if (kvUrl === undefined || !body.success) return sendJson(call.response, 400, { error: { type: 'invalid_request', message: 'no KV cache store is configured, or the body is not valid' } })
    const { salt, blocks } = body.data
    const pieces = splitIntoPieces(direction === 'export' ? blocks.slice(0, cache.held(blocks, salt)) : blocks)
    let done = 0
    try {
      for (const piece of pieces) {
        if (!await (direction === 'export' ? exportPiece(piece, salt) : importPiece(piece, salt))) break
        done++
      }
    } catch {
      return sendJson(call.response, 503, { error: { type: 'store_unavailable', message: 'the KV cache store sent no valid response' } })
    }
    sendJson(call.response, 200, { blocks: done * blocksPerPiece })
  }

  server.on('POST', '/v1/kv/export', call => { transfer(call, 'export') })
  server.on('POST', '/v1/kv/import', call => { transfer(call, 'import') })
}
