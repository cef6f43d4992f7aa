import { parseDescriptorLimit, readDescriptorLimit } from './processDescriptors.js'

describe('the limit of descriptors', () => {
  it('is read from what the system states, if there is one', () => {
    const line = 'Max open files            400                  20000                files     \n'
    expect(parseDescriptorLimit(`Limit  Soft Limit  Hard Limit  Units\n${line}`)).toBe(400)
    expect(parseDescriptorLimit('Max open files            unlimited            unlimited            files')).toBeUndefined()
    expect(parseDescriptorLimit('')).toBeUndefined()
    expect(readDescriptorLimit()).toBeGreaterThan(0)
  })
})
