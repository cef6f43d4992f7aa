/** Commands that query or drain a running instance, such as `status`, `dump`, `endpoints`, `drain` and `addresses`. */
import type { Command } from 'commander'
import { err, ok, type Result } from 'neverthrow'
import { maxPageSize } from '../admin/adminSchemas.js'
import { requestJson, type RequestFailure, type OperatorTarget } from './operatorClient.js'
import { printError, exitCodeHelp, exitCodes, print, printResult } from './output.js'
import { describeUnreadable, readTextFile } from './textFile.js'

/** Options of every command that calls the administration API. */
export interface OperatorOptions {
  readonly operator: string
  readonly key?: string
  readonly json?: boolean
}

/** Name of the environment variable that holds the operator key. */
export const keyVariable = 'WASABIREEL_OPERATOR_KEY'

/**
 * Returns the target of a command's requests.
 *
 * @param options - options of the command
 * @returns the URL and the key; the option `--key` takes precedence over the environment
 */
export const operatorTarget = (options: OperatorOptions): OperatorTarget => ({ url: options.operator, key: options.key ?? process.env[keyVariable] })

/**
 * Prints a failure and sets the exit code.
 *
 * @param failure - failure of the request
 * @param json - whether `--json` was given
 */
export const reportFailure = (failure: RequestFailure, json: boolean | undefined): void => {
  if (failure.kind === 'unreachable') {
    printError(`${failure.url} cannot be reached: ${failure.reason}`)
    process.exitCode = exitCodes.unreachable
    return
  }
  if (json === true) print(JSON.stringify(failure.body))
  else printError(`refused (${failure.status}): ${JSON.stringify(failure.body)}`)
  process.exitCode = exitCodes.refused
}

/**
 * Adds the options of commands that call the administration API.
 *
 * @param command - command to extend
 * @returns the same command
 */
export const addOperatorOptions = (command: Command): Command => command
  .requiredOption('--operator <url>', 'operator port of any instance, as http://host:port')
  .option('--key <key>', `operator key; otherwise taken from ${keyVariable}`)
  .option('--json', 'print the result as JSON')

interface StatusRow {
  readonly id: string
  readonly dataCentre: string
  readonly state: string
  readonly configVersion?: number
}

const formatStatusTable = (rows: readonly StatusRow[]): string => {
  const cells = [['instance', 'data centre', 'state', 'version'], ...rows.map(row => [row.id, row.dataCentre, row.state, String(row.configVersion ?? '?')])]
  const widths = cells[0].map((_, column) => Math.max(...cells.map(row => row[column].length)))
  return cells.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n')
}

const requestAndPrint = (method: 'GET' | 'POST', path: (argument: string) => string, formatText: (value: unknown) => string) =>
  async (options: OperatorOptions, argument = ''): Promise<void> => {
    const answer = await requestJson(operatorTarget(options), method, path(argument))
    answer.match(
      value => printResult(options.json, value, () => formatText(value)),
      failure => reportFailure(failure, options.json)
    )
  }

/** Fetches all pages of a list and returns their rows. */
const fetchAllPages = async (options: OperatorOptions, path: string, name: string): Promise<Result<readonly unknown[], RequestFailure>> => {
  const rows: unknown[] = []
  for (let after: string | undefined = ''; after !== undefined;) {
    const answer: Result<unknown, RequestFailure> = await requestJson(operatorTarget(options), 'GET', `${path}?limit=${maxPageSize}${after === '' ? '' : `&after=${encodeURIComponent(after)}`}`)
    if (answer.isErr()) return err(answer.error)
    const page = answer.value as Readonly<Record<string, unknown>>
    rows.push(...page[name] as unknown[])
    after = page.next as string | undefined
  }
  return ok(rows)
}

/**
 * Creates the action of a command that prints all rows of a paginated list.
 *
 * @param path - path of the list operation
 * @param name - member of the answer that holds the rows
 * @returns the action of the command
 */
export const createListAction = (path: string, name: string) => async (options: OperatorOptions): Promise<void> => {
  const rows = await fetchAllPages(options, path, name)
  rows.match(
    value => printResult(options.json, { [name]: value }, () => formatJson({ [name]: value })),
    failure => reportFailure(failure, options.json)
  )
}

const formatJson = (value: unknown): string => JSON.stringify(value, null, 2)
const status = requestAndPrint('GET', () => '/v1/status', value => formatStatusTable((value as { instances: StatusRow[] }).instances))
const dump = requestAndPrint('GET', () => '/dump', formatJson)
const orders = requestAndPrint('GET', () => '/v1/orders', formatJson)
const drainInstance = requestAndPrint('POST', () => '/v1/drain', () => 'the instance is draining')
const drainEndpoint = requestAndPrint('POST', id => `/v1/endpoints/${encodeURIComponent(id)}/drain`, () => 'the endpoint is draining: it gets no new requests')

const addresses = async (options: { readonly entry: string, readonly workspace: string, readonly json?: boolean }): Promise<void> => {
  const answer = await requestJson({ url: options.entry }, 'GET', `/v1/addresses?workspace=${encodeURIComponent(options.workspace)}`)
  answer.match(
    value => printResult(options.json, value, () => (value as { addresses: { id: string, host: string, port: number }[] }).addresses.map(({ id, host, port }) => `${host}:${port}  ${id}`).join('\n')),
    failure => reportFailure(failure, options.json)
  )
}

const example = (line: string): string => `\nExample: wasabireel ${line}\n${exitCodeHelp}`

interface ExplainOptions extends OperatorOptions {
  readonly workspace: string
  readonly model: string
  readonly adapter?: string
  readonly prompt: string
}

interface Ranking {
  readonly levels: readonly number[]
  readonly workers: readonly { readonly endpoint: string, readonly expectedWait: number, readonly cachedTokens: number, readonly level: number, readonly score: number }[]
}

const formatRanking = ({ levels, workers }: Ranking): string => [
  `prefix levels end at blocks ${levels.join(', ')}`,
  ...workers.map(({ endpoint, expectedWait, cachedTokens, level, score }) =>
    `${endpoint}: first token in ${Math.round(expectedWait)} ms, ${Math.round(cachedTokens)} tokens cached, placed for ${level} levels, score ${score.toFixed(1)}`)
].join('\n')

const explainModel = async (options: ExplainOptions): Promise<void> => {
  const text = readTextFile(options.prompt)
  if (text.isErr()) {
    printError(describeUnreadable(text.error))
    process.exitCode = exitCodes.usage
    return
  }
  const { workspace, model, adapter } = options
  const answer = await requestJson(operatorTarget(options), 'POST', '/v1/explain/model', JSON.stringify({ workspace, model, adapter, prompt: text.value.split(promptSeparator) }))
  answer.match(
    value => printResult(options.json, value, () => formatRanking(value as Ranking)),
    failure => reportFailure(failure, options.json)
  )
}

/** Separator between the messages of a prompt file. */
const promptSeparator = '\n---\n'

/**
 * Adds the commands that query or drain a running instance.
 *
 * @param program - root command of the program
 */
export const addOperatorCommands = (program: Command): void => {
  addOperatorOptions(program.command('status').description('Show which instance runs which configuration version.'))
    .addHelpText('after', example('status --operator http://127.0.0.1:7100'))
    .action((options: OperatorOptions) => status(options))
  addOperatorOptions(program.command('dump').description('Show the state of one instance, without secrets and bodies.'))
    .addHelpText('after', example('dump --operator http://127.0.0.1:7100'))
    .action((options: OperatorOptions) => dump(options))
  addOperatorOptions(program.command('endpoints').description('Show workers and plain services as one instance sees them.'))
    .addHelpText('after', example('endpoints --operator http://127.0.0.1:7100'))
    .action(createListAction('/v1/endpoints', 'endpoints'))
  addOperatorOptions(program.command('workspaces').description('Show workspaces with their limits and their use at one instance.'))
    .addHelpText('after', example('workspaces --operator http://127.0.0.1:7100'))
    .action(createListAction('/v1/workspaces', 'workspaces'))
  addOperatorOptions(program.command('orders').description('Show which orders to workers are in progress.'))
    .addHelpText('after', example('orders --operator http://127.0.0.1:7100'))
    .action((options: OperatorOptions) => orders(options))
  addOperatorOptions(program.command('drain').description('Drain an instance, or an endpoint so that it gets no new requests.').argument('[endpoint]', 'endpoint to drain; the instance itself if omitted'))
    .addHelpText('after', example('drain nm-derby-w1 --operator http://127.0.0.1:7100'))
    .action((endpoint: string | undefined, options: OperatorOptions) => endpoint === undefined ? drainInstance(options) : drainEndpoint(options, endpoint))
  addOperatorOptions(program.command('explain').description('Show which worker one instance would choose for a model request now, and why.'))
    .requiredOption('--workspace <name>', 'workspace')
    .requiredOption('--model <name>', 'model')
    .option('--adapter <name>', 'adapter')
    .requiredOption('--prompt <file>', 'prompt, its messages separated by lines of ---')
    .addHelpText('after', example('explain --workspace listings --model drafter --prompt prompt.txt --operator http://127.0.0.1:7100'))
    .action(explainModel)
  program.command('addresses')
    .description('Show which addresses the callers of a workspace should use. Any instance can answer.')
    .requiredOption('--entry <url>', 'caller port of any instance, as http://host:port')
    .requiredOption('--workspace <name>', 'workspace')
    .option('--json', 'print the result as JSON')
    .addHelpText('after', example('addresses --entry http://127.0.0.1:7000 --workspace listings'))
    .action(addresses)
}
