/**
 * Publishes for operators. The text is checked here, before the append; whether
 * the append counted is always read back from the log, whatever its answer was.
 * The same record may be appended again: its base lets it count only once.
 */
import { parseRules, splitLines } from '../rules/rulesParser.js'
import { diffRules, findForbiddenChanges } from '../rules/rulesDiff.js'
import { diffLines } from './configPatch.js'
import { configStream } from './configTypes.js'
import type { ConfigDb } from './configDb.js'
import type { ConfigEffect, ConfigRecord, PublishInput, PublishResult } from './configTypes.js'
import type { Rule } from '../rules/rulesTypes.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'

/** Ms that a publish may take before the operator is told to come back. */
const publishTimeout = 10_000
/** Ms after which an append without an answer is resolved by reading. */
const appendTimeout = 2000
/** Ms between appends of the same record. */
const appendBackoff = 500
/** Ms after which an operator may come back. */
const retryAfter = 5000

/** What a publish waits for. */
type Stage =
  /** A read that is sent after `since` and reaches the end. */
  | { readonly kind: 'reading', readonly since: number }
  | { readonly kind: 'appending', readonly token: number, readonly since: number }

interface Publish {
  readonly input: PublishInput
  readonly lines: readonly string[]
  readonly rules: readonly Rule[]
  readonly deadline: number
  stage: Stage
  /** When the record was last appended, in ms. */
  appendedAt: number | undefined
}

/** An effect of publishing. */
export type PublishEffect = LogEffect | ConfigEffect

/** Carries out publishes. */
export interface ConfigPublisher {
  readonly start: (input: PublishInput, now: number) => readonly PublishEffect[]
  readonly answer: (input: LogInput, now: number) => void
  /** Moves every publish on as far as the log's state allows. */
  readonly advance: (now: number) => readonly PublishEffect[]
  /** Whether a read is needed now. */
  readonly wantsRead: () => boolean
  readonly pending: () => number
}

/**
 * Creates a publisher.
 *
 * @param db - the feature's state
 * @returns the publisher
 */
export const createConfigPublisher = (db: ConfigDb): ConfigPublisher => {
  const publishes = new Map<number, Publish>()

  const published = (request: number, result: PublishResult): ConfigEffect => ({ kind: 'config.published', request, result })

  const finish = (publish: Publish, result: PublishResult): PublishEffect[] => {
    publishes.delete(publish.input.request)
    return [published(publish.input.request, result)]
  }

  const start = (input: PublishInput, now: number): readonly PublishEffect[] => {
    const parsed = parseRules(input.text, db.ruleset?.rules)
    if (parsed.isErr()) return [published(input.request, { kind: 'invalid', errors: parsed.error })]
    publishes.set(input.request, {
      input,
      lines: splitLines(input.text),
      rules: parsed.value,
      deadline: now + publishTimeout,
      stage: { kind: 'reading', since: now },
      appendedAt: undefined
    })
    return []
  }

  /** What is certain of a publish, from the accepted publishes alone. */
  const settled = ({ input: { publishId, base } }: Publish): PublishResult | undefined => {
    const { history, version } = db.fold.revision
    const own = history.find(publication => publication.id === publishId)
    if (own !== undefined) return { kind: 'accepted', version: own.version }
    if (version <= base) return undefined
    const winner = history.find(publication => publication.version === base + 1)
    return { kind: 'conflict', winner: winner?.publisher ?? '', version }
  }

  /** Reasons not to append, once the state is known to be the newest. */
  const refusal = ({ input, lines, rules }: Publish): PublishResult | undefined => {
    const { version, history, lines: current } = db.fold.revision
    if (input.base !== version) return { kind: 'conflict', winner: history.at(-1)?.publisher ?? '', version }
    if (version > 0 && diffLines(current, lines).length === 0) return { kind: 'accepted', version }
    if (input.operator === undefined) return undefined
    const before = parseRules(current.join('\n'), db.ruleset?.rules).unwrapOr([])
    const changes = findForbiddenChanges(diffRules(before, rules), input.operator)
    return changes.length > 0 ? { kind: 'forbidden', changes } : undefined
  }

  const append = (publish: Publish, now: number): PublishEffect[] => {
    const { publishId: id, base, publisher } = publish.input
    const patch = diffLines(db.fold.revision.lines, publish.lines).map(hunk => ({ ...hunk }))
    const payload: ConfigRecord = { kind: 'publish', id, base, publisher, patch }
    const token = db.nextToken++
    publish.stage = { kind: 'appending', token, since: now }
    publish.appendedAt = now
    return [{ kind: 'log.append', owner: 'config', token, stream: configStream, payload }]
  }

  const timeOut = (publish: Publish): PublishEffect[] =>
    finish(publish, { kind: 'unavailable', retryAfter, outcome: publish.appendedAt === undefined ? 'notRun' : 'unknown' })

  const advanceOne = (publish: Publish, now: number): readonly PublishEffect[] => {
    const certain = settled(publish)
    if (certain !== undefined) return finish(publish, certain)
    if (now >= publish.deadline) return timeOut(publish)
    const { stage, appendedAt } = publish
    if (stage.kind === 'appending') {
      if (now - stage.since >= appendTimeout) publish.stage = { kind: 'reading', since: now }
      return []
    }
    if (db.caughtUpAt < stage.since) return []
    const refused = appendedAt === undefined ? refusal(publish) : undefined
    if (refused !== undefined) return finish(publish, refused)
    if (appendedAt !== undefined && now - appendedAt < appendBackoff) {
      publish.stage = { kind: 'reading', since: now }
      return []
    }
    return append(publish, now)
  }

  const answer = (input: LogInput, now: number): void => {
    for (const publish of publishes.values()) {
      if (publish.stage.kind === 'appending' && publish.stage.token === input.token) publish.stage = { kind: 'reading', since: now }
    }
  }

  return {
    start,
    answer,
    advance: now => publishes.size === 0 ? [] : [...publishes.values()].flatMap(publish => advanceOne(publish, now)),
    wantsRead: () => publishes.size > 0 && [...publishes.values()].some(({ stage }) => stage.kind === 'reading' && db.caughtUpAt < stage.since),
    pending: () => publishes.size
  }
}
