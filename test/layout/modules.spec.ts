import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join, normalize } from 'node:path'

const importPattern = /^(?:import|export)\s[^'"]*?from\s+'(\.[^']+)\.js'|^import\s+'(\.[^']+)\.js'/gm

/** Modules outside the core: adapters, processes, stand-ins, command line and platform. */
const outsideCore = /^(src\/(adapters|processes|standins|cli)|platform)\//

/** Modules that may import the platform's adapter. */
const platformImporters = /^(platform|src\/cli)\//

const modulesOf = (folder: string): string[] => readdirSync(folder, { recursive: true, encoding: 'utf8' })
  .filter(name => name.endsWith('.ts') && !name.endsWith('.spec.ts'))
  .map(name => join(folder, name))

const importsOf = (text: string, from: string): string[] =>
  [...text.matchAll(importPattern)].map(match => `${normalize(join(dirname(from), match[1] ?? match[2]))}.ts`)

const readGraph = (): Map<string, string[]> =>
  new Map(['src', 'platform'].flatMap(modulesOf).map(module => [module, importsOf(readFileSync(module, 'utf8'), module)]))

/** The first import cycle reachable from a module, as the path from a module back to itself. */
const cycleFrom = (graph: ReadonlyMap<string, readonly string[]>, module: string, path: readonly string[], visited: Set<string>): readonly string[] | undefined => {
  const start = path.indexOf(module)
  if (start >= 0) return [...path.slice(start), module]
  if (visited.has(module)) return undefined
  for (const next of graph.get(module) ?? []) {
    const cycle = cycleFrom(graph, next, [...path, module], visited)
    if (cycle !== undefined) return cycle
  }
  visited.add(module)
  return undefined
}

const findCycle = (graph: ReadonlyMap<string, readonly string[]>): readonly string[] | undefined => {
  const visited = new Set<string>()
  for (const module of graph.keys()) {
    const cycle = cycleFrom(graph, module, [], visited)
    if (cycle !== undefined) return cycle
  }
  return undefined
}

describe('modules', () => {
  const graph = readGraph()

  it('are checked by a search that finds a cycle and by a parser that finds imports', () => {
    expect(findCycle(new Map([['a', ['b']], ['b', ['c']], ['c', ['b']]]))).toEqual(['b', 'c', 'b'])
    expect(importsOf("import { a } from './a.js'\nimport type {\n  B\n} from '../b/c.js'\n", 'src/x/y.ts')).toEqual(['src/x/a.ts', 'src/b/c.ts'])
  })

  it('import one another without cycles', () => {
    expect(findCycle(graph)).toBeUndefined()
  })

  it('of the core import none outside the core', () => {
    const crossing = [...graph].filter(([module]) => !outsideCore.test(module)).flatMap(([module, imports]) => imports.filter(target => outsideCore.test(target)).map(target => `${module} -> ${target}`))
    expect(crossing).toEqual([])
  })

  it('outside the platform and the command line import nothing of the platform', () => {
    const crossing = [...graph].filter(([module]) => !platformImporters.test(module)).flatMap(([module, imports]) => imports.filter(target => target.startsWith('platform/')).map(target => `${module} -> ${target}`))
    expect(crossing).toEqual([])
  })

  it('of the platform import no adapter, process, stand-in or command', () => {
    const crossing = [...graph].filter(([module]) => module.startsWith('platform/')).flatMap(([module, imports]) => imports.filter(target => /^src\/(adapters|processes|standins|cli)\//.test(target)).map(target => `${module} -> ${target}`))
    expect(crossing).toEqual([])
  })

  it('import only files that exist', () => {
    const missing = [...graph].flatMap(([module, imports]) => imports.filter(target => !graph.has(target)).map(target => `${module} -> ${target}`))
    expect(missing).toEqual([])
  })
})
