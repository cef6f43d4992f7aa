import { loadHash, type Hash } from '../hash.js'
import { createRandom } from '../random.js'
import type { ModelPurpose } from '../catalog/catalogTypes.js'
import { createCachedPartsEstimate, type CachedPartsEstimate } from './cachedPartsEstimate.js'
import { tokenCostOf, placeModelRequest, type ModelCandidate, type ModelPlacementInput } from './modelPlacement.js'
import { createWorkerLoad, noteEnded, noteFirstEvent, notePeerSent, noteSent, type InFlightRequest, type WorkerLoad } from './workerLoad.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const purpose: ModelPurpose = { kind: 'model', slots: 64, memoryTokens: 100_000, tokenBytes: 163_840, linkSpeed: 130_000 }

const buildCandidate = (id: string, over: Partial<ModelCandidate> = {}): ModelCandidate => ({
  id,
  load: createWorkerLoad(id),
  kept: createCachedPartsEstimate(100_000),
  slots: 64,
  outdatedFor: 0,
  scope: 'm@1',
  sameDataCentre: true,
  ...over
})

const buildInput = (part: string, ownTokens: number, sharedTokens = 6_000): ModelPlacementInput => ({
  prompt: { model: 'm', inputTokens: sharedTokens + ownTokens, maxOutputTokens: 20, parts: [{ id: part, tokens: sharedTokens }, { id: `${part}-own`, tokens: ownTokens }] },
  purpose,
  stored: undefined,
  meanTokenCost: 0.02
})

const chosen = (candidates: readonly ModelCandidate[], input = buildInput('aa', 500)): string | undefined =>
  placeModelRequest(input, candidates, hash, 1_000)?.candidate.id

describe('placement of model requests', () => {
  it('prefers the worker that has the shared parts cached', () => {
    const holder = buildCandidate('w3')
    holder.kept.add('m@1', [{ id: 'aa', tokens: 6_000 }])
    expect(chosen([buildCandidate('w1'), buildCandidate('w2'), holder])).toBe('w3')
  })

  it('chooses the same worker on instances that have no measurements', () => {
    const ids = ['w1', 'w2', 'w3', 'w4', 'w5']
    const first = chosen(ids.map(id => buildCandidate(id)))
    expect(chosen([...ids].reverse().map(id => buildCandidate(id)))).toBe(first)
  })

  it('counts the tokens that other instances sent', () => {
    const candidates = ['w1', 'w2'].map(id => buildCandidate(id))
    const preferred = candidates.find(({ id }) => id === chosen(candidates))
    expect(preferred).toBeDefined()
    if (preferred !== undefined) notePeerSent(preferred.load, 20_000, 0.02, 900)
    expect(chosen(candidates)).not.toBe(preferred?.id)
  })

  it('avoids a failing worker even if it is idle', () => {
    const failing = buildCandidate('w1', { load: { ...createWorkerLoad('w1'), failures: 0.5 } })
    expect(chosen([failing, buildCandidate('w2')])).toBe('w2')
  })

  it('avoids a worker whose machine is slow at this moment, until that is long past', () => {
    const preferred = chosen([buildCandidate('w1'), buildCandidate('w2')])
    const slowAt = (at: number): string | undefined =>
      chosen(['w1', 'w2'].map(id => buildCandidate(id, { load: { ...createWorkerLoad(id), pace: id === preferred ? { factor: 4, at } : undefined } })))
    expect(slowAt(1_000)).not.toBe(preferred)
    expect(slowAt(-5_000)).toBe(preferred)
  })

  it('uses a suspected worker only if there is no other', () => {
    const suspected = buildCandidate('w1', { load: { ...createWorkerLoad('w1'), suspectedSince: 0 } })
    expect(chosen([suspected, buildCandidate('w2')])).toBe('w2')
    expect(chosen([suspected])).toBe('w1')
  })
})

interface Simulation {
  /** Whether each instance reports to the others what it sent. */
  readonly share: boolean
  readonly seed: number
}

const instances = 6
/** Prefill time per token of each worker, in ms. */
const speeds = [0.028, 0.028, 0.012, 0.028, 0.028, 0.012]
/** Time between two requests, in ms. */
const gap = 17
const requests = 900

/**
 * Simulates long prompts from several instances on workers of unequal speed,
 * each of which prefills one prompt after another.
 *
 * @returns the mean time to the first event of the slowest tenth of the requests, in ms
 */
const simulate = ({ share, seed }: Simulation): number => {
  const random = createRandom(seed)
  const freeAt = speeds.map(() => 0)
  const views = Array.from({ length: instances }, () => speeds.map((_, worker): { load: WorkerLoad, kept: CachedPartsEstimate } => ({ load: createWorkerLoad(`w${worker}`), kept: createCachedPartsEstimate(90_000) })))
  const due: { readonly at: number, readonly view: number, readonly worker: number, readonly flight: InFlightRequest }[] = []
  const times: number[] = []
  for (let request = 0; request < requests; request++) {
    const now = request * gap * 1.0
    due.sort((left, right) => left.at - right.at)
    while (due.length > 0 && due[0].at <= now) {
      const { at, view, worker, flight } = due.shift() ?? due[0]
      noteFirstEvent(views[view][worker].load, flight, 12, at)
      noteEnded(views[view][worker].load, flight)
    }
    const view = random.below(instances)
    const input = buildInput(`p${random.below(60)}`, Math.round(500 + 9_000 * random.unit() ** 3), 3_000)
    const candidates = views[view].map(({ load, kept }, worker) => buildCandidate(`w${worker}`, { load, kept }))
    const choice = placeModelRequest(input, candidates, hash, now)
    if (choice === undefined) continue
    const worker = Number(choice.candidate.id.slice(1))
    const flight: InFlightRequest = { attempt: request, worker: choice.candidate.id, unreadTokens: choice.unreadTokens, fetchedTokens: 0, memoryTokens: choice.memoryTokens, tokensAhead: choice.tokensAhead, sentAt: now, expected: choice.expected, firstEventAt: undefined }
    noteSent(choice.candidate.load, flight)
    freeAt[worker] = Math.max(freeAt[worker], now) + choice.unreadTokens * speeds[worker]
    times.push(freeAt[worker] + 12 - now)
    due.push({ at: freeAt[worker] + 12, view, worker, flight })
    views.forEach((loads, index) => {
      if (index !== view && !share) return
      loads[worker].kept.add('m@1', input.prompt.parts.slice(0, 1))
      if (index !== view) notePeerSent(loads[worker].load, choice.unreadTokens, tokenCostOf(loads[worker].load, 0), now)
    })
  }
  const slowest = times.sort((left, right) => right - left).slice(0, requests / 10)
  return slowest.reduce((sum, time) => sum + time, 0) / slowest.length
}

describe('placement of long prompts from several instances', () => {
  it.each([1, 2, 3])('has shorter waits when the instances report to each other what they sent (seed %i)', seed => {
    expect(simulate({ share: true, seed })).toBeLessThan(simulate({ share: false, seed }))
  })
})
