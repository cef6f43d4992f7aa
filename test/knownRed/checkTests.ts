/** Runs all tests and the listed soaks, prints every known fault, and exits with 1 unless exactly the listed ones fail. */
import { execFileSync, spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { joinReports, judgeTests, parseKnownRed, testReportSchema, type KnownRed, type TestReport } from './knownRed.js'

const listFile = 'KNOWN-RED.txt'
/** Length of a soak, in s, as in CI's own soak. */
const soakSeconds = '4'

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const printEntry = ({ test, soak, command, seen, issue }: KnownRed): void =>
  print(`known red: ${test ?? `soak seed ${soak}`} (issue ${issue}): ${seen}\n           ${command}`)

/** Configurations of the test runner. The tests of the second load the machine and run alone. */
const configurations = ['jest.config.cjs', 'jest.crowd.config.cjs']

/** Runs the tests of a configuration; the runner's own exit code is not used, since listed tests fail. */
const runTests = (configuration: string, folder: string): TestReport => {
  const reportFile = join(folder, `${configuration}.json`)
  spawnSync('npx', ['jest', '--config', configuration, '--json', `--outputFile=${reportFile}`], { stdio: ['ignore', 'ignore', 'inherit'] })
  return testReportSchema.parse(JSON.parse(readFileSync(reportFile, 'utf8')))
}

/** Whether the soak of a listed seed fails, as it has to. */
const soakFails = (seed: string): boolean => {
  try {
    execFileSync('npx', ['tsx', 'platform/soak/soak.ts', '--seeds', seed, '--seconds', soakSeconds], { stdio: 'inherit' })
    return false
  } catch {
    return true
  }
}

const check = (): boolean => {
  const parsed = parseKnownRed(existsSync(listFile) ? readFileSync(listFile, 'utf8') : '')
  if (parsed.isErr()) {
    print(`${listFile}:${parsed.error.line}: ${parsed.error.problem}`)
    return false
  }
  parsed.value.forEach(printEntry)
  const folder = mkdtempSync(join(tmpdir(), 'wasabireel-tests-'))
  const report = joinReports(configurations.map(configuration => runTests(configuration, folder)))
  rmSync(folder, { recursive: true })
  const objections = judgeTests(parsed.value, report, process.cwd())
  for (const objection of objections) print(`not accepted: ${JSON.stringify(objection)}`)
  const soaksThatPass = parsed.value.flatMap(({ soak }) => soak === undefined || soakFails(soak) ? [] : [soak])
  for (const seed of soaksThatPass) print(`not accepted: soak seed ${seed} is listed and passes`)
  const failed = report.testResults.flatMap(({ assertionResults }) => assertionResults.filter(({ status }) => status !== 'passed')).length
  print(`${report.numTotalTests - failed} passed, ${failed} failed`)
  return objections.length === 0 && soaksThatPass.length === 0
}

process.exitCode = check() ? 0 : 1
