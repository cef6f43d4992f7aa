/**
 * Policy bench: runs every policy on seeded workloads of both deployments in
 * virtual time, by default on two processes. It prints the tables and verdicts
 * and writes them to docs/measurements; with `--quick` or `--workloads` it only
 * prints them: `npm run bench:policy`.
 */
import { fork } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { Command } from 'commander'
import { harrowgate, wspolnyTor } from './policy/deployments.js'
import { plot } from './policy/plot.js'
import { deploymentPage, verdictTable, workloadTable } from './policy/report.js'
import type { Results, Row } from './policy/results.js'
import { createResults } from './policy/results.js'
import type { BenchCase } from './policy/shard.js'
import { runShard } from './policy/shard.js'
import { verdictsOf } from './policy/verdicts.js'
import { workloadShapes } from './policy/workloads.js'

/** Command-line options as commander parses them. */
interface Settings {
  readonly quick?: boolean
  readonly seeds: string
  readonly processes: string
  readonly workloads?: string
}

const deployments = [harrowgate, wspolnyTor] as const
/** Workloads that `--quick` runs. */
const quickWorkloads = ['nested', 'hotShift', 'herdRestart', 'load100', 'load200', 'flooding', 'engineCrash', 'lostEvents']
const pageFolder = fileURLToPath(new URL('../docs/measurements/', import.meta.url))

const selectCases = (settings: Settings): BenchCase[] => {
  const selectedWorkloads = settings.workloads?.split(',') ?? (settings.quick === true ? quickWorkloads : undefined)
  const seeds = settings.quick === true ? 1 : Number(settings.seeds)
  return deployments.flatMap(deployment => Object.keys(workloadShapes(deployment))
    .filter(workload => selectedWorkloads?.includes(workload) ?? true)
    .flatMap(workload => Array.from({ length: seeds }, (_, index) => ({ deployment: deployment.name, workload, seed: index + 1 }))))
}

/** Runs cases in a child process and returns its rows. */
const runInChild = (cases: readonly BenchCase[]): Promise<Row[]> => new Promise((resolve, reject) => {
  const child = fork(fileURLToPath(import.meta.url), ['--child'])
  child.once('message', rows => {
    resolve(rows as Row[])
    child.disconnect()
  })
  child.once('error', reject)
  child.once('exit', code => {
    if (code !== 0) reject(new ChildFailure(code))
  })
  child.send(cases)
})

/** Thrown when a child process exits with an error before it returns its rows. */
class ChildFailure extends Error {
  override readonly name = 'ChildFailure'

  /** @param code - exit code of the child process; null if a signal ended it */
  constructor (readonly code: number | null) {
    super(`bench child process exited with code ${code}`)
  }
}

const runAll = async (settings: Settings): Promise<Results> => {
  const cases = selectCases(settings)
  const processes = Number(settings.processes)
  const shards = Array.from({ length: processes }, (_, shard) => cases.filter((_, index) => index % processes === shard))
  const rows = (await Promise.all(shards.map(runInChild))).flat()
  const caseIndex = (row: Row): number => cases.findIndex(candidate => candidate.deployment === row.deployment && candidate.workload === row.workload)
  return createResults(rows.sort((left, right) => caseIndex(left) - caseIndex(right)))
}

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`)
}

const report = async (settings: Settings): Promise<void> => {
  const results = await runAll(settings)
  const writesPages = settings.quick !== true && settings.workloads === undefined
  if (writesPages) mkdirSync(pageFolder, { recursive: true })
  for (const deployment of deployments) {
    const verdicts = verdictsOf(results, deployment)
    for (const workload of results.workloads(deployment.name)) {
      printLine(`\n## ${deployment.name}: ${workload}\n\n${workloadTable(results, deployment.name, workload)}`)
      if (writesPages) writeFileSync(`${pageFolder}${deployment.name}-${workload}.svg`, await plot(results, deployment.name, workload))
    }
    printLine(`\n## ${deployment.name}: bounds\n\n${verdictTable(verdicts)}`)
    if (writesPages) writeFileSync(`${pageFolder}${deployment.name}.md`, deploymentPage(results, deployment, verdicts, Number(settings.seeds), 'npm run bench:policy'))
  }
}

/** Runs the cases that the parent process sends and returns their rows to it. */
const runAsChild = (): void => {
  process.once('message', cases => {
    runShard(cases as BenchCase[]).then(rows => process.send?.(rows), error => {
      process.stderr.write(`${error}\n`)
      process.exitCode = 1
      process.disconnect()
    })
  })
}

if (process.argv.includes('--child')) runAsChild()
else {
  const program = new Command('bench:policy')
    .option('--quick', 'run one seed of some workloads; write no pages')
    .option('--seeds <count>', 'number of seeds per workload', '3')
    .option('--processes <count>', 'number of child processes', '2')
    .option('--workloads <names>', 'run only these workloads, separated by commas; write no pages')
  await report(program.parse().opts<Settings>())
}
