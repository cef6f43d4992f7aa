import type { Prompt } from '../ports/forwardPort.js'
import { createRandom } from '../random.js'
import { createCachedPartsEstimate, type CachedPartsEstimate } from './cachedPartsEstimate.js'
import { sharedParts } from './modelPlacement.js'
import { shouldStorePrompt } from './shouldStorePrompt.js'

const scope = 's'
const storeTokens = 800_000
const ownTokens = 2_900

/** A prompt of a general part, one of 130 particular ones, and a part of its own. */
const buildPrompt = (number: number, particular: number): Prompt => ({
  model: 'llm',
  inputTokens: 9_200,
  maxOutputTokens: 13,
  parts: [{ id: `g${particular % 4}`, tokens: 2_500 }, { id: `p${particular}`, tokens: 3_800 }, { id: `o${number}`, tokens: ownTokens }]
})

type Decide = (stored: CachedPartsEstimate, scope: string, prompt: Prompt) => boolean

const whileFollowing: Decide = (stored, within, prompt) => shouldStorePrompt(stored, true, within, prompt)

/** Share of the shared tokens that the store has when a prompt comes, after a first minute in which it fills. */
const play = (decide: Decide, seed: number): number => {
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

describe('what is sent to the part store', () => {
  it.each([1, 2, 3])('leaves the store to parts that are shared (seed %i)', seed => {
    const found = play(whileFollowing, seed)
    expect(found).toBeGreaterThan(0.95)
    expect(found).toBeGreaterThan(play(() => true, seed) + 0.1)
  })

  it('is a prompt of which a shared part is missing there', () => {
    const store = createCachedPartsEstimate(storeTokens)
    const prompt = buildPrompt(1, 1)
    expect(whileFollowing(store, scope, prompt)).toBe(true)
    store.add(scope, sharedParts(prompt))
    expect(whileFollowing(store, scope, prompt)).toBe(false)
    expect(whileFollowing(store, 'other', prompt)).toBe(true)
  })

  it('is every new prompt where it is not heard what the store drops', () => {
    const store = createCachedPartsEstimate(storeTokens)
    const prompt = buildPrompt(1, 1)
    store.add(scope, sharedParts(prompt))
    expect(shouldStorePrompt(store, false, scope, prompt)).toBe(true)
    store.add(scope, prompt.parts)
    expect(shouldStorePrompt(store, false, scope, prompt)).toBe(false)
  })

  it('is no prompt without parts', () => {
    expect(whileFollowing(createCachedPartsEstimate(1), scope, { model: 'llm', inputTokens: 5, maxOutputTokens: 1, parts: [] })).toBe(false)
  })
})
