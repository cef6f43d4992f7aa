/** `wasabireel gateway`: runs an instance that forwards requests as they are, on the users' platform. */
import type { Command } from 'commander'
import { err, type Result } from 'neverthrow'
import { createPlatform, settingsVariable } from '../../platform/platform.js'
import { startGateway, type GatewayProcess } from '../processes/gateway.js'
import { gatewaySettingsSchema, type GatewaySettings } from '../settings/gatewaySettings.js'
import { describeProblem, readSettingsBy, type SettingProblem } from '../settings/settingsReader.js'
import { complain, exitCodeHelp, exitCodes, print } from './output.js'
import { watchSettings } from './settingsFile.js'
import { describeUnreadable, readTextFile, type UnreadableFile } from './textFile.js'

/** How often the settings file is looked at, in ms, since it may change without a signal. */
const fileCheckInterval = 5_000

type Failure = UnreadableFile | readonly SettingProblem[]

interface Loaded {
  readonly text: string
  readonly settings: GatewaySettings
}

const load = (file: string): Result<Loaded, Failure> => {
  const text = readTextFile(file)
  if (text.isErr()) return err(text.error)
  return readSettingsBy(gatewaySettingsSchema, file, text.value).map(settings => ({ text: text.value, settings }))
}

const describe = (failure: Failure): string =>
  'kind' in failure ? describeUnreadable(failure) : failure.map(describeProblem).join('\n')

const reloadFrom = (file: string, gateway: GatewayProcess): void => {
  load(file).match(({ settings }) => gateway.reload(settings), failure => complain(describe(failure)))
}

const run = async (options: { readonly settings?: string, readonly check?: boolean }): Promise<void> => {
  const file = options.settings ?? process.env[settingsVariable] ?? ''
  const loaded = load(file)
  if (loaded.isErr()) {
    complain(describe(loaded.error))
    process.exitCode = exitCodes.usage
    return
  }
  const { settings, text } = loaded.value
  if (options.check === true) {
    print(`${file}: valid settings of ${settings.instance.id}`)
    return
  }
  const gateway = await startGateway(settings, createPlatform)
  const look = watchSettings({ read: () => readTextFile(file), changed: () => reloadFrom(file, gateway) }, text)
  process.on('SIGTERM', gateway.shutDown)
  process.on('SIGINT', gateway.shutDown)
  process.on('SIGHUP', () => reloadFrom(file, gateway))
  look()
  const watch = setInterval(look, fileCheckInterval)
  await gateway.ended
  clearInterval(watch)
  process.exit(exitCodes.done)
}

/**
 * Adds the command.
 *
 * @param program - the command line
 */
export const addGatewayCommand = (program: Command): void => {
  program.command('gateway')
    .description('Run a gateway until it is told to leave (SIGTERM drains, SIGHUP reads the settings again).')
    .option('--settings <file>', `INI settings; without it the file that ${settingsVariable} names`)
    .option('--check', 'only check the settings')
    .addHelpText('after', `\nExample: wasabireel gateway --settings gateway.ini\n${exitCodeHelp}`)
    .action(run)
}
