/** `wasabireel gateway`: runs an instance that forwards requests as they are, on the users' platform. */
import type { Command } from 'commander'
import { err, type Result } from 'neverthrow'
import { createPlatform, settingsVariable } from '../../platform/platform.js'
import { startGateway, type GatewayProcess } from '../processes/gateway.js'
import { gatewaySettingsSchema, type GatewaySettings } from '../settings/gatewaySettings.js'
import { describeProblem, readSettingsBy, type SettingProblem } from '../settings/settingsReader.js'
import { complain, exitCodeHelp, exitCodes, print } from './output.js'
import { describeUnreadable, readTextFile, type UnreadableFile } from './textFile.js'

/** How often the settings file is looked at, in ms, since it may change without a signal. */
const fileCheckInterval = 5_000

type Failure = UnreadableFile | readonly SettingProblem[]

const load = (file: string): Result<GatewaySettings, Failure> => {
  const text = readTextFile(file)
  return text.isOk() ? readSettingsBy(gatewaySettingsSchema, file, text.value) : err(text.error)
}

const describe = (failure: Failure): string =>
  'kind' in failure ? describeUnreadable(failure) : failure.map(describeProblem).join('\n')

const reloadFrom = (file: string, gateway: GatewayProcess): void => {
  load(file).match(gateway.reload, failure => complain(describe(failure)))
}

/** Reads the settings again when their text has changed. */
const watchFile = (file: string, gateway: GatewayProcess): NodeJS.Timeout => {
  let known = readTextFile(file).unwrapOr('')
  return setInterval(() => {
    const text = readTextFile(file).unwrapOr(known)
    if (text === known) return
    known = text
    reloadFrom(file, gateway)
  }, fileCheckInterval)
}

const run = async (options: { readonly settings?: string, readonly check?: boolean }): Promise<void> => {
  const file = options.settings ?? process.env[settingsVariable] ?? ''
  const settings = load(file)
  if (settings.isErr()) {
    complain(describe(settings.error))
    process.exitCode = exitCodes.usage
    return
  }
  if (options.check === true) {
    print(`${file}: valid settings of ${settings.value.instance.id}`)
    return
  }
  const gateway = await startGateway(settings.value, createPlatform)
  process.on('SIGTERM', gateway.leave)
  process.on('SIGINT', gateway.leave)
  process.on('SIGHUP', () => reloadFrom(file, gateway))
  const watch = watchFile(file, gateway)
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
