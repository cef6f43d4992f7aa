import { createCrashCorrelator, type ReportedSuspect } from './crashCorrelator.js'

const suspect = (feature: string, request: string, overrides: Partial<ReportedSuspect> = {}): ReportedSuspect => ({ feature, depth: 1, request, begun: true, ...overrides })

const build = () => {
  const correlator = createCrashCorrelator()
  let lifetimes = 0
  const crash = (at: number, ...suspects: ReportedSuspect[]): void => {
    lifetimes++
    correlator.add({ worker: `w${lifetimes}`, startedAt: 1, at, suspects })
  }
  const suspected = (now = 10_000): readonly string[] => correlator.suspects(now).map(({ feature }) => feature)
  return { correlator, crash, suspected }
}

describe('the correlator of crashes', () => {
  it('suspects the part that all crashes have in common, at the third moment', () => {
    const { crash, suspected } = build()
    crash(1_000, suspect('p', 'r1'), suspect('x', 'r1'))
    crash(1_200, suspect('p', 'r2'), suspect('y', 'r2'))
    expect(suspected()).toEqual([])
    crash(1_400, suspect('p', 'r3'), suspect('x', 'r9'))
    expect(suspected()).toEqual(['p'])
  })

  it('counts the crash of a lifetime once, whoever reports it', () => {
    const { correlator, suspected } = build()
    for (const request of ['r1', 'r2', 'r3', 'r4']) correlator.add({ worker: 'w1', startedAt: 1, at: 1_000, suspects: [suspect('p', request)] })
    expect(suspected()).toEqual([])
  })

  it('counts crashes at the same moment once, as of a common cause', () => {
    const { crash, suspected } = build()
    for (let index = 0; index < 9; index++) crash(1_000 + index, suspect('p', `r${index}`))
    expect(suspected()).toEqual([])
  })

  it('does not suspect the parts of one request that was sent to several workers', () => {
    const { crash, suspected } = build()
    for (const at of [1_000, 1_200, 1_400]) crash(at, suspect('p', 'r1'))
    expect(suspected()).toEqual([])
  })

  it('counts crashes half under a part that the workers had not begun to answer', () => {
    const { crash, suspected } = build()
    for (let index = 0; index < 5; index++) crash(1_000 + 100 * index, suspect('p', `r${index}`, { begun: false }))
    expect(suspected()).toEqual([])
    crash(1_500, suspect('p', 'r5', { begun: false }))
    expect(suspected()).toEqual(['p'])
  })

  it('does not suspect a part on which an answer has begun since and went well', () => {
    const { correlator, crash, suspected } = build()
    for (let index = 0; index < 3; index++) crash(1_000 + 100 * index, suspect('p', `r${index}`))
    correlator.clear('p', 1_150)
    expect(suspected()).toEqual([])
    crash(1_300, suspect('p', 'r3', { provenAt: 1_250 }))
    expect(suspected()).toEqual([])
  })

  it('wants more crashes under a part that was sound before', () => {
    const { correlator, crash, suspected } = build()
    correlator.clear('p', 500)
    for (let index = 0; index < 4; index++) crash(1_000 + 100 * index, suspect('p', `r${index}`))
    expect(suspected()).toEqual([])
    crash(1_400, suspect('p', 'r4'))
    expect(suspected()).toEqual(['p'])
  })

  it('takes the part that never was sound before one that merely comes with it, and then lets that one go', () => {
    const { correlator, crash, suspected } = build()
    correlator.clear('first', 500)
    for (let index = 0; index < 5; index++) crash(1_000 + 100 * index, suspect('first', `r${index}`, { depth: 0 }), suspect('p', `r${index}`))
    expect(suspected()).toEqual(['p', 'first'])
    correlator.explain('p')
    expect(suspected()).toEqual([])
    crash(1_600, suspect('first', 'r6'), suspect('p', 'r6'))
    expect(suspected()).toEqual([])
  })

  it('lets a part go that was taken first if the one found later explains all of its crashes', () => {
    const { correlator, crash, suspected } = build()
    for (let index = 0; index < 3; index++) crash(1_000 + 100 * index, suspect('p', `r${index}`, { depth: 0 }), suspect('x', `r${index}`))
    expect(suspected()[0]).toBe('x')
    correlator.explain('x')
    for (let index = 0; index < 3; index++) crash(2_000 + 100 * index, suspect('p', `s${index}`, { depth: 0 }), suspect(`y${index}`, `s${index}`))
    expect(suspected()).toEqual(['p'])
    correlator.explain('p')
    expect(correlator.redundantBeside('p')).toEqual(['x'])
  })

  it('keeps a part beside another one if some of its crashes are its own', () => {
    const { correlator, crash } = build()
    crash(900, suspect('x', 'r9'))
    for (let index = 0; index < 3; index++) crash(1_000 + 100 * index, suspect('p', `r${index}`, { depth: 0 }), suspect('x', `r${index}`))
    correlator.explain('x')
    correlator.explain('p')
    expect(correlator.redundantBeside('p')).toEqual([])
  })

  it('counts the crashes against others again if the part that explained them was sound', () => {
    const { correlator, crash, suspected } = build()
    for (let index = 0; index < 4; index++) crash(1_000 + 100 * index, suspect('p', `r${index}`), suspect('q', `r${index}`, { depth: 0 }))
    correlator.explain('p')
    correlator.clear('p', 2_000)
    correlator.release('p', true)
    expect(suspected()).toEqual(['q'])
  })

  it('finds two parts that crash workers in turn', () => {
    const { crash, suspected } = build()
    for (let index = 0; index < 6; index++) crash(1_000 + 100 * index, suspect(index % 2 === 0 ? 'p' : 'q', `r${index}`))
    expect([...suspected()].sort()).toEqual(['p', 'q'])
  })

  it('forgets crashes of long ago', () => {
    const { crash, suspected } = build()
    for (let index = 0; index < 3; index++) crash(1_000 + 100 * index, suspect('p', `r${index}`))
    expect(suspected(700_000)).toEqual([])
  })
})
