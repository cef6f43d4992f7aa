import { readFileSync } from 'node:fs'
import { checkRules } from './rulesChecker.js'
import { createRuleset } from './rulesMatcher.js'
import { parseRules } from './rulesParser.js'
import type { RuleDecision, RuleQuery } from './rulesTypes.js'

interface Example {
  readonly title: string
  readonly rules: string
  readonly asks: readonly string[]
  readonly conflicts: readonly string[] | undefined
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

/** Writes what the rules say in the page's own form. */
const answer = (decision: RuleDecision, wanted: string): string => pairsOf(wanted).map(([attribute]) => {
  const line = decision.because[attribute === 'refusal' ? 'allowed' : attribute]?.line
  return `${attribute}=${valueOf(decision, attribute)}${line === undefined || attribute === 'dataCentres' ? '' : `@${line}`}`
}).join(' ')

const examples = examplesOf(readFileSync('docs/RULES.md', 'utf8'))

it('has ten examples', () => {
  expect(examples).toHaveLength(10)
})

describe.each(examples)('example $title', ({ rules, asks, conflicts, errors }) => {
  it('does what the page says', () => {
    const parsed = parseRules(rules)
    if (parsed.isErr()) {
      expect(parsed.error.map(({ line, column, code, key }) => [`${line}:${column}`, code, key].filter(Boolean).join(' '))).toEqual(errors)
      return
    }
    expect(errors).toEqual([])
    const ruleset = createRuleset(parsed.value)
    for (const ask of asks) {
      const [query, wanted] = ask.split(' => ')
      const decision = ruleset.decide(Object.fromEntries(pairsOf(query)) as unknown as RuleQuery)
      expect(`${query} => ${answer(decision, wanted)}`).toBe(ask)
    }
    if (conflicts === undefined) return
    const found = checkRules(parsed.value).conflicts.filter(({ severity }) => severity === 'conflict')
    expect(found.map(({ attribute, winner, loser, reason }) =>
      `${attribute}: line ${winner.line} (${winner.asker}, ${winner.team}) over line ${loser.line} (${loser.asker}, ${loser.team}), ${reason}`)).toEqual(conflicts)
  })
})
