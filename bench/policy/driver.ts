/** Runs one workload with one policy in virtual time. */
import type { Hash } from '../../src/hash.js'
import { createPrefixHasher } from '../../src/prefix/prefixHasher.js'
import type { PrefixChain } from '../../src/prefix/prefixTypes.js'
import { createRandom } from '../../src/random.js'
import { createRendezvousOrders } from '../../src/routing/rendezvous.js'
import { createVirtualTime } from '../../test/fakes/virtualTime.js'
import type { Call, Deployment, EntryPolicy, Incident, Outcome, Policy, Run, Workload } from './benchTypes.js'
import type { EntryView } from './fleet.js'
import { createFleet } from './fleet.js'
import type { Job } from './fakeWorker.js'

interface Entry {
  readonly id: string
  readonly dataCentre: string
  readonly size: number
  view: EntryView
  policy: EntryPolicy
  up: boolean
  /** Counts restarts; answers to an earlier instance are lost. */
  life: number
}

const tickInterval = 50
const peerDelay = 2
const networkDelay = 1
/** Callers wait this many times their target before they give up. */
const patience = 3
/** Times that a caller comes back after refusals. */
const maxReturns = 3
const maxRetries = 2
/** Time after the last call for what is running to end, in ms. */
const drain = 15_000

/** Runs a workload and gives what became of each call. */
export const drive = (hash: Hash, deployment: Deployment, workload: Workload, policy: Policy, seed: number): Run => {
  const time = createVirtualTime()
  const random = createRandom(seed * 7919 + 17)
  const fleet = createFleet(deployment, time, createRandom(seed * 31 + 5), workload.eventFaults)
  const prefix = createPrefixHasher(hash)
  const entries: Entry[] = []
  const computedBefore = new Set<string>()
  const outcomes: Outcome[] = []

  const entryIds = Array.from({ length: deployment.entries }, (_, index) => `entry${index}`)
  const sizes = entryIds.map((_, index) => workload.entrySizes?.[index] ?? 1)
  const entryOrders = createRendezvousOrders(hash, entryIds.map((id, index) => ({ id, slots: Math.max(1, 4 * sizes[index]) })))
  const serving = new Map<string, readonly string[]>(deployment.workspaces.map(({ name }) =>
    [name, [...entryOrders.order(hash.h32(name))].slice(0, deployment.entriesPerWorkspace).map(index => entryIds[index])]))

  const perform = (entry: Entry, effects: ReturnType<NonNullable<EntryPolicy['handle']>>): void => {
    for (const effect of effects) {
      if (effect.kind === 'endpoint.follow' || effect.kind === 'endpoint.unfollow') entry.view.perform(effect)
      if (effect.kind === 'peer.send') {
        const to = entries.find(one => one.id === effect.to)
        time.after(peerDelay, () => {
          if (to?.up === true) to.policy.handle?.({ kind: 'peer.message', from: entry.id, message: effect.message }, time.now())
        })
      }
    }
  }

  const start = (id: string, life: number): Pick<Entry, 'view' | 'policy'> => {
    const view = fleet.createView({
      events: input => {
        const entry = entries.find(one => one.id === id)
        if (entry?.view === view) entry.policy.handle?.(input, time.now())
      }
    })
    const made = policy.create({
      hash,
      self: id,
      incarnation: `${id}.${life}`,
      random: createRandom(seed * 1009 + entryIds.indexOf(id) * 13 + life),
      deployment,
      entriesOf: workspace => serving.get(workspace) ?? [],
      endpoints: () => view.endpoints,
      workers: fleet.workers
    })
    return { view, policy: made }
  }

  entryIds.forEach((id, index) => {
    const dataCentre = deployment.dataCentres[index % deployment.dataCentres.length]
    entries.push({ id, dataCentre, size: sizes[index], up: true, life: 1, ...start(id, 1) })
  })

  const tick = (): void => {
    for (const entry of entries) if (entry.up) perform(entry, entry.policy.handle?.({ kind: 'tick' }, time.now()) ?? [])
    time.after(tickInterval, tick)
  }
  tick()

  const pickEntry = (workspace: string): Entry | undefined => {
    const near = entries.filter(entry => entry.up && (serving.get(workspace) ?? []).includes(entry.id))
    const open = near.length > 0 ? near : entries.filter(entry => entry.up)
    let drawn = random.unit() * open.reduce((sum, entry) => sum + entry.size, 0)
    for (const entry of open) {
      if (drawn < entry.size) return entry
      drawn -= entry.size
    }
    return open[0]
  }

  /** Counts tokens computed again that some worker had computed before. */
  const recomputed = (chain: PrefixChain, cachedTokens: number): number => {
    let sum = 0
    chain.blocks.forEach((block, index) => {
      const tokens = chain.tokenEnds[index] - (index === 0 ? 0 : chain.tokenEnds[index - 1])
      if (computedBefore.has(block) && chain.tokenEnds[index] > cachedTokens) sum += tokens
      computedBefore.add(block)
    })
    return sum
  }

  const ask = (call: Call, chain: PrefixChain, outcome: Outcome, returns: number): void => {
    const askedAt = time.now()
    const givesUpAt = askedAt + patience * call.target
    const entry = pickEntry(call.workspace)
    if (entry === undefined) return
    const { life, policy: asked, view } = entry
    const exclude: string[] = []

    const comeBack = (retryAfter: number): void => {
      if (returns >= maxReturns || time.now() + retryAfter > call.at + patience * call.target) return
      time.after(retryAfter, () => ask(call, chain, outcome, returns + 1))
    }

    const attempt = (retries: number): void => {
      const decision = asked.choose({ call, chain, deadline: askedAt + call.target, exclude, retried: retries > 0 }, view.endpoints, time.now())
      if (decision.kind === 'refuse') {
        outcome.refusals.push(decision.reason)
        comeBack(decision.retryAfter)
        return
      }
      if (retries === 0) outcome.firstAttempts++
      else outcome.retries++
      const { attempt: hears, endpoint } = decision
      const worker = fleet.workers.find(one => one.id === endpoint)
      let over = false

      const fail = (): void => {
        if (over) return
        over = true
        hears.failed?.(time.now())
        view.suspect(endpoint)
        exclude.push(endpoint)
        if (entry.life !== life) return
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
          const repeated = recomputed(chain, job.cachedTokens)
          outcome.recomputedTokens += repeated
          outcome.computedTokens += chain.tokens - job.cachedTokens
          if (over) return
          outcome.admittedTtft ??= time.now() + networkDelay - askedAt
          outcome.ttft ??= time.now() + networkDelay - call.at
          hears.firstToken?.(time.now())
        },
        onFinished: usage => {
          if (over) return
          over = true
          outcome.finished = true
          outcome.cachedTokens = usage.cachedTokens
          outcome.promptTokens = usage.promptTokens
          hears.finished?.(usage, time.now())
        },
        onFailed: fail
      }

      const giveUp = (): void => {
        if (over || outcome.ttft !== undefined) return
        over = true
        worker?.cancel(job)
        hears.failed?.(time.now())
      }

      time.after(networkDelay, () => {
        if (worker?.submit(job) !== true) fail()
      })
      time.at(givesUpAt, giveUp)
    }
    attempt(0)
  }

  const suffer = (incident: Incident): void => {
    switch (incident.kind) {
      case 'crash':
        return fleet.crash(fleet.workers[incident.worker], incident.downFor)
      case 'herdRestart':
        for (const entry of entries) {
          entry.life++
          Object.assign(entry, start(entry.id, entry.life))
        }
        return
      case 'loseDataCentre':
        for (const worker of fleet.workers) if (worker.dataCentre === incident.dataCentre) fleet.crash(worker, incident.downFor)
        for (const entry of entries) {
          if (entry.dataCentre !== incident.dataCentre) continue
          entry.up = false
          entry.life++
          time.after(incident.downFor, () => Object.assign(entry, { up: true, ...start(entry.id, entry.life) }))
        }
        return
      case 'platformAway':
        fleet.platform = false
        time.after(incident.downFor, () => {
          fleet.platform = true
        })
    }
  }

  for (const incident of workload.incidents) time.at(incident.at, () => suffer(incident))
  for (const call of workload.calls) {
    time.at(call.at, () => {
      const chain = prefix.chain({ workspace: call.workspace, model: 'm', weightVersion: '1' }, call.texts)
      const outcome: Outcome = { call, ttft: undefined, admittedTtft: undefined, finished: false, cachedTokens: 0, promptTokens: 0, computedTokens: 0, recomputedTokens: 0, firstAttempts: 0, retries: 0, refusals: [] }
      outcomes.push(outcome)
      ask(call, chain, outcome, 0)
    })
  }
  time.runUntil(workload.duration + drain)
  return {
    outcomes,
    eventsDelivered: fleet.eventsDelivered,
    knowledgeBytes: entries.reduce((sum, entry) => sum + (entry.policy.bytes?.() ?? 0), 0) / entries.length
  }
}
