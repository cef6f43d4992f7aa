import type { Prompt } from '../ports/forwardPort.js'
import { createRandom } from '../random.js'
import { createCachedPartsEstimate, type CachedPartsEstimate } from './cachedPartsEstimate.js'
import { sharedParts } from './modelPlacement.js'
import { shouldStorePrompt } from './shouldStorePrompt.js'

const scope = 's'
const storeTokens = 800_000
const ownTokens = 2_900

/** Builds a prompt of three parts: one that a quarter of all prompts share, one shared within one of 130 groups, and one of its own. */
const buildPrompt = (number: number, group: number): Prompt => ({
  model: 'llm',
  inputTokens: 9_200,
  maxOutputTokens: 13,
  parts: [{ id: `g${group % 4}`, tokens: 2_500 }, { id: `p${group}`, tokens: 3_800 }, { id: `o${number}`, tokens: ownTokens }]
})

type Decide = (stored: CachedPartsEstimate, scope: string, prompt: Prompt) => boolean

const withStoreEvents: Decide = (stored, promptScope, prompt) => shouldStorePrompt(stored, true, promptScope, prompt)

/** Simulates 3,000 prompts; returns the share of shared tokens found in the store after the first 1,000 prompts, which fill it. */
const simulate = (decide: Decide, seed: number): number => {
  const random = createRandom(seed)
  const store = createCachedPartsEstimate(storeTokens)
  let wanted = 0
  let found = 0
  for (let number = 0; number < 3_000; number++) {
    const prompt = buildPrompt(number, random.below(130))
    const shared = sharedParts(prompt)
    if (number > 1_000) {
      wanted += 6_300
      found += store.cachedPrefixTokens(scope, shared)
    }
    if (decide(store, scope, prompt)) store.add(scope, prompt.parts)
  }
  return found / wanted
}

describe('shouldStorePrompt', () => {
  it.each([1, 2, 3])('keeps unshared parts from evicting shared parts from the store (seed %i)', seed => {
    const found = simulate(withStoreEvents, seed)
    expect(found).toBeGreaterThan(0.95)
    expect(found).toBeGreaterThan(simulate(() => true, seed) + 0.1)
  })

  it('stores a prompt if one of its shared parts is missing from the store', () => {
    const store = createCachedPartsEstimate(storeTokens)
    const prompt = buildPrompt(1, 1)
    expect(withStoreEvents(store, scope, prompt)).toBe(true)
    store.add(scope, sharedParts(prompt))
    expect(withStoreEvents(store, scope, prompt)).toBe(false)
    expect(withStoreEvents(store, 'other', prompt)).toBe(true)
  })

  it('stores no prompt again for its own part if the instance does not receive the store\'s events, and none that shares few tokens', () => {
    const store = createCachedPartsEstimate(storeTokens)
    expect(shouldStorePrompt(store, false, scope, buildPrompt(1, 1))).toBe(true)
    store.add(scope, sharedParts(buildPrompt(1, 1)))
    expect(shouldStorePrompt(store, false, scope, buildPrompt(2, 1))).toBe(false)
    const short = { ...buildPrompt(3, 2), parts: [{ id: 'short', tokens: 200 }, { id: 'o3', tokens: ownTokens }] }
    expect(shouldStorePrompt(store, false, scope, short)).toBe(false)
    expect(shouldStorePrompt(store, true, scope, short)).toBe(true)
  })

  it('does not store a prompt without parts', () => {
    expect(withStoreEvents(createCachedPartsEstimate(1), scope, { model: 'llm', inputTokens: 5, maxOutputTokens: 1, parts: [] })).toBe(false)
  })
})
