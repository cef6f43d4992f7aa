/**
 * Claims of the rollout lease and their order. The latest claim of the stream
 * decides who holds the lease; the offset of the first claim of a holder gives
 * its fencing token. Offsets are assigned again after the stream was restored
 * from a copy, so a claim names its era, and the token rises with the era.
 */
import { z } from 'zod'
import type { ClaimRecord } from '../ports/claimPort.js'

const claimSchema = z.object({
  /** Id of the instance that claims the lease. */
  holder: z.string(),
  /** Start of the holder's process. */
  incarnation: z.string(),
  /** Whether the holder gives the lease up. */
  released: z.boolean(),
  /** Era of the stream in which the claimant made the claim. */
  era: z.number().default(0)
})

/** A record of the stream. */
export type Claim = z.infer<typeof claimSchema>

/** The instance that claims the lease. */
export interface Claimant {
  readonly id: string
  readonly incarnation: string
}

/** The claim that decides who holds the lease, and its fencing token. */
export interface LatestClaim extends Claim {
  readonly fence: number
}

/** Fencing token of a claim at offset 0. */
const firstFence = 1
/** Difference between the fencing tokens of two eras: more than the offsets of one, and small enough that the tokens of many eras fit into 32 bits. */
const fencesPerEra = 2 ** 24

/** A claim with its offset in the stream. */
export interface PlacedClaim {
  readonly offset: number
  readonly claim: Claim
}

/**
 * Decodes the claims of records; others are left out.
 *
 * @param records - records of the stream
 */
export const decodeClaims = (records: readonly ClaimRecord[]): readonly PlacedClaim[] => records.flatMap(({ offset, claim }) => {
  const parsed = claimSchema.safeParse(claim)
  return parsed.success ? [{ offset, claim: parsed.data }] : []
})

const isRenewal = (claim: Claim, latest: LatestClaim): boolean =>
  !latest.released && latest.holder === claim.holder && latest.incarnation === claim.incarnation && latest.era === claim.era

/**
 * Returns the latest claim after another one was applied.
 *
 * @param latest - the latest claim before
 * @param placed - the claim that follows it in the stream
 * @param era - present era of the stream
 */
export const applyClaim = (latest: LatestClaim | undefined, { offset, claim }: PlacedClaim, era: number): LatestClaim | undefined => {
  // No instance can have made it, and later claims would count as older.
  if (claim.era > era) return latest
  // A claim of an earlier era that was applied late; its claimant no longer acts on it.
  if (claim.era < (latest?.era ?? 0)) return latest
  const fence = latest !== undefined && isRenewal(claim, latest) ? latest.fence : claim.era * fencesPerEra + offset + firstFence
  return { ...claim, fence }
}
