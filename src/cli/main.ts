/** Entry point of the command line. Its subcommands run an instance, query a running one or work on local files. */
import { Command } from 'commander'
import { version } from '../version.js'
import { addEntryCommands } from './entryCommand.js'
import { addGatewayCommand } from './gatewayCommand.js'
import { addOperatorCommands } from './operatorCommands.js'
import { addTraceCommand } from './traceCommand.js'
import { addRulesCommands } from './rulesCommands.js'
import { printError, exitCodeHelp, exitCodes } from './output.js'

// An unhandled error on standard output, such as EPIPE after the reader has exited, would end the instance.
process.stdout.on('error', () => { process.exitCode ??= exitCodes.unreachable })

const program = new Command('wasabireel')
  .description('Routes language-model traffic whose prompts share long prefixes.')
  .version(version)
  .addHelpText('after', exitCodeHelp)

addEntryCommands(program)
addGatewayCommand(program)
addRulesCommands(program)
addOperatorCommands(program)
addTraceCommand(program)
program.action(() => program.help())
program.parseAsync().catch((error: unknown) => {
  printError(error instanceof Error ? error.message : String(error))
  process.exitCode = exitCodes.unreachable
})
