/** The command line: one program whose subcommands run an instance or ask one. */
import { Command } from 'commander'
import { version } from '../version.js'

const program = new Command('wasabireel')
  .description('Routes language-model traffic whose prompts share long prefixes.')
  .version(version)

program.action(() => program.help())
program.parse()
