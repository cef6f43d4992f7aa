import { createCrashInvestigations } from './crashInvestigations.js'

const build = () => {
  const asked: (readonly string[])[] = []
  const verdicts: string[] = []
  const investigations = createCrashInvestigations({
    isFirstCoordinator: () => true,
    ask: (_scope, features) => { asked.push(features) },
    onVerdict: (_scope, { feature }) => { verdicts.push(feature) },
    onExplained: () => { /* Not checked. */ },
    onConcluded: () => { /* Not checked. */ }
  })
  let lifetimes = 0
  const crash = (at: number, ...parts: string[]): void => {
    lifetimes++
    investigations.add('llm', { worker: `w${lifetimes}`, startedAt: 1, at, suspects: parts.map(feature => ({ feature, depth: 0, request: `r${lifetimes}`, begun: true })) }, at)
  }
  const runTo = (from: number, to: number): void => { for (let now = from; now <= to; now += 20) investigations.tick(now) }
  return { investigations, asked, verdicts, crash, runTo }
}

describe('an investigation into crashes', () => {
  it('asks about every part under several crashes, and gives its verdict once there was time to answer', () => {
    const { asked, verdicts, crash, runTo } = build()
    crash(1_000, 'p', 'shared')
    crash(1_100, 'p', 'shared')
    crash(1_200, 'p', 'once')
    runTo(1_200, 1_340)
    expect(asked).toEqual([['p', 'shared']])
    expect(verdicts).toEqual([])
    runTo(1_360, 1_400)
    expect(verdicts).toEqual(['p'])
  })

  it('does not block a part on which no one was asked, however strong the suspicion has become meanwhile', () => {
    const { investigations, asked, verdicts, crash, runTo } = build()
    for (const at of [1_000, 1_100, 1_200]) crash(at, 'p')
    runTo(1_200, 1_220)
    for (const at of [1_230, 1_270, 1_310, 1_350]) crash(at, 'shared')
    runTo(1_360, 1_400)
    expect(asked).toEqual([['p'], ['shared', 'p']])
    expect(verdicts).toEqual([])
    investigations.clear('llm', 'shared', 1_360)
    runTo(1_420, 1_600)
    expect(verdicts).toEqual(['p'])
  })
})
