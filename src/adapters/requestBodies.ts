/** Keeps account of the bodies of requests at a server for callers, and gives some up when they take too much memory or do not go on. */
import { bodyClassOf, classBound, refuseForMemory, refuseStalled, type BodyClass, type BodyLimits, type BodyRefusal, type RequestBody } from '../requestBodies/requestBodies.js'

/** What the account depends on. */
export interface RequestBodiesOptions {
  readonly limits: () => BodyLimits
  /** Longest time without a byte of a body, in ms; 0 for none. */
  readonly stallTime: () => number
  /** Workspace of a request's caller, or '' if it is not known. */
  readonly workspaceOf: (request: number) => string
  /** Gives a request up whose body is being read. */
  readonly refuse: (refusal: BodyRefusal) => void
  /** Present time, in ms. */
  readonly now: () => number
}

/** The bodies at a server. */
export interface RequestBodies {
  /** Adds a request whose body is about to be read. */
  readonly begin: (request: number) => void
  /**
   * Accounts for bytes that have arrived, before they are kept.
   *
   * @returns false if the request itself has been given up; `refuse` has been called for it
   */
  readonly makeRoom: (request: number, bytes: number) => boolean
  /** Notes that the body has been read whole. */
  readonly complete: (request: number) => void
  /** Forgets a request that has ended, or whose body is not kept. */
  readonly end: (request: number) => void
  /** When the last byte of a body that is being read came, in ms; undefined if it has been read whole. */
  readonly readingSince: (request: number) => number | undefined
  /** Number of bytes of all bodies. */
  readonly heldBytes: () => number
  /** Gives up the bodies that do not go on. */
  readonly sweep: () => void
}

interface Tracked {
  held: number
  progressAt: number
  whole: boolean
}

/** Creates the account of a server without requests. */
export const createRequestBodies = ({ limits, stallTime, workspaceOf, refuse, now }: RequestBodiesOptions): RequestBodies => {
  const tracked = new Map<number, Tracked>()
  const sums: Record<BodyClass, number> = { small: 0, large: 0 }

  const account = (body: Tracked, bytes: number): void => {
    sums[bodyClassOf(body.held)] -= body.held
    body.held += bytes
    sums[bodyClassOf(body.held)] += body.held
  }

  const end = (request: number): void => {
    const body = tracked.get(request)
    if (body === undefined) return
    sums[bodyClassOf(body.held)] -= body.held
    tracked.delete(request)
  }

  const bodiesOf = (accepts: (body: Tracked) => boolean): readonly RequestBody[] =>
    [...tracked].flatMap(([request, body]) => accepts(body) ? [{ request, workspace: body.whole ? '' : workspaceOf(request), ...body }] : [])

  const refuseAll = (refusals: readonly BodyRefusal[]): void => {
    for (const refusal of refusals) {
      end(refusal.request)
      refuse(refusal)
    }
  }

  const makeRoom = (request: number, bytes: number): boolean => {
    const body = tracked.get(request)
    if (body === undefined) return false
    account(body, bytes)
    body.progressAt = now()
    const bodyClass = bodyClassOf(body.held)
    const bound = classBound(bodyClass, limits(), sums.large)
    if (sums[bodyClass] <= bound) return true
    refuseAll(refuseForMemory(bodiesOf(({ held }) => bodyClassOf(held) === bodyClass), bound, now()))
    return tracked.has(request)
  }

  return {
    begin: request => { tracked.set(request, { held: 0, progressAt: now(), whole: false }) },
    makeRoom,
    complete: request => {
      const body = tracked.get(request)
      if (body !== undefined) body.whole = true
    },
    end,
    readingSince: request => {
      const body = tracked.get(request)
      return body === undefined || body.whole ? undefined : body.progressAt
    },
    heldBytes: () => sums.small + sums.large,
    sweep: () => refuseAll(refuseStalled(bodiesOf(({ whole }) => !whole), stallTime(), now()))
  }
}
