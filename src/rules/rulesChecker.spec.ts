import fc from 'fast-check'
import { readFileSync } from 'node:fs'
import { globMatches, globsOverlap } from './globs.js'
import { checkRules } from './rulesChecker.js'
import { diffRules, findForbiddenChanges, touched } from './rulesDiff.js'
import { explain } from './rulesExplainer.js'
import { createRuleset } from './rulesMatcher.js'
import { parseRules } from './rulesParser.js'
import type { Operator, Rule } from './rulesTypes.js'

const head = ['workspace a # asked by Ann, A', 'workspace b # asked by Bob, B', 'model m version=1 adapters=x # asked by Pat, P']
const rulesOf = (...lines: string[]): readonly Rule[] => parseRules([...head, ...lines].join('\n'))._unsafeUnwrap()

const conflictsOf = (...lines: string[]): unknown[] =>
  checkRules(rulesOf(...lines)).conflicts.map(({ attribute, severity, winner, loser, reason }) =>
    [attribute, severity, winner.line, winner.asker, loser.line, loser.asker, reason])

describe('globs', () => {
  it('agree with a search over short texts', () => {
    const glob = fc.stringMatching(/^[ab*]{0,5}$/)
    const texts = Array.from({ length: 6 }, (_, length) => Array.from({ length: 2 ** length }, (__, bits) =>
      Array.from({ length }, (___, place) => (bits >> place) & 1 ? 'b' : 'a').join(''))).flat()
    const slow = (pattern: string, text: string): boolean => new RegExp(`^${pattern.replaceAll('*', '.*')}$`).test(text)
    fc.assert(fc.property(glob, glob, (left, right) => {
      expect(texts.filter(text => globMatches(left, text))).toEqual(texts.filter(text => slow(left, text)))
      const shared = texts.some(text => slow(left, text) && slow(right, text))
      if (shared) expect(globsOverlap(left, right)).toBe(true)
      const literal = left.replaceAll('*', '').length + right.replaceAll('*', '').length
      if (!shared && literal <= 5) expect(globsOverlap(left, right)).toBe(false)
    }), { seed: 1, numRuns: 300 })
  })
})

describe('rules checker', () => {
  it('names both lines, both askers, the winner and the reason', () => {
    expect(conflictsOf('priority workspace=a model=m -> 1 # asked by Bob, B', 'priority workspace=a model=m -> 2 # asked by Ann, A'))
      .toEqual([['priority', 'conflict', 5, 'Ann', 4, 'Bob', 'ownsWorkspace']])
    expect(conflictsOf('route model=m -> w1 # asked by Ann, A', 'route model=m -> w2 # asked by Bob, B'))
      .toEqual([['endpoints', 'conflict', 4, 'Ann', 5, 'Bob', 'ownsWorkspace'], ['endpoints', 'conflict', 5, 'Bob', 4, 'Ann', 'ownsWorkspace']])
    expect(conflictsOf('route model=m -> w1 # asked by Cat, C', 'route model=m -> w2 # asked by Dan, D'))
      .toEqual([['endpoints', 'conflict', 4, 'Cat', 5, 'Dan', 'earlierLine']])
    expect(conflictsOf('worth workspace=* -> 1 # asked by Ann, A', 'worth workspace=b model=m -> 2 # asked by Bob, B'))
      .toEqual([['worth', 'override', 5, 'Bob', 4, 'Ann', 'moreSpecific']])
    expect(conflictsOf('route workspace=a model=m -> w1 # asked by Ann, A', 'deny model=m adapter=x # asked by Bob, B'))
      .toEqual([['endpoints', 'conflict', 5, 'Bob', 4, 'Ann', 'denies']])
    expect(conflictsOf('limit workspace=a -> concurrency=5 # asked by Ann, A', 'limit workspace=* -> concurrency=3 # asked by Bob, B'))
      .toEqual([['concurrency', 'conflict', 5, 'Bob', 4, 'Ann', 'lowestLimit']])
  })

  it('finds none where lines cannot meet, agree, or are of one team', () => {
    expect(conflictsOf('priority workspace=a -> 1 # asked by Ann, A', 'priority workspace=b -> 2 # asked by Bob, B')).toEqual([])
    expect(conflictsOf('priority model=m -> 1 # asked by Ann, A', 'priority service=m -> 2 # asked by Bob, B')).toEqual([])
    expect(conflictsOf('priority model=m -> 1 # asked by Ann, A', 'priority model=m -> 1 # asked by Bob, B')).toEqual([])
    expect(conflictsOf('priority model=m -> 1 # asked by Ann, A', 'priority model=m -> 2 # asked by Abe, A')).toEqual([])
  })

  it('finds lines that never decide', () => {
    const { shadowed } = checkRules(rulesOf('deny workspace=a # asked by Ann, A', 'route workspace=a model=m -> w1 # asked by Ann, A', 'priority model=m -> 1 # asked by Ann, A', 'priority model=m -> 2 # asked by Abe, A'))
    expect(shadowed.map(({ shadowed: line, by }) => [line.line, by.line])).toEqual([[5, 4], [7, 6]])
  })

  it.each(['harrowgate', 'wspolny-tor'])('finds the conflicts of %s, and the matcher decides as it says', name => {
    const rules = parseRules(readFileSync(`examples/${name}/rules.txt`, 'utf8'))._unsafeUnwrap()
    const { conflicts } = checkRules(rules)
    const real = conflicts.filter(({ severity }) => severity === 'conflict')
    expect(real.length).toBeGreaterThanOrEqual(3)
    expect(real.every(({ winner, loser }) => winner.team !== loser.team && winner.asker !== loser.asker)).toBe(true)
    const ruleset = createRuleset(rules)
    for (const { attribute, workspace, winner, loser, reason } of real.filter(conflict => conflict.reason === 'ownsWorkspace')) {
      const model = /model=([a-z]+)/.exec(winner.text)?.[1]
      expect([reason, ruleset.decide({ workspace, model }).because[attribute]]).toEqual([reason, winner])
      expect(winner.team).not.toBe(loser.team)
    }
  })
})

describe('explain', () => {
  it('lists the lines that lost, and why', () => {
    const ruleset = createRuleset(rulesOf('priority workspace=* -> 1 # asked by Pat, P', 'priority workspace=a -> 2 # asked by Bob, B', 'priority workspace=a -> 3 # asked by Ann, A', 'model old -> m # asked by Pat, P'))
    const { query, decision, attributes } = explain(ruleset, { workspace: 'a', model: 'old' })
    expect([query.model, decision.priority]).toEqual(['m', 3])
    const priority = attributes.find(({ attribute }) => attribute === 'priority')
    expect(priority?.others.map(({ origin, reason }) => [origin.line, reason])).toEqual([[4, 'moreSpecific'], [5, 'ownsWorkspace']])
  })
})

describe('rules diff', () => {
  const ann: Operator = { role: 'publish', team: 'A', workspaces: ['a'] }
  const foreignOf = (before: readonly Rule[], after: readonly Rule[], operator = ann): unknown[] =>
    findForbiddenChanges(diffRules(before, after), operator).map(change => [change.kind, change.rule.origin.line])

  it('sees no change in spacing, comments and harmless moves', () => {
    const [first, second] = ['priority workspace=a -> 2 # asked by Ann, A', 'priority workspace=b -> 3 # asked by Bob, B']
    expect(diffRules(rulesOf(first, second), rulesOf(`  ${second}`, '# note', first.replace(' ->', '   ->')))).toEqual([])
  })

  it('sees a move that decides', () => {
    const [first, second] = ['route model=m -> w1 # asked by Ann, A', 'route model=m -> w2 # asked by Bob, B']
    const changes = diffRules(rulesOf(first, second), rulesOf(second, first))
    expect(changes).toMatchObject([{ kind: 'reordered', rule: { origin: { asker: 'Bob' } }, other: { origin: { asker: 'Ann' } } }])
    expect(findForbiddenChanges(changes, ann)).toHaveLength(1)
  })

  it('lets a team change its own lines in its workspaces only', () => {
    const before = rulesOf('priority workspace=a -> 2 # asked by Bob, B')
    expect(foreignOf(before, rulesOf('priority workspace=a -> 2 # asked by Bob, B', 'limit workspace=a -> concurrency=1 # asked by Ann, A'))).toEqual([])
    expect(foreignOf(before, rulesOf())).toEqual([['removed', 4]])
    expect(foreignOf(before, rulesOf('priority workspace=a -> 2 # asked by Ann, A'))).toEqual([['removed', 4]])
    expect(foreignOf(rulesOf(), rulesOf('priority workspace=b -> 2 # asked by Ann, A'))).toEqual([['added', 4]])
    expect(foreignOf(rulesOf(), rulesOf('priority workspace=* -> 2 # asked by Ann, A'))).toEqual([['added', 4]])
    expect(foreignOf(rulesOf(), rulesOf('model n version=1 # asked by Ann, A'))).toEqual([['added', 4]])
    expect(foreignOf(rulesOf(), rulesOf('model n version=1 # asked by Ann, A'), { ...ann, role: 'fleet' })).toEqual([])
  })

  it('names what is touched', () => {
    const changes = diffRules(rulesOf('priority workspace=a -> 2 # asked by Bob, B'), rulesOf('deny model=m # asked by Ann, A'))
    expect(touched(changes)).toMatchObject({ workspaces: ['a'], fleet: true, origins: [{ team: 'B' }, { team: 'A' }] })
  })
})
