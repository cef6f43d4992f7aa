/**
 * The faults that are known and not mended yet, as `KNOWN-RED.txt` lists them, and
 * the verdict on a run of all tests: a failure is passed over only if it is listed,
 * and a listed test must exist and must still fail.
 */
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'

/** Schema of an entry; each field is one line `NAME: VALUE` of the file. */
const entrySchema = z.strictObject({
  /** File and full name of a test, separated by ` > `; undefined for a run of the soak. */
  test: z.string().regex(/^\S+\.spec\.ts > .+$/).optional(),
  /** Seed of a run of the soak; undefined for a test. */
  soak: z.string().regex(/^\d+$/).optional(),
  /** Command that shows the fault. */
  command: z.string().min(1),
  /** What was seen. */
  seen: z.string().min(1),
  /** Number of the open issue. */
  issue: z.string().regex(/^\d+$/)
}).refine(({ test, soak }) => (test === undefined) !== (soak === undefined), { message: 'needs either `test` or `soak`' })

/** A known fault. */
export type KnownRed = z.infer<typeof entrySchema>

/** A paragraph of the file that is not an entry; `line` counts from 1. */
export interface MalformedEntry {
  readonly line: number
  readonly problem: string
}

/** Schema of the part of the test runner's report that the verdict uses. */
export const testReportSchema = z.object({
  numTotalTests: z.number().min(1),
  testResults: z.array(z.object({
    /** Path of the test file. */
    name: z.string(),
    /** Why the file could not be run; empty if it was run. */
    message: z.string(),
    assertionResults: z.array(z.object({ fullName: z.string(), status: z.string() }))
  }))
})

/** The test runner's report. */
export type TestReport = z.infer<typeof testReportSchema>

/** Joins the reports of several runs, of which each has run other tests. */
export const joinReports = (reports: readonly TestReport[]): TestReport => ({
  numTotalTests: reports.reduce((sum, { numTotalTests }) => sum + numTotalTests, 0),
  testResults: reports.flatMap(({ testResults }) => testResults)
})

/** Why a run of the tests is not accepted. */
export type Objection =
  | { readonly kind: 'unlistedFailure', readonly test: string }
  | { readonly kind: 'fileNotRun', readonly file: string }
  | { readonly kind: 'listedMissing', readonly test: string }
  | { readonly kind: 'listedPasses', readonly test: string }
  | { readonly kind: 'listedTwice', readonly test: string }

const fieldPattern = /^([a-z]+): (.+)$/

interface Paragraph {
  readonly line: number
  readonly lines: readonly string[]
}

/** Splits the file at empty lines; lines that begin with `#` are comments. */
const paragraphsOf = (text: string): readonly Paragraph[] => {
  const paragraphs: { line: number, lines: string[] }[] = []
  let open = false
  for (const [index, line] of text.split('\n').entries()) {
    if (line.startsWith('#')) continue
    if (line.trim() === '') {
      open = false
      continue
    }
    if (!open) paragraphs.push({ line: index + 1, lines: [] })
    open = true
    paragraphs.at(-1)?.lines.push(line)
  }
  return paragraphs
}

const parseParagraph = ({ line, lines }: Paragraph): Result<KnownRed, MalformedEntry> => {
  const fields: Record<string, string> = {}
  for (const [offset, text] of lines.entries()) {
    const match = fieldPattern.exec(text)
    if (match === null) return err({ line: line + offset, problem: `not a field: ${text}` })
    if (match[1] in fields) return err({ line: line + offset, problem: `repeated field: ${match[1]}` })
    fields[match[1]] = match[2]
  }
  const parsed = entrySchema.safeParse(fields)
  return parsed.success ? ok(parsed.data) : err({ line, problem: z.prettifyError(parsed.error) })
}

/**
 * Parses the list of known faults.
 *
 * @param text - contents of `KNOWN-RED.txt`; empty if there is no such file
 * @returns the entries, or the first paragraph that is not one
 */
export const parseKnownRed = (text: string): Result<readonly KnownRed[], MalformedEntry> => {
  const entries: KnownRed[] = []
  for (const paragraph of paragraphsOf(text)) {
    const entry = parseParagraph(paragraph)
    if (entry.isErr()) return err(entry.error)
    entries.push(entry.value)
  }
  return ok(entries)
}

/**
 * Judges a run of all tests.
 *
 * @param entries - the known faults
 * @param report - the test runner's report
 * @param root - folder of the repository, which the paths in the report begin with
 * @returns why the run is not accepted; empty if it is
 */
export const judgeTests = (entries: readonly KnownRed[], report: TestReport, root: string): readonly Objection[] => {
  const listed = entries.flatMap(({ test }) => test === undefined ? [] : [test])
  const statuses = new Map<string, string>()
  const objections: Objection[] = []
  for (const { name, message, assertionResults } of report.testResults) {
    const file = name.startsWith(`${root}/`) ? name.slice(root.length + 1) : name
    const failures = assertionResults.filter(({ status }) => status === 'failed')
    if (assertionResults.length === 0 || (message !== '' && failures.length === 0)) objections.push({ kind: 'fileNotRun', file })
    for (const { fullName, status } of assertionResults) statuses.set(`${file} > ${fullName}`, status)
  }
  for (const [test, status] of statuses) if (status !== 'passed' && !listed.includes(test)) objections.push({ kind: 'unlistedFailure', test })
  for (const [index, test] of listed.entries()) {
    if (listed.indexOf(test) !== index) objections.push({ kind: 'listedTwice', test })
    else if (!statuses.has(test)) objections.push({ kind: 'listedMissing', test })
    else if (statuses.get(test) !== 'failed') objections.push({ kind: 'listedPasses', test })
  }
  return objections
}
