import { readFileSync } from 'node:fs'
import { createHash } from 'node:crypto'
import { createRuleset, decide, admitsEndpoint } from './rulesMatcher.js'
import { parseRules } from './rulesParser.js'
import type { RuleError, Ruleset } from './rulesTypes.js'

const rulesetOf = (text: string): Ruleset => createRuleset(parseRules(text)._unsafeUnwrap())
const errorsOf = (text: string): readonly RuleError[] => parseRules(text)._unsafeUnwrapErr()
const hashOf = (text: string): string => createHash('sha256').update(text).digest('hex')
const example = (name: string): string => readFileSync(`examples/${name}/rules.txt`, 'utf8')

describe('parseRules', () => {
  it('reports every error with line, column and key', () => {
    const errors = errorsOf([
      'workspace listings worth=big # asked by Ines, Listings',
      'rout workspace=listings -> any # asked by Ines, Listings',
      'workspace guidance',
      'route workspace=listings colour=red # asked by Ines, Listings',
      'deny workspace=listings -> x # asked by Ines, Listings'
    ].join('\n'))
    expect(errors.map(({ code, line, column, key }) => [code, line, column, key])).toEqual([
      ['badValue', 1, 26, 'worth'],
      ['unknownVerb', 2, 1, undefined],
      ['missingAsker', 3, 19, undefined],
      ['unknownKey', 4, 26, 'colour'],
      ['missingTarget', 4, 36, undefined],
      ['unexpectedTarget', 5, 28, undefined]
    ])
  })

  it('reports undeclared and repeated names', () => {
    const errors = errorsOf([
      'workspace a # asked by Ann, A',
      'workspace a # asked by Bob, B',
      'route workspace=b model=m adapter=x -> any # asked by Ann, A'
    ].join('\n'))
    expect(errors.map(error => [error.code, error.line])).toEqual([
      ['repeatedName', 2], ['undeclaredWorkspace', 3], ['undeclaredModel', 3], ['undeclaredAdapter', 3]
    ])
  })

  it('rejects a key that is assigned to two workspaces', () => {
    const hash = `sha256:${hashOf('k')}`
    const errors = errorsOf(`workspace a # asked by A\nworkspace b # asked by B\nkey workspace=a hash=${hash} # asked by A\nkey workspace=b hash=${hash} # asked by B`)
    expect(errors.map(error => [error.code, error.line, error.key])).toEqual([['repeatedName', 4, 'hash']])
  })

  it.each([['harrowgate', 'drafter', '7'], ['wspolny-tor', 'assistant', '12']])('parses the rules of the example %s', (name, model, version) => {
    const ruleset = rulesetOf(example(name))
    expect(ruleset.workspaces()).toHaveLength(8)
    expect(ruleset.models().get(model)?.weightVersion).toBe(version)
    for (const workspace of ruleset.workspaces()) expect(ruleset.workspaceOfKey(hashOf(`demo-key-${workspace}`), 0)).toBe(workspace)
    expect(ruleset.operatorOfKey(hashOf('demo-operator-fleet'), 0)?.role).toBe('fleet')
    expect(ruleset.operatorOfKey(hashOf('demo-operator-read'), 0)?.role).toBe('read')
  })
})

describe('parseRules with known rules', () => {
  it('returns the same result as without them', () => {
    const text = example('harrowgate')
    const edited = text.replace('worth=2 priority=3', 'worth=5 priority=3').replace('# Bookings run', 'deny workspace=portal # asked by Ayo, Portal\n# Bookings run')
    const known = parseRules(text)._unsafeUnwrap()
    expect(parseRules(edited, known)).toEqual(parseRules(edited))
    expect(parseRules(`${edited}nonsense`, known)).toEqual(parseRules(`${edited}nonsense`))
  })
})

describe('ruleset', () => {
  const harrowgate = rulesetOf(example('harrowgate'))

  it('gives precedence to the workspace owner between equally specific rules', () => {
    const decision = decide(harrowgate, { workspace: 'guidance', model: 'classifier' })
    expect(decision.priority).toBe(9)
    expect(decision.because.priority.asker).toBe('Tom')
    expect(decision.deadline).toBe(2000)
  })

  it('returns the rule that decided each attribute', () => {
    const decision = decide(harrowgate, { workspace: 'listings', model: 'writer' })
    expect(decision).toMatchObject({ allowed: true, model: 'drafter', weightVersion: '7', endpoints: ['nm-derby-w1', 'nm-derby-w2', 'nm-leicester-w1', 'nm-leicester-w2'] })
    expect(decision.because.endpoints.text).toContain('asked by Ines, Listings')
    expect(admitsEndpoint(decision, { id: 'nm-derby-w1', dataCentre: 'nm-derby' })).toBe(true)
    expect(admitsEndpoint(decision, { id: 'nm-nottingham-w1', dataCentre: 'nm-nottingham' })).toBe(false)
  })

  it.each(['/bookings', '/bookings?x=1', '//bookings', '/x/../bookings/', '/%62ookings', '/bookings/7'])('marks POST requests to %s as not repeatable, but not GET requests', path => {
    expect(decide(harrowgate, { workspace: 'viewings', service: 'bookings', method: 'post', path }).repeatable).toBe(false)
    expect(decide(harrowgate, { workspace: 'viewings', service: 'bookings', method: 'GET', path }).repeatable).toBe(true)
  })

  it('refuses denied requests and unknown workspaces, models and adapters', () => {
    const refusalOf = (query: Parameters<typeof decide>[1]): unknown => decide(harrowgate, query).refusal
    expect(refusalOf({ workspace: 'archive', service: 'bookings', method: 'GET', path: '/' })).toBe('denied')
    expect(refusalOf({ workspace: 'nobody', model: 'drafter' })).toBe('unknownWorkspace')
    expect(refusalOf({ workspace: 'listings', model: 'nothing' })).toBe('unknownModel')
    expect(refusalOf({ workspace: 'listings', model: 'classifier', adapter: 'branch' })).toBe('unknownAdapter')
  })

  it('applies the lowest of all matching limits', () => {
    expect(harrowgate.limits('lettings')).toEqual({ requestsPerSecond: 8, concurrency: 16 })
  })

  it('accepts an old and a new key while their validity periods overlap', () => {
    const key = (name: string, bounds: string): string => `key workspace=a hash=sha256:${hashOf(name)} ${bounds} # asked by Ann, A`
    const ruleset = rulesetOf(['workspace a # asked by Ann, A', key('old', 'until=2026-03-02T00:00Z'), key('new', 'from=2026-03-01T00:00Z')].join('\n'))
    const found = (time: string): unknown[] => ['old', 'new'].map(name => ruleset.workspaceOfKey(hashOf(name), Date.parse(time)))
    expect(found('2026-02-28T00:00Z')).toEqual(['a', undefined])
    expect(found('2026-03-01T12:00Z')).toEqual(['a', 'a'])
    expect(found('2026-03-02T00:00Z')).toEqual([undefined, 'a'])
  })
})
