/** The subcommands of `wasabireel rules`: check, explain, publish, show and history. */
import { randomUUID } from 'node:crypto'
import type { Command } from 'commander'
import { checkRules, type RuleReport } from '../rules/rulesChecker.js'
import { explain } from '../rules/rulesExplainer.js'
import { createRuleset } from '../rules/rulesMatcher.js'
import { parseRules } from '../rules/rulesParser.js'
import type { Rule, RuleError, RuleQuery } from '../rules/rulesTypes.js'
import { requestJson } from './operatorClient.js'
import { addOperatorOptions, reportFailure, operatorTarget, type OperatorOptions, createListAction } from './operatorCommands.js'
import { printError, exitCodeHelp, exitCodes, print, printResult } from './output.js'
import { describeUnreadable, readTextFile } from './textFile.js'

const describeError = (file: string, { code, line, column, key, found, allowed }: RuleError): string =>
  `${file}:${line}:${column}: ${code}${key === undefined ? '' : ` of ${key}`}: found ${found}, allowed: ${allowed}`

const describeReport = (file: string, report: RuleReport): string[] => [
  ...report.conflicts.map(({ attribute, severity, winner, loser, reason, workspace }) =>
    `${file}: ${severity} on ${attribute} for workspace ${workspace}: line ${winner.line} (${winner.asker}, ${winner.team}) wins over line ${loser.line} (${loser.asker}, ${loser.team}): ${reason}`),
  ...report.shadowed.map(({ shadowed, by }) => `${file}: line ${shadowed.line} (${shadowed.asker}) never decides, because of line ${by.line} (${by.asker})`)
]

/** Reads and parses a rules file. On failure, prints all errors, sets the exit code and returns undefined. */
const load = (file: string, json: boolean | undefined): { readonly text: string, readonly rules: readonly Rule[] } | undefined => {
  const text = readTextFile(file)
  if (text.isErr()) {
    printError(describeUnreadable(text.error))
    process.exitCode = exitCodes.usage
    return undefined
  }
  const rules = parseRules(text.value)
  if (rules.isOk()) return { text: text.value, rules: rules.value }
  if (json === true) print(JSON.stringify({ valid: false, errors: rules.error }))
  else printError(rules.error.map(error => describeError(file, error)).join('\n'))
  process.exitCode = exitCodes.refused
  return undefined
}

const check = (file: string, options: { readonly json?: boolean }): void => {
  const loaded = load(file, options.json)
  if (loaded === undefined) return
  const report = checkRules(loaded.rules)
  printResult(options.json, { valid: true, rules: loaded.rules.length, ...report }, () =>
    [`${file}: ${loaded.rules.length} rules, ${report.conflicts.length} conflicts, ${report.shadowed.length} lines that never decide`, ...describeReport(file, report)].join('\n'))
}

type ExplainOptions = RuleQuery & { readonly json?: boolean }

const explainRequest = (file: string, { json, ...query }: ExplainOptions): void => {
  const loaded = load(file, json)
  if (loaded === undefined) return
  const explanation = explain(createRuleset(loaded.rules), query)
  printResult(json, explanation, () => JSON.stringify(explanation, null, 2))
}

const publish = async (file: string, options: OperatorOptions & { readonly publisher: string, readonly base?: string }): Promise<void> => {
  const loaded = load(file, options.json)
  if (loaded === undefined) return
  const base = options.base === undefined ? await fetchCurrentVersion(options) : Number(options.base)
  if (base === undefined) return
  const body = JSON.stringify({ base, text: loaded.text, publisher: options.publisher, publishId: randomUUID() })
  const answer = await requestJson(operatorTarget(options), 'POST', '/v1/rules', body)
  answer.match(
    value => printResult(options.json, value, () => `accepted as version ${(value as { version: number }).version}`),
    failure => reportFailure(failure, options.json)
  )
}

const fetchCurrentVersion = async (options: OperatorOptions): Promise<number | undefined> => {
  const answer = await requestJson(operatorTarget(options), 'GET', '/v1/rules')
  if (answer.isOk()) return (answer.value as { version: number }).version
  if (answer.error.kind === 'refused' && answer.error.status === 404) return 0
  reportFailure(answer.error, options.json)
  return undefined
}

const showRules = async (options: OperatorOptions): Promise<void> => {
  const answer = await requestJson(operatorTarget(options), 'GET', '/v1/rules')
  answer.match(
    value => printResult(options.json, value, () => (value as { text: string }).text.trimEnd()),
    failure => reportFailure(failure, options.json)
  )
}

/**
 * Adds the command `rules` with its subcommands.
 *
 * @param program - root command of the program
 */
export const addRulesCommands = (program: Command): void => {
  const rules = program.command('rules').description('Check, explain, publish and show routing rules.')
  rules.command('check')
    .description('Check a rules file: errors with line and column, conflicts between teams, lines that never decide.')
    .argument('<file>', 'rules file')
    .option('--json', 'print the result as JSON')
    .addHelpText('after', `\nExample: wasabireel rules check examples/harrowgate/rules.txt\n${exitCodeHelp}`)
    .action(check)
  rules.command('explain')
    .description('Show which rules a request would match, and why.')
    .argument('<file>', 'rules file')
    .requiredOption('--workspace <name>', 'workspace')
    .option('--model <name>', 'model of a model request')
    .option('--adapter <name>', 'adapter of a model request')
    .option('--service <name>', 'service of a call')
    .option('--method <name>', 'method of a call')
    .option('--path <path>', 'path of a call')
    .option('--json', 'print the result as JSON')
    .addHelpText('after', `\nExample: wasabireel rules explain examples/harrowgate/rules.txt --workspace viewings --service bookings --method POST --path /bookings\n${exitCodeHelp}`)
    .action(explainRequest)
  addOperatorOptions(rules.command('publish').description('Publish a rules file; of several concurrent publishes on one version, exactly one is accepted.').argument('<file>', 'rules file'))
    .requiredOption('--publisher <name>', 'name of the publisher')
    .option('--base <version>', 'version that the file was edited from; defaults to the version in force')
    .addHelpText('after', `\nExample: wasabireel rules publish examples/harrowgate/rules.txt --publisher "Rae, Platform" --operator http://127.0.0.1:7100\n${exitCodeHelp}`)
    .action(publish)
  addOperatorOptions(rules.command('show').description('Show the rules in force.'))
    .addHelpText('after', `\nExample: wasabireel rules show --operator http://127.0.0.1:7100\n${exitCodeHelp}`)
    .action(showRules)
  addOperatorOptions(rules.command('history').description('Show who published rules and when, the newest first.'))
    .addHelpText('after', `\nExample: wasabireel rules history --operator http://127.0.0.1:7100\n${exitCodeHelp}`)
    .action(createListAction('/v1/rules/history', 'history'))
}
