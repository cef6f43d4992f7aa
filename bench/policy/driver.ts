/** Runs one workload with one policy in virtual time: entry instances, callers, incidents and the outcome of each call. */
import type { Hash } from '../../src/hash.js'
import { createPrefixHasher } from '../../src/prefix/prefixHasher.js'
import type { PrefixChain } from '../../src/prefix/prefixTypes.js'
import { createRandom } from '../../src/random.js'
import { createRendezvousOrders } from '../../src/routing/rendezvous.js'
import { createVirtualTime } from '../../test/fakes/virtualTime.js'
import type { Call, Deployment, EntryPolicy, Incident, Outcome, Policy, RunResult, Workload } from './benchTypes.js'
import type { EntryView } from './fleet.js'
import { createFleet } from './fleet.js'
import type { Job } from './fakeWorker.js'

/** One entry instance of the run. */
interface Entry {
  readonly id: string
  readonly dataCentre: string
  /** Relative size: weight in the placement of workspaces and in the callers' choice of an instance. */
  readonly size: number
  view: EntryView
  policy: EntryPolicy
  up: boolean
  /** Counts the starts of the instance; a failed attempt of an earlier incarnation is not retried. */
  incarnation: number
}

/** Interval of ticks of an entry instance, in ms. */
const tickInterval = 50
/** Delay of a message between entry instances, in ms. */
const peerDelay = 2
/** Delay between an entry instance and a worker, each way, in ms. */
const networkDelay = 1
/** Factor on a call's target after which its caller gives up. */
const giveUpFactor = 3
/** Maximum number of retries of a caller after refusals. */
const maxCallerRetries = 3
/** Maximum number of retries of an entry instance after failed attempts of one arrival. */
const maxRetries = 2
/** Time after the end of the workload for running requests to finish, in ms. */
const drainTime = 15_000

/**
 * Runs a workload and returns the outcome of each call.
 *
 * @param seed - seed of the callers, the fleet and the policies
 */
export const runWorkload = (hash: Hash, deployment: Deployment, workload: Workload, policy: Policy, seed: number): RunResult => {
  const time = createVirtualTime()
  const random = createRandom(seed * 7919 + 17)
  const fleet = createFleet(deployment, time, createRandom(seed * 31 + 5), workload.eventFaults)
  const prefixHasher = createPrefixHasher(hash)
  const entries: Entry[] = []
  const computedBefore = new Set<string>()
  const outcomes: Outcome[] = []

  const entryIds = Array.from({ length: deployment.entries }, (_, index) => `entry${index}`)
  const sizes = entryIds.map((_, index) => workload.entrySizes?.[index] ?? 1)
  const entryOrders = createRendezvousOrders(hash, entryIds.map((id, index) => ({ id, slots: Math.max(1, 4 * sizes[index]) })))
  const entriesByWorkspace = new Map<string, readonly string[]>(deployment.workspaces.map(({ name }) =>
    [name, [...entryOrders.order(hash.h32(name))].slice(0, deployment.entriesPerWorkspace).map(index => entryIds[index])]))

  const performEffects = (entry: Entry, effects: ReturnType<NonNullable<EntryPolicy['handle']>>): void => {
    for (const effect of effects) {
      if (effect.kind === 'endpoint.follow' || effect.kind === 'endpoint.unfollow') entry.view.perform(effect)
      if (effect.kind === 'peer.send') {
        const to = entries.find(candidate => candidate.id === effect.to)
        time.after(peerDelay, () => {
          if (to?.up === true) to.policy.handle?.({ kind: 'peer.message', from: entry.id, message: effect.message }, time.now())
        })
      }
    }
  }

  const startEntry = (id: string, incarnation: number): Pick<Entry, 'view' | 'policy'> => {
    const view = fleet.createView({
      events: input => {
        const entry = entries.find(candidate => candidate.id === id)
        if (entry?.view === view) entry.policy.handle?.(input, time.now())
      }
    })
    const entryPolicy = policy.create({
      hash,
      self: id,
      incarnation: `${id}.${incarnation}`,
      random: createRandom(seed * 1009 + entryIds.indexOf(id) * 13 + incarnation),
      deployment,
      entriesOf: workspace => entriesByWorkspace.get(workspace) ?? [],
      endpoints: () => view.endpoints,
      workers: fleet.workers
    })
    return { view, policy: entryPolicy }
  }

  entryIds.forEach((id, index) => {
    const dataCentre = deployment.dataCentres[index % deployment.dataCentres.length]
    entries.push({ id, dataCentre, size: sizes[index], up: true, incarnation: 1, ...startEntry(id, 1) })
  })

  const tick = (): void => {
    for (const entry of entries) if (entry.up) performEffects(entry, entry.policy.handle?.({ kind: 'tick' }, time.now()) ?? [])
    time.after(tickInterval, tick)
  }
  tick()

  const pickEntry = (workspace: string): Entry | undefined => {
    const assigned = entries.filter(entry => entry.up && (entriesByWorkspace.get(workspace) ?? []).includes(entry.id))
    const candidates = assigned.length > 0 ? assigned : entries.filter(entry => entry.up)
    let drawn = random.unit() * candidates.reduce((sum, entry) => sum + entry.size, 0)
    for (const entry of candidates) {
      if (drawn < entry.size) return entry
      drawn -= entry.size
    }
    return candidates[0]
  }

  /** Counts the uncached tokens of a prompt that some worker had already computed, and records its blocks as computed. */
  const countRecomputed = (chain: PrefixChain, cachedTokens: number): number => {
    let sum = 0
    chain.blocks.forEach((block, index) => {
      const tokens = chain.tokenEnds[index] - (index === 0 ? 0 : chain.tokenEnds[index - 1])
      if (computedBefore.has(block) && chain.tokenEnds[index] > cachedTokens) sum += tokens
      computedBefore.add(block)
    })
    return sum
  }

  const sendCall = (call: Call, chain: PrefixChain, outcome: Outcome, callerRetries: number): void => {
    const sentAt = time.now()
    const givesUpAt = sentAt + giveUpFactor * call.target
    const entry = pickEntry(call.workspace)
    if (entry === undefined) return
    const { incarnation, policy: entryPolicy, view } = entry
    const exclude: string[] = []

    const retryLater = (retryAfter: number): void => {
      if (callerRetries >= maxCallerRetries || time.now() + retryAfter > call.at + giveUpFactor * call.target) return
      time.after(retryAfter, () => sendCall(call, chain, outcome, callerRetries + 1))
    }

    const attempt = (retries: number): void => {
      const decision = entryPolicy.choose({ call, chain, deadline: sentAt + call.target, exclude, retried: retries > 0 }, view.endpoints, time.now())
      if (decision.kind === 'refuse') {
        outcome.refusals.push(decision.reason)
        retryLater(decision.retryAfter)
        return
      }
      if (retries === 0) outcome.firstAttempts++
      else outcome.retries++
      const { attempt: listener, endpoint } = decision
      const worker = fleet.workers.find(candidate => candidate.id === endpoint)
      let ended = false

      const fail = (): void => {
        if (ended) return
        ended = true
        listener.failed?.(time.now())
        view.suspect(endpoint)
        exclude.push(endpoint)
        if (entry.incarnation !== incarnation) return
        if (retries < maxRetries && time.now() < givesUpAt) attempt(retries + 1)
      }

      const job: Job = {
        chain,
        completionTokens: call.completionTokens,
        priority: decision.priority,
        phase: 'waiting',
        cachedTokens: 0,
        incarnation: 0,
        onFirstToken: () => {
          const recomputed = countRecomputed(chain, job.cachedTokens)
          outcome.recomputedTokens += recomputed
          outcome.computedTokens += chain.tokens - job.cachedTokens
          if (ended) return
          outcome.admittedTtft ??= time.now() + networkDelay - sentAt
          outcome.ttft ??= time.now() + networkDelay - call.at
          listener.firstToken?.(time.now())
        },
        onFinished: usage => {
          if (ended) return
          ended = true
          outcome.finished = true
          outcome.cachedTokens = usage.cachedTokens
          outcome.promptTokens = usage.promptTokens
          listener.finished?.(usage, time.now())
        },
        onFailed: fail
      }

      const giveUp = (): void => {
        if (ended || outcome.ttft !== undefined) return
        ended = true
        worker?.cancel(job)
        listener.failed?.(time.now())
      }

      time.after(networkDelay, () => {
        if (worker?.submit(job) !== true) fail()
      })
      time.at(givesUpAt, giveUp)
    }
    attempt(0)
  }

  const applyIncident = (incident: Incident): void => {
    switch (incident.kind) {
      case 'crash':
        return fleet.crash(fleet.workers[incident.worker], incident.downFor)
      case 'herdRestart':
        for (const entry of entries) {
          entry.incarnation++
          Object.assign(entry, startEntry(entry.id, entry.incarnation))
        }
        return
      case 'loseDataCentre':
        for (const worker of fleet.workers) if (worker.dataCentre === incident.dataCentre) fleet.crash(worker, incident.downFor)
        for (const entry of entries) {
          if (entry.dataCentre !== incident.dataCentre) continue
          entry.up = false
          entry.incarnation++
          time.after(incident.downFor, () => Object.assign(entry, { up: true, ...startEntry(entry.id, entry.incarnation) }))
        }
        return
      case 'platformAway':
        fleet.platform = false
        time.after(incident.downFor, () => {
          fleet.platform = true
        })
    }
  }

  for (const incident of workload.incidents) time.at(incident.at, () => applyIncident(incident))
  for (const call of workload.calls) {
    time.at(call.at, () => {
      const chain = prefixHasher.chain({ workspace: call.workspace, model: 'm', weightVersion: '1' }, call.texts)
      const outcome: Outcome = { call, ttft: undefined, admittedTtft: undefined, finished: false, cachedTokens: 0, promptTokens: 0, computedTokens: 0, recomputedTokens: 0, firstAttempts: 0, retries: 0, refusals: [] }
      outcomes.push(outcome)
      sendCall(call, chain, outcome, 0)
    })
  }
  time.runUntil(workload.duration + drainTime)
  return {
    outcomes,
    eventsDelivered: fleet.eventsDelivered,
    cacheIndexBytes: entries.reduce((sum, entry) => sum + (entry.policy.bytes?.() ?? 0), 0) / entries.length
  }
}
