/** The commands `wasabireel entry`, which runs an instance, and `wasabireel settings`, which checks a settings file. */
import type { Command } from 'commander'
import { err, ok, type Result } from 'neverthrow'
import { startEntry } from '../processes/entry.js'
import { describeProblem, readSettings, type SettingProblem } from '../settings/settingsReader.js'
import { reportUncaughtErrors } from '../processes/lastResort.js'
import type { Settings } from '../settings/settingsSchema.js'
import { printError, exitCodeHelp, exitCodes, print, printResult } from './output.js'
import { followSignalsOfProcess } from './startSignals.js'
import { describeUnreadable, readTextFile, type UnreadableFile } from './textFile.js'

const load = (file: string): Result<Settings, UnreadableFile | readonly SettingProblem[]> => {
  const text = readTextFile(file)
  return text.isOk() ? readSettings(file, text.value) : err(text.error)
}

const describe = (problem: UnreadableFile | readonly SettingProblem[]): string =>
  'kind' in problem ? describeUnreadable(problem) : problem.map(describeProblem).join('\n')

const run = async (options: { readonly settings: string }): Promise<void> => {
  const signals = followSignalsOfProcess()
  const settings = load(options.settings)
  if (settings.isErr()) {
    printError(describe(settings.error))
    process.exitCode = exitCodes.usage
    return
  }
  const entry = await startEntry(settings.value, signals.beforeListening)
  reportUncaughtErrors(process, entry.reportError)
  print(JSON.stringify({ kind: 'started', callerPort: entry.callerPort, operatorPort: entry.operatorPort, peerPort: entry.peerPort }))
  signals.handOver({ stop: entry.drain, reload: entry.reload })
  await entry.ended
  process.exitCode = exitCodes.done
}

const check = (file: string, options: { readonly json?: boolean }): void => {
  load(file).match(
    settings => {
      printResult(options.json, { valid: true, instance: settings.instance.id }, () => `${file}: valid settings of ${settings.instance.id}`)
      return ok(undefined)
    },
    problem => {
      if (options.json === true) print(JSON.stringify({ valid: false, problems: problem }))
      else printError(describe(problem))
      process.exitCode = 'kind' in problem ? exitCodes.usage : exitCodes.refused
    }
  )
}

/**
 * Adds the commands `entry` and `settings`.
 *
 * @param program - root command of the program
 */
export const addEntryCommands = (program: Command): void => {
  program.command('entry')
    .description('Run an entry instance until it is stopped (SIGTERM drains it, SIGHUP reloads the certificates).')
    .requiredOption('--settings <file>', 'INI settings of this instance')
    .addHelpText('after', `\nExample: wasabireel entry --settings examples/harrowgate/nm-derby-e1.ini\n${exitCodeHelp}`)
    .action(run)
  program.command('settings')
    .description('Check a settings file.')
    .argument('<file>', 'INI settings')
    .option('--json', 'print the result as JSON')
    .addHelpText('after', `\nExample: wasabireel settings examples/harrowgate/nm-derby-e1.ini\n${exitCodeHelp}`)
    .action(check)
}
