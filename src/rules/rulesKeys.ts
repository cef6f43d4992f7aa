/** Caller and operator keys, found by hash. */
import type { Operator, Rule, Ruleset, Validity } from './rulesTypes.js'

interface Holder<Value> {
  readonly value: Value
  readonly validity: Validity
}

const isValid = ({ from = -Infinity, until = Infinity }: Validity, now: number): boolean => from <= now && now < until

const add = <Value>(holders: Map<string, Holder<Value>[]>, hash: string, holder: Holder<Value>): void => {
  const known = holders.get(hash)
  if (known === undefined) holders.set(hash, [holder])
  else known.push(holder)
}

const find = <Value>(holders: ReadonlyMap<string, readonly Holder<Value>[]>, hash: string, now: number): Value | undefined =>
  holders.get(hash)?.find(holder => isValid(holder.validity, now))?.value

/**
 * Collects the keys of rules. A lookup compares hashes only, so its time tells
 * nothing about the keys.
 *
 * @param rules - the rules
 * @returns the lookups of a ruleset
 */
export const collectKeys = (rules: readonly Rule[]): Pick<Ruleset, 'workspaceOfKey' | 'operatorOfKey'> => {
  const callers = new Map<string, Holder<string>[]>()
  const operators = new Map<string, Holder<Operator>[]>()
  for (const rule of rules) {
    if (rule.kind === 'callerKey') add(callers, rule.hash, { value: rule.workspace, validity: rule.validity })
    if (rule.kind === 'operatorKey') add(operators, rule.hash, { value: rule.operator, validity: rule.validity })
  }
  return {
    workspaceOfKey: (hash, now) => find(callers, hash, now),
    operatorOfKey: (hash, now) => find(operators, hash, now)
  }
}
