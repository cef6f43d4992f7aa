/** An operator of a small fleet in virtual time. */
import { deploymentLayouts, startDeployment, type Deployment } from './deployments.js'
import type { FakeFleet, FleetHooks } from './fakeFleet.js'
import { noFaultHooks } from './fakeFleet.js'
import type { Hash } from '../../src/hash.js'

/** What an operator asks. */
export interface OperatorRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  /** Text, or a value that is sent as JSON. */
  readonly body?: unknown
  /** Operator key; the fleet's by default, none if empty. */
  readonly key?: string
  /** Position of the instance; the first by default. */
  readonly node?: number
}

/** What it hears. */
export interface OperatorAnswer {
  readonly status: number
  readonly body: unknown
}

/** The operator and its fleet, one second old, with version 1 in force. */
export interface FakeOperator {
  readonly fleet: FakeFleet
  readonly nodes: readonly string[]
  /** Asks, and lets time go on until the answer is there. */
  readonly ask: (question: OperatorRequest) => OperatorAnswer
  /** Publishes on the version in force. */
  readonly publish: (text: string, key?: string) => OperatorAnswer
}

const firstRequest = 1_000_000
const patience = 2_000

/**
 * Starts a fleet with an operator.
 *
 * @param hash - hash functions
 * @param deployment - whose names to use
 * @param hooks - what else the test watches
 */
export const startOperator = (hash: Hash, deployment: Deployment = 'harrowgate', hooks: FleetHooks = noFaultHooks): FakeOperator => {
  const answers = new Map<number, OperatorAnswer>()
  const fleet = startDeployment(hash, deployment, 1, {
    ...hooks,
    onEffect: (node, effect) => {
      hooks.onEffect(node, effect)
      if (effect.kind === 'operator.answer') answers.set(effect.request, { status: effect.status, body: JSON.parse(effect.body) })
    }
  })
  const nodes = deploymentLayouts[deployment].dataCentres.map(name => `${name}-e1`)
  let requests = firstRequest

  const ask = ({ method, path, body = '', key = 'demo-operator-fleet', node = 0 }: OperatorRequest): OperatorAnswer => {
    const request = ++requests
    const text = typeof body === 'string' ? body : JSON.stringify(body)
    const headers: Record<string, string> = key === '' ? {} : { authorization: `Bearer ${key}` }
    fleet.feed(nodes[node], { kind: 'operator.request', request, method, path, headers, body: Buffer.from(text) })
    if (!answers.has(request)) fleet.time.runUntil(fleet.time.now() + patience)
    return answers.get(request) ?? { status: 0, body: undefined }
  }

  const publish = (text: string, key?: string): OperatorAnswer => {
    const { version } = ask({ method: 'GET', path: '/v1/rules' }).body as { version: number }
    const answer = ask({ method: 'POST', path: '/v1/rules', key, body: { base: version, text, publisher: 'Ines', publishId: `publish-${requests}` } })
    fleet.time.runUntil(fleet.time.now() + patience)
    return answer
  }

  return { fleet, nodes, ask, publish }
}
