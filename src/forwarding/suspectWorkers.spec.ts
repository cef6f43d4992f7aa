import { buildWorker } from '../../test/fixtures/forwarding.js'
import { createWorkerLoad } from '../placement/workerLoad.js'
import { createWorkersDb } from '../workers/workersDb.js'
import { createSuspectWorkers } from './suspectWorkers.js'

const build = () => {
  const told: string[] = []
  const probes: string[] = []
  const load = createWorkerLoad('w1')
  const workers = createWorkersDb()
  workers.apply([{ kind: 'present', worker: buildWorker('w1') }], true, 0)
  const doubts = createSuspectWorkers({
    workers,
    loadOf: () => load,
    emit: effect => { if (effect.kind === 'worker.probe') probes.push(effect.worker) },
    log: () => { /* Not looked at. */ },
    announceSuspect: worker => told.push(worker)
  })
  /** Lets time pass in steps of a tick. */
  const run = (from: number, to: number): void => { for (let now = from; now <= to; now += 20) doubts.tick(now) }
  return { doubts, told, probes, load, run }
}

describe('doubts of a worker', () => {
  it('are kept from the others while the own probe may still clear them', () => {
    const { doubts, told, load, run } = build()
    doubts.markSuspect('w1', 'silent', 0)
    doubts.handleProbeResult('w1', true, 8)
    run(20, 1_000)
    expect(told).toEqual([])
    expect(load.suspectedSince).toBeUndefined()
  })

  it('are told once the probe has no answer soon, and only once', () => {
    const { doubts, told, run } = build()
    doubts.markSuspect('w1', 'silent', 0)
    run(20, 1_000)
    expect(told).toEqual(['w1'])
  })

  it('are told at once where the worker has refused a connection, and after a probe that failed', () => {
    const first = build()
    first.doubts.markSuspect('w1', 'unreachable', 0)
    expect(first.told).toEqual(['w1'])
    const second = build()
    second.doubts.markSuspect('w1', 'silent', 0)
    second.doubts.handleProbeResult('w1', false, 10)
    expect(second.told).toEqual(['w1'])
  })

  it('are not passed on by those that heard them from another', () => {
    const { doubts, told, run } = build()
    doubts.markSuspect('w1', 'peer', 0)
    run(20, 1_000)
    expect(told).toEqual([])
  })

  it('do not cost a burst of late answers more than one probe in a short time', () => {
    const { doubts, probes, run } = build()
    for (let now = 0; now < 400; now += 20) {
      doubts.markSuspect('w1', 'silent', now)
      doubts.handleProbeResult('w1', true, now + 5)
    }
    run(400, 420)
    expect(probes.length).toBeLessThanOrEqual(2)
  })
})
