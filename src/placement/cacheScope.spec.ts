/** Guards against parts of a prompt that cross the wall around an isolated workspace. */
import * as fc from 'fast-check'
import type { Workspace } from '../catalog/catalogTypes.js'
import { loadHash, type Hash } from '../hash.js'
import { cacheIsolationOf, cacheScope, noIsolation, parseCacheScope } from './cacheScope.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const buildWorkspace = (name: string, isolated: boolean): Workspace => ({ name, keys: [`key-${name}`], isolated })

const names = ['a', 'b', 'c', 'd']
const buildWorkspaces = (isolated: readonly string[]): Workspace[] => names.map(name => buildWorkspace(name, isolated.includes(name)))
const scopeIn = (workspaces: Workspace[], name: string): string =>
  cacheScope('llm', 1, workspaces.find(workspace => workspace.name === name), cacheIsolationOf(workspaces, hash))

describe('cache scopes', () => {
  // Guards against parts that a workspace made before it was isolated and that others go on reading.
  it('hold no part of another workspace for an isolated one, whatever changes of the isolation came before', () => {
    fc.assert(fc.property(fc.array(fc.subarray(names), { minLength: 1, maxLength: 12 }), changes => {
      const makers = new Map<string, Set<string>>()
      for (const isolated of changes) {
        const workspaces = buildWorkspaces(isolated)
        for (const name of names) {
          const scope = scopeIn(workspaces, name)
          const others = [...makers.get(scope) ?? []].filter(maker => maker !== name)
          if (isolated.includes(name)) expect(others).toEqual([])
          for (const other of others) expect(isolated).not.toContain(other)
          makers.set(scope, new Set([...makers.get(scope) ?? [], name]))
        }
      }
    }), { seed: 48, numRuns: 500 })
  })

  // Guards against a change that costs all workspaces their cached parts without need.
  it('keep their names when the configuration changes in anything but the isolation', () => {
    const before = buildWorkspaces(['b', 'd'])
    const after = [buildWorkspace('new', false), ...[...before].reverse()]
    for (const name of names) expect(scopeIn(after, name)).toBe(scopeIn(before, name))
    expect(cacheScope('llm', 1, buildWorkspace('a', false), noIsolation)).toBe('llm@1')
    expect(cacheScope('llm', 1, undefined, noIsolation)).toBe('llm@1')
  })

  // Guards against a request that waited while its workspace was isolated, or came back, and is sent by what was true at its arrival.
  it('of a workspace that is isolated now or was when its request arrived are its own', () => {
    const isolated = cacheIsolationOf([buildWorkspace('a', true)], hash)
    expect(cacheScope('llm', 1, buildWorkspace('a', false), isolated)).toBe('llm@1/a')
    expect(cacheScope('llm', 1, buildWorkspace('a', true), noIsolation)).toBe('llm@1/a')
  })

  // Guards against two entries for one workspace of which one takes the isolation of the other away.
  it('are a workspace\'s own if any of its entries says so', () => {
    const entries = [buildWorkspace('a', true), buildWorkspace('a', false)]
    expect(cacheScope('llm', 1, entries[1], cacheIsolationOf(entries, hash))).toBe('llm@1/a')
  })

  // Guards against names that end in the scope of another workspace or of other weights.
  it('of odd names are told apart and are readable', () => {
    const odd = ['a', 'a@5', '/a', '+', 'a+b', 'Ö', 'a b', '\ud800', '\ud801', '']
    const scopes = odd.map(name => cacheScope('m@2', 7, buildWorkspace(name, true), noIsolation))
    expect(new Set(scopes).size).toBe(odd.length)
    for (const scope of scopes) {
      expect(parseCacheScope(scope)).toEqual({ model: 'm@2', version: 7 })
      expect(scope).toMatch(/^[\x21-\x7e]+$/)
    }
    expect(parseCacheScope(scopeIn(buildWorkspaces(['b']), 'a'))).toEqual({ model: 'llm', version: 1 })
    expect(parseCacheScope('llm@any+1')).toBeUndefined()
  })
})
