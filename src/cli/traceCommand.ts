/** `wasabireel trace`: the story of one request from the logs of several instances. */
import type { Command } from 'commander'
import { formatLogLine, parseLogLine, requestTimeline } from '../trace/requestTimeline.js'
import { complain, exitCodeHelp, exitCodes, print } from './output.js'
import { describeUnreadable, readTextFile } from './textFile.js'

const trace = (id: string, files: readonly string[], options: { readonly json?: boolean }): void => {
  const texts = files.map(readTextFile)
  for (const text of texts) {
    if (text.isOk()) continue
    complain(describeUnreadable(text.error))
    process.exitCode = exitCodes.usage
    return
  }
  const lines = texts.flatMap(text => text.unwrapOr('').split('\n')).flatMap(text => parseLogLine(text) ?? [])
  const story = requestTimeline(id, lines)
  if (story.length === 0) {
    complain(`no line names request ${id}`)
    process.exitCode = exitCodes.refused
    return
  }
  story.forEach(line => print(options.json === true ? JSON.stringify(line) : formatLogLine(line)))
}

/**
 * Adds the command.
 *
 * @param program - the command line
 */
export const addTraceCommand = (program: Command): void => {
  program.command('trace')
    .description('Show what the instances decided about one request, from their logs.')
    .argument('<id>', 'the caller\'s id of the request')
    .argument('<log...>', 'log files of the instances')
    .option('--json', 'print the lines as JSON')
    .addHelpText('after', `\nExample: wasabireel trace 9c41d07be2a35f68 e1.log e2.log\n${exitCodeHelp}`)
    .action(trace)
}
