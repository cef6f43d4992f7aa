import { readFileSync } from 'node:fs'
import { checkRules } from './rulesChecker.js'
import { createRuleset } from './rulesMatcher.js'
import { parseRules } from './rulesParser.js'
import type { RuleDecision, RuleQuery } from './rulesTypes.js'

/** An example of docs/RULES.md: rules, and what is expected of them. */
interface Example {
  readonly title: string
  readonly rules: string
  /** Queries with the expected decision, each `QUERY => DECISION`. */
  readonly asks: readonly string[]
  /** The expected conflicts; undefined if the example does not list them. */
  readonly conflicts: readonly string[] | undefined
  /** The expected errors, each `LINE:COLUMN CODE KEY`; empty if the rules are valid. */
  readonly errors: readonly string[]
}

const blockOf = (section: string, language: string): string | undefined =>
  new RegExp(`\`\`\`${language}\\n([^]*?)\`\`\``).exec(section)?.[1]

const linesOf = (block: string | undefined): string[] => (block ?? '').split('\n').filter(line => line !== '')

const examplesOf = (page: string): Example[] => page.split('\n### ').slice(1).map(section => ({
  title: section.split('\n')[0],
  rules: blockOf(section, 'rules') ?? '',
  asks: linesOf(blockOf(section, 'asks')),
  conflicts: blockOf(section, 'conflicts') === undefined ? undefined : linesOf(blockOf(section, 'conflicts')),
  errors: linesOf(blockOf(section, 'errors'))
}))

const pairsOf = (text: string): [string, string][] => text.split(' ').map(pair => [pair.slice(0, pair.indexOf('=')), pair.slice(pair.indexOf('=') + 1)])

const valueOf = (decision: RuleDecision, attribute: string): string => {
  switch (attribute) {
    case 'endpoints': return decision.endpoints?.join(',') ?? 'any'
    case 'dataCentres': return decision.dataCentres?.join(',') ?? ''
    case 'requestsPerSecond':
    case 'concurrency': return String(decision.limit[attribute])
    default: return String(decision[attribute as keyof RuleDecision])
  }
}

/** Formats a decision in the notation of the page, `ATTRIBUTE=VALUE@LINE`, with the attributes of `expected`. */
const formatDecision = (decision: RuleDecision, expected: string): string => pairsOf(expected).map(([attribute]) => {
  const line = decision.because[attribute === 'refusal' ? 'allowed' : attribute]?.line
  return `${attribute}=${valueOf(decision, attribute)}${line === undefined || attribute === 'dataCentres' ? '' : `@${line}`}`
}).join(' ')

const examples = examplesOf(readFileSync('docs/RULES.md', 'utf8'))

it('finds ten examples in docs/RULES.md', () => {
  expect(examples).toHaveLength(10)
})

describe.each(examples)('example $title of docs/RULES.md', ({ rules, asks, conflicts, errors }) => {
  it('gives the documented errors, decisions and conflicts', () => {
    const parsed = parseRules(rules)
    if (parsed.isErr()) {
      expect(parsed.error.map(({ line, column, code, key }) => [`${line}:${column}`, code, key].filter(Boolean).join(' '))).toEqual(errors)
      return
    }
    expect(errors).toEqual([])
    const ruleset = createRuleset(parsed.value)
    for (const ask of asks) {
      const [query, expected] = ask.split(' => ')
      const decision = ruleset.decide(Object.fromEntries(pairsOf(query)) as unknown as RuleQuery)
      expect(`${query} => ${formatDecision(decision, expected)}`).toBe(ask)
    }
    if (conflicts === undefined) return
    const found = checkRules(parsed.value).conflicts.filter(({ severity }) => severity === 'conflict')
    expect(found.map(({ attribute, winner, loser, reason }) =>
      `${attribute}: line ${winner.line} (${winner.asker}, ${winner.team}) over line ${loser.line} (${loser.asker}, ${loser.team}), ${reason}`)).toEqual(conflicts)
  })
})
