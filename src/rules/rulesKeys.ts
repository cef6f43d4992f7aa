/** Lookup of caller and operator keys by their SHA-256 hash. */
import type { Operator, Rule, Ruleset, Validity } from './rulesTypes.js'

/** What a key gives access to, and when it is valid. */
interface KeyGrant<Value> {
  readonly value: Value
  readonly validity: Validity
}

const isValid = ({ from = -Infinity, until = Infinity }: Validity, now: number): boolean => from <= now && now < until

const addGrant = <Value>(grants: Map<string, KeyGrant<Value>[]>, hash: string, grant: KeyGrant<Value>): void => {
  const existing = grants.get(hash)
  if (existing === undefined) grants.set(hash, [grant])
  else existing.push(grant)
}

const findGranted = <Value>(grants: ReadonlyMap<string, readonly KeyGrant<Value>[]>, hash: string, now: number): Value | undefined =>
  grants.get(hash)?.find(grant => isValid(grant.validity, now))?.value

/**
 * Collects the keys of the rules. A lookup compares only hashes, so that its duration
 * reveals nothing about the keys (timing attacks).
 *
 * @param rules - the rules
 * @returns the key lookups of a ruleset
 */
export const collectKeys = (rules: readonly Rule[]): Pick<Ruleset, 'workspaceOfKey' | 'operatorOfKey'> => {
  const callers = new Map<string, KeyGrant<string>[]>()
  const operators = new Map<string, KeyGrant<Operator>[]>()
  for (const rule of rules) {
    if (rule.kind === 'callerKey') addGrant(callers, rule.hash, { value: rule.workspace, validity: rule.validity })
    if (rule.kind === 'operatorKey') addGrant(operators, rule.hash, { value: rule.operator, validity: rule.validity })
  }
  return {
    workspaceOfKey: (hash, now) => findGranted(callers, hash, now),
    operatorOfKey: (hash, now) => findGranted(operators, hash, now)
  }
}
