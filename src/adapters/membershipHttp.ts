/** HTTP and JSON adapter for the membership list. */
import { z } from 'zod'
import type { Member, MembershipEffect, MembershipInput } from '../ports/membershipPort.js'
import { parseBaseUrl } from './baseUrl.js'
import { createHttpClient, jsonRequest } from './httpExchange.js'
import type { HttpClientOptions } from './httpExchange.js'

/** Settings of the membership adapter. */
export interface MembershipHttpOptions extends HttpClientOptions {
  /** Base URL of the membership list, as `http://host:port`. */
  readonly baseUrl: string
  /** Receives the fetched lists and the failures to fetch one. */
  readonly emit: (input: MembershipInput) => void
  /** Timeout of a request, in ms; by default 3 s. */
  readonly timeout?: number
}

/** Adapter that performs the effects of the membership port. */
export interface MembershipHttp {
  /** Performs an effect; only a fetch emits an input. */
  readonly perform: (effect: MembershipEffect) => void
  /** Closes all connections. */
  readonly close: () => Promise<void>
}

const defaultTimeout = 3_000 // ms

const maxPort = 65_535

const addressSchema = z.object({ host: z.string(), port: z.number().int().min(0).max(maxPort) })

const memberSchema = z.object({
  id: z.string(),
  kind: z.enum(['entry', 'worker', 'service']),
  incarnation: z.string(),
  address: addressSchema,
  peer: addressSchema.optional(),
  dataCentre: z.string(),
  state: z.enum(['live', 'leaving']),
  size: z.number().positive()
})

const listSchema = z.object({ members: z.array(z.unknown()) })

/** Decodes the entries one by one, since one of another writer must not hide the others. */
const decodeMembers = (entries: readonly unknown[]): Member[] => entries.flatMap(entry => memberSchema.safeParse(entry).data ?? [])

/**
 * Creates the adapter. A failed announcement is not reported, since the next
 * fetch shows the content of the list.
 *
 * @param options - base URL, timeouts in ms and the receiver of inputs
 * @returns the adapter
 */
export const createMembershipHttp = (options: MembershipHttpOptions): MembershipHttp => {
  const client = createHttpClient(options)
  const address = parseBaseUrl(options.baseUrl)
  const timeout = options.timeout ?? defaultTimeout

  const fetchList = async (): Promise<void> => {
    const result = await client.json(address, jsonRequest('GET', '/members'), timeout)
    const list = listSchema.safeParse(result.isOk() && result.value.status === 200 ? result.value.body : undefined)
    options.emit(list.success ? { kind: 'membership.list', members: decodeMembers(list.data.members) } : { kind: 'membership.failed' })
  }

  const perform = (effect: MembershipEffect): void => {
    switch (effect.kind) {
      case 'membership.fetch':
        fetchList()
        return
      case 'membership.announce':
        client.json(address, jsonRequest('PUT', `/members/${encodeURIComponent(effect.member.id)}`, effect.member), timeout)
    }
  }

  return { perform, close: client.close }
}
