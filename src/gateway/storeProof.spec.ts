import { createStoreProof } from './storeProof.js'

describe('a read of the store', () => {
  it('proves the configuration that the store returned', () => {
    const proof = createStoreProof()
    proof.noteCatalog(4)
    expect(proof.isValid(4, 0)).toBe(true)
    expect(proof.isValid(5, 0)).toBe(false)
  })

  it('proves nothing after a restoration until other instances were heard and the store holds the configuration again', () => {
    const proof = createStoreProof()
    proof.noteCatalog(5)
    proof.noteRestored(10_000)
    proof.noteCatalog(4)
    expect(proof.isValid(4, 10_500)).toBe(false)
    expect(proof.isValid(5, 12_000)).toBe(false)
    proof.noteCatalog(5)
    expect(proof.isValid(5, 12_000)).toBe(true)
  })
})
