/** Guards against requests that read parts across the wall around a workspace when the configuration isolates it. */
import { buildCall, buildCatalog, buildRoute, buildWorker } from '../../test/fixtures/forwarding.js'
import { buildGatewayPlay, type GatewayPlay } from '../../test/fixtures/gateway.js'
import type { Catalog } from '../catalog/catalogTypes.js'
import { loadHash, type Hash } from '../hash.js'
import type { Dispatch } from '../ports/forwardPort.js'

let hash: Hash

beforeAll(async () => { hash = await loadHash() })

const workspaceNames = ['hospital', 'shop']
const storeAddress = { host: '10.0.0.9', port: 80 }

const buildVersion = (version: number, isolated: readonly string[]): Catalog => {
  const catalog = buildCatalog({ version })
  return {
    ...catalog,
    routes: [buildRoute({ name: 'model-route', host: 'model.example', pathPrefix: '/model/', kind: 'stream', resumable: true, timeout: 5_000, maxWorkers: 2, open: false, targets: [{ service: 'model', weight: 1 }] })],
    services: [...catalog.services, { name: 'parts', maxConnections: 10, purpose: { kind: 'partStore', address: storeAddress, dataCentre: 'a', memoryTokens: 1_000_000 } }],
    workspaces: workspaceNames.map(name => ({ name, keys: [`key-${name}`], isolated: isolated.includes(name) }))
  }
}

const begin = (): GatewayPlay => {
  const play = buildGatewayPlay(hash, 0, buildVersion(1, []))
  const worker = (id: string) => buildWorker(id, { service: 'model', models: [{ name: 'llm', version: 1 }] })
  play.send({ kind: 'feed.workers', records: [{ kind: 'present', worker: worker('w1') }, { kind: 'present', worker: worker('w2') }], complete: true }, 1)
  play.send({ kind: 'feed.parts', store: storeAddress, restarted: true, changes: [] }, 1)
  return play
}

const isolate = (play: GatewayPlay, version: number, isolated: readonly string[], now: number): void => {
  play.send({ kind: 'feed.catalog', catalog: buildVersion(version, isolated) }, now)
}

let lastRequest = 0

const ask = (play: GatewayPlay, workspace: string, now: number): void => {
  lastRequest++
  const prompt = { model: 'llm', inputTokens: 1_000, maxOutputTokens: 10, parts: [{ id: 'shared', tokens: 800 }, { id: `own-${lastRequest}`, tokens: 200 }] }
  play.send({ kind: 'call.arrived', request: lastRequest, call: buildCall({ id: `r${lastRequest}`, host: 'model.example', path: '/model/x', key: `key-${workspace}`, prompt }) }, now)
}

const dispatches = (play: GatewayPlay): readonly Dispatch[] =>
  play.effects.flatMap(({ effect }) => effect.kind === 'attempt.send' ? [effect.dispatch] : [])

const scopeOfLast = (play: GatewayPlay): string | undefined => dispatches(play).at(-1)?.model?.scope

describe('a workspace that the configuration isolates', () => {
  // Guards against the shared scope that keeps its name, with what the workspace made in it before, at workers and in the part store.
  it('leaves no part behind that the requests of others read, and reads none of theirs', () => {
    const play = begin()
    ask(play, 'hospital', 10)
    const before = scopeOfLast(play)
    ask(play, 'shop', 20)
    expect(scopeOfLast(play)).toBe(before)
    isolate(play, 2, ['hospital'], 30)
    ask(play, 'shop', 40)
    expect(scopeOfLast(play)).not.toBe(before)
    const others = scopeOfLast(play)
    ask(play, 'hospital', 50)
    expect(scopeOfLast(play)).not.toBe(before)
    expect(scopeOfLast(play)).not.toBe(others)
    expect(dispatches(play).at(-1)?.model?.source).toEqual(storeAddress)
  })

  // Guards against a second attempt that is sent by what was true when its request arrived.
  it('is isolated for requests that arrived before and are sent once more after', () => {
    const play = begin()
    ask(play, 'hospital', 10)
    isolate(play, 2, ['hospital'], 20)
    ask(play, 'shop', 30)
    const others = scopeOfLast(play)
    const first = play.effects.find(({ effect }) => effect.kind === 'attempt.send')?.effect
    if (first?.kind !== 'attempt.send') throw new RangeError('no attempt was sent')
    play.send({ kind: 'attempt.failed', attempt: first.attempt, failure: 'unsent' }, 40)
    expect(dispatches(play).at(-1)?.call.id).toBe(first.dispatch.call.id)
    expect(scopeOfLast(play)).toBe('llm@1/hospital')
    expect(others).not.toBe('llm@1/hospital')
  })

  // Guards against a scope that depends on what an instance has seen, which one that starts has not.
  it('is isolated by the same names at an instance that starts with the newest configuration', () => {
    const old = begin()
    isolate(old, 2, ['shop'], 5)
    isolate(old, 3, ['hospital'], 6)
    const started = begin()
    isolate(started, 3, ['hospital'], 6)
    for (const workspace of workspaceNames) {
      ask(old, workspace, 10)
      ask(started, workspace, 10)
      expect(scopeOfLast(started)).toBe(scopeOfLast(old))
    }
  })
})
