import { joinReports, judgeTests, parseKnownRed, type KnownRed, type TestReport } from './knownRed.js'

const entryText = 'test: src/a.spec.ts > a thing works\ncommand: npx jest src/a.spec.ts\nseen: it does not\nissue: 25\n'

const buildEntry = (test: string): KnownRed => ({ test, command: 'npx jest', seen: 'fails', issue: '25' })

const buildReport = (statuses: Readonly<Record<string, string>>, message = ''): TestReport => ({
  numTotalTests: Object.keys(statuses).length,
  testResults: [{ name: '/repo/src/a.spec.ts', message, assertionResults: Object.entries(statuses).map(([fullName, status]) => ({ fullName, status })) }]
})

const judge = (listed: readonly string[], report: TestReport) =>
  judgeTests(listed.map(name => buildEntry(`src/a.spec.ts > ${name}`)), report, '/repo').map(({ kind }) => kind)

describe('the list of known faults', () => {
  it('is parsed by paragraphs, without comments', () => {
    expect(parseKnownRed(`# comment\n\n${entryText}\n${entryText}`)._unsafeUnwrap()).toHaveLength(2)
    expect(parseKnownRed('')._unsafeUnwrap()).toEqual([])
  })

  it.each([
    ['a line that is no field', `${entryText}loose words\n`, 5],
    ['an unknown field', `\n${entryText}skip: yes\n`, 2],
    ['no command', 'test: src/a.spec.ts > b\nseen: x\nissue: 2\n', 1],
    ['a test without its file', 'test: a thing\ncommand: x\nseen: x\nissue: 2\n', 1],
    ['neither test nor soak', 'command: x\nseen: x\nissue: 2\n', 1]
  ])('is rejected with %s', (_problem, text, line) => {
    expect(parseKnownRed(text)._unsafeUnwrapErr().line).toBe(line)
  })
})

describe('a run of the tests', () => {
  it('is accepted if exactly the listed tests fail', () => {
    expect(judge(['b'], buildReport({ a: 'passed', b: 'failed' }, 'b failed'))).toEqual([])
  })

  it('is not accepted with another failure, or with a test that was skipped', () => {
    expect(judge(['b'], buildReport({ a: 'failed', b: 'failed' }, 'both failed'))).toEqual(['unlistedFailure'])
    expect(judge([], buildReport({ a: 'pending' }))).toEqual(['unlistedFailure'])
  })

  it('is not accepted if a listed test passes, is missing or is listed twice', () => {
    expect(judge(['a'], buildReport({ a: 'passed' }))).toEqual(['listedPasses'])
    expect(judge(['c'], buildReport({ a: 'passed' }))).toEqual(['listedMissing'])
    expect(judge(['b', 'b'], buildReport({ b: 'failed' }, 'b failed'))).toEqual(['listedTwice'])
  })

  it('is not accepted if a file could not be run', () => {
    expect(judge([], { numTotalTests: 1, testResults: [{ name: '/repo/src/b.spec.ts', message: 'syntax error', assertionResults: [] }] })).toEqual(['fileNotRun'])
    expect(judge([], buildReport({ a: 'passed' }, 'error after the tests'))).toEqual(['fileNotRun'])
  })

  it('is judged by the reports of all runs together', () => {
    const joined = joinReports([buildReport({ a: 'passed' }), buildReport({ b: 'failed' }, 'b failed')])
    expect(joined.numTotalTests).toBe(buildReport({ a: 'passed' }).numTotalTests + buildReport({ b: 'failed' }).numTotalTests)
    expect(judge(['b'], joined)).toEqual([])
    expect(judge([], joined)).toEqual(['unlistedFailure'])
  })
})
