/** Deliberately broken variants of claims, made by altering the inputs and effects of a correct instance. */
import type { Claims } from '../../src/claims/claimsMachine.js'
import type { ClaimsEffect, ClaimsInput, Refusal } from '../../src/claims/claimsTypes.js'
import type { PromiseName } from './matrixTypes.js'

/** The variants, each with the promise that it must break. */
export const claimsVariants = {
  /** Grants a call as soon as it begins, without reading its claim back. */
  dispatchesUnread: 'atMostOnce',
  /** The last claim of a call counts instead of the first. */
  lastClaimWins: 'atMostOnce',
  /** Grants a call that is refused because the log is unavailable. */
  dispatchesOnLogFailure: 'atMostOnce',
  /** Grants a repeat of a call whose outcome is unknown because its answer was lost. */
  retriesUnknown: 'atMostOnce',
  /** Grants a call whose key has expired. */
  retriesExpired: 'atMostOnce',
  /** Accepts keys of any age. */
  forgetsWindow: 'atMostOnce',
  /** Settles an abandoned call as not run, even if it was dispatched. */
  voidsAfterDispatch: 'atMostOnce',
  /** Refuses calls as not run when a log operation fails, although the append may have taken effect. */
  trustsLostAck: 'notRunTrue',
  /** Reports an abandoned call as not run, but leaves its claim in force. */
  keepsNonce: 'notRunTrue',
  /** Dispatches a call that was granted and then refused. */
  dispatchesAfterRefusal: 'notRunTrue',
  /** Dispatches a granted call without the check immediately before the dispatch. */
  dispatchesUnchecked: 'notRunTrue',
  /** Gives repeats of different calls the same stored answer. */
  mixesAnswers: 'ownAnswer',
  /** Reports a call that did not run as run. */
  inventsRan: 'ownAnswer'
} as const satisfies Record<string, PromiseName>

type Variant = keyof typeof claimsVariants

/** Whether a variant accepts keys of any age. */
export const isUnbounded = (variant: string): boolean => variant === 'forgetsWindow'

type Handle = Claims['handle']

/** Replaces selected refusals with grants. */
const grantRefused = (handle: Handle, forcedGrants: Set<number>, shouldGrant: (refusal: Refusal) => boolean): Handle => (input, now) =>
  handle(input, now).map(effect => {
    if (effect.kind !== 'claims.refused' || !shouldGrant(effect.refusal)) return effect
    forcedGrants.add(effect.request)
    return { kind: 'claims.granted', request: effect.request }
  })

const changeRefusals = (handle: Handle, transform: (refusal: Refusal) => Refusal): Handle => (input, now) =>
  handle(input, now).map(effect => effect.kind === 'claims.refused' ? { ...effect, refusal: transform(effect.refusal) } : effect)

interface RawBatch { readonly records: readonly { readonly kind: string, readonly key: string }[] }

/** Drops each claim that is followed by a later claim of the same call. */
const dropEarlierClaims = (input: ClaimsInput): ClaimsInput => {
  if (input.kind !== 'log.records') return input
  const claims = input.records.flatMap(({ offset, payload }) =>
    (payload as RawBatch).records.map((record, index) => ({ record, order: offset * 1e4 + index })))
  const isLast = (key: string, order: number): boolean =>
    !claims.some(each => each.record.kind === 'claim' && each.record.key === key && each.order > order)
  const records = input.records.map(record => ({
    ...record,
    payload: { ...record.payload as RawBatch, records: (record.payload as RawBatch).records.filter((each, index) => each.kind !== 'claim' || isLast(each.key, record.offset * 1e4 + index)) }
  }))
  return { ...input, records }
}

/** Creates the input handler of a variant. `forcedGrants` receives the requests that may be dispatched without a grant of the correct claims. */
const createVariantHandle = (variant: Variant, sound: Claims, forcedGrants: Set<number>): Handle => {
  const { handle } = sound
  const granted = new Set<number>()
  const begun = new Map<number, string>()
  let lastAnswer: Refusal | undefined

  switch (variant) {
    case 'dispatchesUnread': return (input, now) => {
      const effects = handle(input, now).filter(effect => effect.kind !== 'claims.granted')
      if (input.kind !== 'claims.begin' || effects.some(effect => effect.kind === 'claims.refused')) return effects
      forcedGrants.add(input.request)
      return [...effects, { kind: 'claims.granted', request: input.request }]
    }
    case 'lastClaimWins': return (input, now) => handle(dropEarlierClaims(input), now)
    case 'dispatchesOnLogFailure': return grantRefused(handle, forcedGrants, refusal => refusal.kind === 'notRun' && refusal.reason === 'logUnavailable')
    case 'retriesUnknown': return grantRefused(handle, forcedGrants, refusal => refusal.kind === 'unknown' && refusal.reason === 'answerLost')
    case 'retriesExpired': return grantRefused(handle, forcedGrants, refusal => refusal.kind === 'unknown' && refusal.reason === 'keyExpired')
    case 'forgetsWindow': return handle
    case 'voidsAfterDispatch': return (input, now) =>
      handle(input.kind === 'claims.abandon' ? { kind: 'claims.settle', request: input.request, outcome: { kind: 'notRun' } } : input, now)
    case 'trustsLostAck': return (input, now) => {
      if (input.kind === 'claims.begin') begun.set(input.request, input.key)
      const effects = handle(input, now)
      if (input.kind !== 'log.failed') return effects
      const refused = [...begun.keys()].map((request): ClaimsEffect => ({ kind: 'claims.refused', request, refusal: { kind: 'notRun', reason: 'logUnavailable', scope: 'attempt' } }))
      return [...effects, ...refused]
    }
    case 'keepsNonce': return (input, now) => input.kind === 'claims.abandon'
      ? [{ kind: 'claims.refused', request: input.request, refusal: { kind: 'notRun', reason: 'abandoned', scope: 'attempt' } }]
      : handle(input, now)
    case 'dispatchesAfterRefusal': return (input, now) => {
      const effects = handle(input, now)
      for (const effect of effects) {
        if (effect.kind === 'claims.granted') granted.add(effect.request)
        if (effect.kind === 'claims.refused' && granted.has(effect.request)) forcedGrants.add(effect.request)
      }
      return effects
    }
    case 'dispatchesUnchecked': return (input, now) => {
      const effects = handle(input, now)
      for (const effect of effects) if (effect.kind === 'claims.granted') forcedGrants.add(effect.request)
      return effects
    }
    case 'mixesAnswers': return changeRefusals(handle, refusal => {
      if (refusal.kind !== 'ran' || refusal.answer === undefined) return refusal
      lastAnswer ??= refusal
      return lastAnswer
    })
    case 'inventsRan': return changeRefusals(handle, refusal => refusal.kind === 'notRun' ? { kind: 'ran' } : refusal)
  }
}

/**
 * Wraps the correct claims of an instance to make a variant of them.
 *
 * @param variant - `sound` for no change, or a name in `claimsVariants`
 * @param sound - the correct claims of one instance
 * @returns claims that behave as the variant
 */
export const applyVariant = (variant: string, sound: Claims): Claims => {
  if (!(variant in claimsVariants)) return sound
  const forcedGrants = new Set<number>()
  const handle = createVariantHandle(variant as Variant, sound, forcedGrants)
  return { ...sound, handle, mayDispatch: (request, now) => forcedGrants.delete(request) || sound.mayDispatch(request, now) }
}
