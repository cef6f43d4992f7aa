/** `wasabireel entry` and `wasabireel settings`: run an instance, check its settings. */
import { readFileSync } from 'node:fs'
import type { Command } from 'commander'
import { err, ok, type Result } from 'neverthrow'
import { startEntry } from '../processes/entry.js'
import { describeProblem, readSettings, type SettingProblem } from '../settings/settingsReader.js'
import type { Settings } from '../settings/settingsSchema.js'
import { complain, exitCodeHelp, exitCodes, print, show } from './output.js'

type Unreadable = { readonly kind: 'unreadable', readonly file: string, readonly reason: string }

const load = (file: string): Result<Settings, Unreadable | readonly SettingProblem[]> => {
  try {
    return readSettings(file, readFileSync(file, 'utf8'))
  } catch (error) {
    return err({ kind: 'unreadable', file, reason: (error as NodeJS.ErrnoException).code ?? 'unknown' })
  }
}

const describe = (problem: Unreadable | readonly SettingProblem[]): string =>
  'kind' in problem ? `${problem.file}: cannot be read (${problem.reason})` : problem.map(describeProblem).join('\n')

const run = async (options: { readonly settings: string }): Promise<void> => {
  const settings = load(options.settings)
  if (settings.isErr()) {
    complain(describe(settings.error))
    process.exitCode = exitCodes.usage
    return
  }
  const entry = await startEntry(settings.value)
  print(JSON.stringify({ kind: 'started', callerPort: entry.callerPort, operatorPort: entry.operatorPort, peerPort: entry.peerPort }))
  process.once('SIGTERM', entry.drain)
  process.once('SIGINT', entry.drain)
  process.on('SIGHUP', entry.reload)
  await entry.ended
  process.exitCode = exitCodes.done
}

const check = (file: string, options: { readonly json?: boolean }): void => {
  load(file).match(
    settings => {
      show(options.json, { valid: true, instance: settings.instance.id }, () => `${file}: valid settings of ${settings.instance.id}`)
      return ok(undefined)
    },
    problem => {
      if (options.json === true) print(JSON.stringify({ valid: false, problems: problem }))
      else complain(describe(problem))
      process.exitCode = exitCodes.refused
    }
  )
}

/**
 * Adds the commands.
 *
 * @param program - the command line
 */
export const addEntryCommands = (program: Command): void => {
  program.command('entry')
    .description('Run an entry instance until it is told to leave (SIGTERM drains, SIGHUP reads certificates again).')
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
