/** The command `wasabireel gateway`, which runs an instance that forwards requests unchanged, on the users' platform. */
import type { Command } from 'commander'
import { err, type Result } from 'neverthrow'
import { createPlatform, settingsVariable } from '../../platform/platform.js'
import { startGateway, type GatewayProcess } from '../processes/gateway.js'
import { reportUncaughtErrors } from '../processes/lastResort.js'
import { gatewaySettingsSchema, type GatewaySettings } from '../settings/gatewaySettings.js'
import { describeProblem, readSettingsWithSchema, type SettingProblem } from '../settings/settingsReader.js'
import { printError, exitCodeHelp, exitCodes, print } from './output.js'
import { followSignalsOfProcess } from './startSignals.js'
import { createFileWatcher } from './fileWatcher.js'
import { describeUnreadable, readTextFile, type UnreadableFile } from './textFile.js'

/** Interval at which the settings file is checked for changes, in ms; the file may change without a SIGHUP. */
const fileCheckIntervalMs = 5_000

type LoadFailure = UnreadableFile | readonly SettingProblem[]

interface LoadedSettings {
  readonly text: string
  readonly settings: GatewaySettings
}

const load = (file: string): Result<LoadedSettings, LoadFailure> => {
  const text = readTextFile(file)
  if (text.isErr()) return err(text.error)
  return readSettingsWithSchema(gatewaySettingsSchema, file, text.value).map(settings => ({ text: text.value, settings }))
}

const describe = (failure: LoadFailure): string =>
  'kind' in failure ? describeUnreadable(failure) : failure.map(describeProblem).join('\n')

const reload = (file: string, gateway: GatewayProcess): void => {
  load(file).match(({ settings }) => gateway.reload(settings), failure => printError(describe(failure)))
}

const run = async (options: { readonly settings?: string, readonly check?: boolean }): Promise<void> => {
  const file = options.settings ?? process.env[settingsVariable] ?? ''
  const signals = followSignalsOfProcess()
  const loaded = load(file)
  if (loaded.isErr()) {
    printError(describe(loaded.error))
    process.exitCode = exitCodes.usage
    return
  }
  const { settings, text } = loaded.value
  if (options.check === true) {
    print(`${file}: valid settings of ${settings.instance.id}`)
    return
  }
  const gateway = await startGateway(settings, createPlatform, signals.beforeListening)
  reportUncaughtErrors(process, gateway.reportError)
  const checkFile = createFileWatcher({ read: () => readTextFile(file), onChange: () => reload(file, gateway) }, text)
  checkFile()
  signals.handOver({ stop: gateway.shutDown, reload: () => reload(file, gateway) })
  const timer = setInterval(checkFile, fileCheckIntervalMs)
  await gateway.ended
  clearInterval(timer)
  process.exit(exitCodes.done)
}

/**
 * Adds the command `gateway`.
 *
 * @param program - root command of the program
 */
export const addGatewayCommand = (program: Command): void => {
  program.command('gateway')
    .description('Run a gateway until it is stopped (SIGTERM drains it, SIGHUP reloads the settings).')
    .option('--settings <file>', `INI settings file; defaults to the file named by ${settingsVariable}`)
    .option('--check', 'check the settings file and exit')
    .addHelpText('after', `\nExample: wasabireel gateway --settings gateway.ini\n${exitCodeHelp}`)
    .action(run)
}
