import { createRandom } from '../random.js'
import { createCachedPartsEstimate } from './cachedPartsEstimate.js'
import { sharedParts } from './modelPlacement.js'
import { createStoreBudget } from './storeBudget.js'
import { shouldStorePrompt } from './shouldStorePrompt.js'
import type { Prompt } from '../ports/forwardPort.js'

const scope = 's'
const capacity = 3_000_000
const instanceCount = 195
const sessionCount = 1_600
const promptTokens = 9_200
/** Time between two prompts of the fleet, in ms. */
const promptInterval = 5
const duration = 60_000 // ms

const buildPrompt = (number: number, session: number): Prompt => ({
  model: 'llm',
  inputTokens: promptTokens,
  maxOutputTokens: 10,
  parts: [{ id: `g${session % 4}`, tokens: 2_500 }, { id: `p${session}`, tokens: 3_800 }, { id: `o${number}`, tokens: 2_900 }]
})

/** Replays prompts that arrive at random instances which do not follow the part store; returns the tokens sent to it per s. */
const replayFleet = (seed: number, withBudget: boolean): number => {
  const random = createRandom(seed)
  const instances = Array.from({ length: instanceCount }, () => ({ stored: createCachedPartsEstimate(capacity), budget: createStoreBudget() }))
  let sent = 0
  for (let number = 0; number * promptInterval < duration; number++) {
    const { stored, budget } = instances[random.below(instanceCount)]
    const prompt = buildPrompt(number, random.below(sessionCount))
    if (!shouldStorePrompt(stored, false, scope, prompt)) continue
    if (withBudget && !budget.take(promptTokens, capacity, instanceCount, number * promptInterval)) continue
    stored.add(scope, sharedParts(prompt))
    sent += promptTokens
  }
  return sent / (duration / 1_000)
}

describe('the store budget', () => {
  it.each([1, 2, 3])('keeps hundreds of instances from replacing the store\'s content before it is used again (seed %i)', seed => {
    expect(replayFleet(seed, false)).toBeGreaterThan(capacity / 2)
    // The first prompt of each instance is always allowed.
    const first = instanceCount * promptTokens / (duration / 1_000)
    expect(replayFleet(seed, true)).toBeLessThan(capacity / 20 + first)
  })

  it('allows the next prompt only after the share of the previous one has passed', () => {
    const budget = createStoreBudget()
    expect(budget.take(1_000, 200_000, 10, 0)).toBe(true)
    expect(budget.take(1_000, 200_000, 10, 999)).toBe(false)
    expect(budget.take(1_000, 200_000, 10, 1_001)).toBe(true)
  })
})
