/** An operator that sends requests to the operator ports of a small fleet in virtual time. */
import { deploymentLayouts, startDeployment, type Deployment } from './deployments.js'
import type { FakeFleet, FleetHooks } from './fakeFleet.js'
import { noFaultHooks } from './fakeFleet.js'
import type { Hash } from '../../src/hash.js'

/** A request to the operator port of an instance. */
export interface OperatorRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  /** Body: a string as it is, any other value as JSON. */
  readonly body?: unknown
  /** Operator key: the fleet's by default, none if empty. */
  readonly key?: string
  /** Index of the instance, 0 by default. */
  readonly node?: number
}

/** The answer to an operator request, with its body parsed from JSON; status 0 if none came in time. */
export interface OperatorAnswer {
  readonly status: number
  readonly body: unknown
}

/** The operator and its fleet, which starts with version 1 of the rules in force. */
export interface FakeOperator {
  readonly fleet: FakeFleet
  /** Ids of the instances. */
  readonly nodes: readonly string[]
  /** Sends a request; if it is not answered at once, advances virtual time by the answer timeout. */
  readonly ask: (request: OperatorRequest) => OperatorAnswer
  /** Publishes a text of rules based on the version in force, and advances virtual time so that it takes effect. */
  readonly publish: (text: string, key?: string) => OperatorAnswer
}

/** Request numbers start here, so that they differ from those of the fleet. */
const firstRequest = 1_000_000
/** Virtual time allowed for an answer, in ms. */
const answerTimeout = 2_000

/**
 * Starts a fleet with an operator.
 *
 * @param hash - hash functions
 * @param deployment - the deployment whose names are used
 * @param hooks - further observers and faults of the test
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
    if (!answers.has(request)) fleet.time.runUntil(fleet.time.now() + answerTimeout)
    return answers.get(request) ?? { status: 0, body: undefined }
  }

  const publish = (text: string, key?: string): OperatorAnswer => {
    const { version } = ask({ method: 'GET', path: '/v1/rules' }).body as { version: number }
    const answer = ask({ method: 'POST', path: '/v1/rules', key, body: { base: version, text, publisher: 'Ines', publishId: `publish-${requests}` } })
    fleet.time.runUntil(fleet.time.now() + answerTimeout)
    return answer
  }

  return { fleet, nodes, ask, publish }
}
