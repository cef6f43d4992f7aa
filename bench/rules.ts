/**
 * Measures parsing, checking, indexing and comparing rules files of 10,000 lines,
 * and decisions on them: `npm run bench:rules`. Run as
 * `npx tsx --expose-gc bench/rules.ts` it also measures the ruleset's heap.
 */
import { checkRules } from '../src/rules/rulesChecker.js'
import { diffRules } from '../src/rules/rulesDiff.js'
import { createRuleset } from '../src/rules/rulesMatcher.js'
import { parseRules } from '../src/rules/rulesParser.js'
import { createRandom } from '../src/random.js'
import type { RuleQuery } from '../src/rules/rulesTypes.js'

const lineCount = 10_000
const workspaceCount = 890
/** Decisions over which the time of one is averaged. */
const decisionCount = 200_000
const random = createRandom(7)
const models = ['drafter', 'classifier', 'assistant', 'summary']
const verbs = ['priority', 'worth', 'route', 'deadline', 'limit', 'deny']

/** How the workspaces that rules match are distributed over the lines. */
type WorkspaceSpread = 'evenly' | 'oneWorkspace' | 'allWorkspaces'

const pickWorkspace = (spread: WorkspaceSpread): string => {
  switch (spread) {
    case 'evenly': return random.below(50) === 0 ? '*' : `w${random.below(workspaceCount)}`
    case 'oneWorkspace': return 'w0'
    case 'allWorkspaces': return '*'
  }
}

const createTarget = (verb: string): string => {
  switch (verb) {
    case 'route': return `-> e${random.below(600)},e${random.below(600)}`
    case 'deadline': return `-> ${1 + random.below(9)}s`
    case 'limit': return `-> concurrency=${1 + random.below(99)}`
    case 'deny': return ''
    default: return `-> ${random.below(9)}`
  }
}

const createLine = (spread: WorkspaceSpread, index: number): string => {
  const verb = verbs[random.below(verbs.length)]
  const workspace = `workspace=${pickWorkspace(spread)}`
  const subject = verb === 'deny' || random.below(3) === 0 ? `service=s${random.below(20)} path=/p${random.below(50)}/*` : `model=${models[random.below(4)]}`
  const selector = verb === 'limit' ? workspace : `${workspace} ${subject}`
  return `${verb} ${selector} ${createTarget(verb)} # asked by P${index % 97}, T${random.below(60)}`
}

/** Creates a rules file of `lineCount` lines: declarations of workspaces and models, then random rules. */
const createRulesText = (spread: WorkspaceSpread): string => {
  const declarations = [
    ...Array.from({ length: workspaceCount }, (_, index) => `workspace w${index} priority=1 # asked by P${index}, T${index % 60}`),
    ...models.map(model => `model ${model} version=1 # asked by Pat, Platform`)
  ]
  return [...declarations, ...Array.from({ length: lineCount - declarations.length }, (_, index) => createLine(spread, index))].join('\n')
}

/** Runs `action` and returns its value and its duration in ms, rounded to 0.1 ms. */
const measureTime = <Value>(action: () => Value): { readonly value: Value, readonly ms: number } => {
  const started = performance.now()
  const value = action()
  return { value, ms: Math.round((performance.now() - started) * 10) / 10 }
}

/** Creates random queries, a quarter of them for services; with `varyPath` each of these has a path of its own. */
const createQueries = (varyPath: boolean): RuleQuery[] => Array.from({ length: decisionCount }, (_, index) => {
  const workspace = `w${random.below(workspaceCount)}`
  if (index % 4 > 0) return { workspace, model: models[random.below(4)] }
  return { workspace, service: `s${random.below(20)}`, method: 'POST', path: `/p${random.below(50)}/${varyPath ? index : 0}` }
})

/** Heap in use after a garbage collection, in MB. */
const heapMb = (): number => {
  global.gc?.()
  return process.memoryUsage().heapUsed / 1e6
}

/** Measures the heap of a ruleset after one decision for every workspace, in MB. */
const measureRulesetHeap = (text: string): number => {
  const before = heapMb()
  const ruleset = createRuleset(parseRules(text)._unsafeUnwrap())
  ruleset.workspaces().forEach(workspace => ruleset.decide({ workspace, model: models[0] }))
  const after = heapMb()
  return ruleset.rules.length > 0 ? Math.round((after - before) * 10) / 10 : 0
}

for (const spread of ['evenly', 'oneWorkspace', 'allWorkspaces'] as const) {
  const text = createRulesText(spread)
  const parsed = measureTime(() => parseRules(text)._unsafeUnwrap())
  const checked = measureTime(() => checkRules(parsed.value))
  const ruleset = createRuleset(parsed.value)
  const [fixedPathQueries, newPathQueries] = [createQueries(false), createQueries(true)]
  const firstDecisions = measureTime(() => Array.from({ length: workspaceCount }, (_, index) => ruleset.decide({ workspace: `w${index}`, model: 'drafter' })))
  const repeatedDecisions = measureTime(() => fixedPathQueries.forEach(query => ruleset.decide(query)))
  const newPathDecisions = measureTime(() => newPathQueries.forEach(query => ruleset.decide(query)))
  const edited = measureTime(() => parseRules(text.replace('priority=1 ', 'priority=2 '), parsed.value)._unsafeUnwrap())
  const indexed = measureTime(() => createRuleset(edited.value))
  const difference = measureTime(() => diffRules(parsed.value, edited.value))
  console.log(JSON.stringify({
    spread,
    lines: lineCount,
    ...(global.gc === undefined ? {} : { heapMb: measureRulesetHeap(text) }),
    parseMs: parsed.ms,
    checkMs: checked.ms,
    conflicts: checked.value.conflicts.length,
    truncated: checked.value.truncated,
    parseEditedMs: edited.ms,
    indexMs: indexed.ms,
    diffMs: difference.ms,
    firstDecisionUs: Math.round(firstDecisions.ms * 1000 / workspaceCount),
    decideUs: Math.round(repeatedDecisions.ms * 1e6 / decisionCount) / 1000,
    decideNewPathUs: Math.round(newPathDecisions.ms * 1e6 / decisionCount) / 1000
  }))
}
