/**
 * Publishes new versions for operators. The text is validated here, before the
 * append. Whether the publish was accepted is always read back from the log,
 * whatever the log's answer to the append was. The same record may be appended
 * more than once: because it names its base version, it is accepted at most once.
 */
import { parseRules, splitLines } from '../rules/rulesParser.js'
import { diffRules, findForbiddenChanges } from '../rules/rulesDiff.js'
import { diffLines } from './configPatch.js'
import { configStream } from './configTypes.js'
import type { ConfigDb } from './configDb.js'
import type { ConfigEffect, ConfigRecord, PublishInput, PublishResult } from './configTypes.js'
import type { Rule } from '../rules/rulesTypes.js'
import type { LogEffect, LogInput } from '../ports/logPort.js'

/** Maximum duration of a publish, in ms; then its result is `unavailable`, with a retry delay. */
const publishTimeout = 10_000
/** Time after which the outcome of an unanswered append is read back from the log, in ms. */
const appendTimeout = 2000
/** Minimum time between appends of the same record, in ms. */
const appendBackoff = 500
/** Time after which an operator may retry, in ms. */
const retryAfter = 5000

/** What a publish waits for; times in ms. */
type Stage =
  /** A read that was sent at `since` or later and reached the end of the log. */
  | { readonly kind: 'reading', readonly since: number }
  /** The log's answer to the append with this token. */
  | { readonly kind: 'appending', readonly token: number, readonly since: number }

/** A publish in progress. */
interface PendingPublish {
  readonly input: PublishInput
  readonly lines: readonly string[]
  readonly rules: readonly Rule[]
  /** Time at which the publish times out, in ms. */
  readonly deadline: number
  stage: Stage
  /** Time of the last append of the record, in ms; undefined before the first. */
  appendedAt: number | undefined
}

/** Effects of the publisher. */
export type PublishEffect = LogEffect | ConfigEffect

/** Processes publish requests of operators. */
export interface ConfigPublisher {
  /** Validates the text and starts a publish; returns the result at once if the text is invalid. */
  readonly start: (input: PublishInput, now: number) => readonly PublishEffect[]
  /** Handles the log's answer to an append. */
  readonly answer: (input: LogInput, now: number) => void
  /** Advances every publish as far as the state of the log allows. */
  readonly advance: (now: number) => readonly PublishEffect[]
  /** Whether some publish waits for a read of the log. */
  readonly needsRead: () => boolean
  /** Returns the number of publishes in progress. */
  readonly pending: () => number
}

/**
 * Creates a publisher.
 *
 * @param db - the feature's state
 * @returns the publisher
 */
export const createConfigPublisher = (db: ConfigDb): ConfigPublisher => {
  const pendingPublishes = new Map<number, PendingPublish>()

  const publishedEffect = (request: number, result: PublishResult): ConfigEffect => ({ kind: 'config.published', request, result })

  const finish = (publish: PendingPublish, result: PublishResult): PublishEffect[] => {
    pendingPublishes.delete(publish.input.request)
    return [publishedEffect(publish.input.request, result)]
  }

  const start = (input: PublishInput, now: number): readonly PublishEffect[] => {
    const parsed = parseRules(input.text, db.ruleset?.rules)
    if (parsed.isErr()) return [publishedEffect(input.request, { kind: 'invalid', errors: parsed.error })]
    pendingPublishes.set(input.request, {
      input,
      lines: splitLines(input.text),
      rules: parsed.value,
      deadline: now + publishTimeout,
      stage: { kind: 'reading', since: now },
      appendedAt: undefined
    })
    return []
  }

  /** Returns the result of a publish if the accepted publishes alone determine it. */
  const knownResult = ({ input: { publishId, base } }: PendingPublish): PublishResult | undefined => {
    const { history, version } = db.fold.revision
    const own = history.find(publication => publication.id === publishId)
    if (own !== undefined) return { kind: 'accepted', version: own.version }
    if (version <= base) return undefined
    const winner = history.find(publication => publication.version === base + 1)
    return { kind: 'conflict', winner: winner?.publisher ?? '', version }
  }

  /** Returns the result of a publish that need not or may not be appended; called once the log has been read to its end. */
  const resultWithoutAppend = ({ input, lines, rules }: PendingPublish): PublishResult | undefined => {
    const { version, history, lines: current } = db.fold.revision
    if (input.base !== version) return { kind: 'conflict', winner: history.at(-1)?.publisher ?? '', version }
    if (version > 0 && diffLines(current, lines).length === 0) return { kind: 'accepted', version }
    if (input.operator === undefined) return undefined
    const before = parseRules(current.join('\n'), db.ruleset?.rules).unwrapOr([])
    const changes = findForbiddenChanges(diffRules(before, rules), input.operator)
    return changes.length > 0 ? { kind: 'forbidden', changes } : undefined
  }

  const append = (publish: PendingPublish, now: number): PublishEffect[] => {
    const { publishId: id, base, publisher } = publish.input
    const patch = diffLines(db.fold.revision.lines, publish.lines).map(hunk => ({ ...hunk }))
    const payload: ConfigRecord = { kind: 'publish', id, base, publisher, patch }
    const token = db.nextToken++
    publish.stage = { kind: 'appending', token, since: now }
    publish.appendedAt = now
    return [{ kind: 'log.append', owner: 'config', token, stream: configStream, payload }]
  }

  const timeOut = (publish: PendingPublish): PublishEffect[] =>
    finish(publish, { kind: 'unavailable', retryAfter, outcome: publish.appendedAt === undefined ? 'notRun' : 'unknown' })

  const advanceOne = (publish: PendingPublish, now: number): readonly PublishEffect[] => {
    const known = knownResult(publish)
    if (known !== undefined) return finish(publish, known)
    if (now >= publish.deadline) return timeOut(publish)
    const { stage, appendedAt } = publish
    if (stage.kind === 'appending') {
      if (now - stage.since >= appendTimeout) publish.stage = { kind: 'reading', since: now }
      return []
    }
    if (db.caughtUpAt < stage.since) return []
    const result = appendedAt === undefined ? resultWithoutAppend(publish) : undefined
    if (result !== undefined) return finish(publish, result)
    if (appendedAt !== undefined && now - appendedAt < appendBackoff) {
      publish.stage = { kind: 'reading', since: now }
      return []
    }
    return append(publish, now)
  }

  const answer = (input: LogInput, now: number): void => {
    for (const publish of pendingPublishes.values()) {
      if (publish.stage.kind === 'appending' && publish.stage.token === input.token) publish.stage = { kind: 'reading', since: now }
    }
  }

  return {
    start,
    answer,
    advance: now => pendingPublishes.size === 0 ? [] : [...pendingPublishes.values()].flatMap(publish => advanceOne(publish, now)),
    needsRead: () => pendingPublishes.size > 0 && [...pendingPublishes.values()].some(({ stage }) => stage.kind === 'reading' && db.caughtUpAt < stage.since),
    pending: () => pendingPublishes.size
  }
}
