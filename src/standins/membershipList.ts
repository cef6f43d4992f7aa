/** A stand-in for the platform's membership list, which shows changes late. */
import { z } from 'zod'
import { answerWithFaults, createStandInServer, parseJson, sendJson } from './standInServer.js'
import type { StandIn, StandInOptions } from './standInServer.js'

/** Settings of the list. */
export interface MembershipListOptions extends StandInOptions {
  /** How late a change shows, in ms. */
  readonly lag?: number
  /** How long a row outlives its last announcement, in ms; undefined keeps it. */
  readonly expiry?: number
}

const rowSchema = z.object({ id: z.string().min(1) }).loose()

/** A row as announced. */
export type Row = z.infer<typeof rowSchema>

/** An announcement. */
export interface Announcement {
  readonly at: number
  readonly row: Row
}

/**
 * Creates a list.
 *
 * @param options - address and lag
 * @returns the list; its record holds each announcement
 */
export const createMembershipList = (options: MembershipListOptions = {}): StandIn<Announcement> => {
  const { lag = 0, expiry = Infinity } = options
  const record: Announcement[] = []
  const server = createStandInServer(options, record)

  const visible = (now: number): readonly Row[] => {
    const rows = new Map<string, Announcement>()
    for (const announced of record) {
      if (announced.at + lag <= now) rows.set(announced.row.id, announced)
    }
    return [...rows.values()].filter(({ at }) => now - at <= expiry + lag).map(({ row }) => row)
  }

  const compact = (): void => {
    const latest = new Map<string, Announcement>()
    const recent = record.filter(({ at }) => at + lag > server.now())
    for (const announced of record.slice(0, record.length - recent.length)) latest.set(announced.row.id, announced)
    record.splice(0, record.length, ...latest.values(), ...recent)
  }

  server.on('GET', '/members', call => answerWithFaults(server, call, () => ({ status: 200, body: { members: visible(server.now()) } })))

  server.on('PUT', '/members/:id', call => {
    const row = rowSchema.safeParse(parseJson(call.body))
    if (!row.success || row.data.id !== call.params.id) return sendJson(call.response, 400, { error: { type: 'bad_member', message: 'id in path and body differ, or the body is no member' } })
    answerWithFaults(server, call, () => {
      record.push({ at: server.now(), row: row.data })
      if (record.length > 10_000) compact()
      return { status: 200, body: {} }
    })
  })

  return server.standIn(record)
}
