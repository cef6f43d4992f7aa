/**
 * Index that finds the winning rule of each attribute. Rules are grouped in buckets by
 * exact workspace and by exact model, or by exact service and first path segment. Each
 * bucket is sorted by precedence, and a decision reads at most six of them.
 */
import { globMatches, isGlob } from './globs.js'
import { compareOwnership, compareWeights, selectorFields, specificityOf } from './rulesPrecedence.js'
import type { SelectorField, Specificity } from './rulesPrecedence.js'
import type { Destination, RuleOrigin, RuleQuery, Selector } from './rulesTypes.js'

/** The attributes that are decided by precedence, with the types of their values. */
export interface Attributes {
  readonly allowed: false
  readonly repeatable: false
  readonly endpoints: Destination
  readonly priority: number
  readonly worth: number
  readonly deadline: number
}

/** The name of an attribute that is decided by precedence. */
export type Attribute = keyof Attributes

/** The value that one rule sets for one attribute. */
export interface IndexEntry<Name extends Attribute> {
  readonly attribute: Name
  readonly selector: Selector
  readonly value: Attributes[Name]
  readonly origin: RuleOrigin
}

/** An index entry of any attribute. */
export type AnyIndexEntry = { [Name in Attribute]: IndexEntry<Name> }[Attribute]

/** Finds the winning entry of an attribute for the query that was looked up; undefined if no rule matches. */
export type Finder = <Name extends Attribute>(attribute: Name) => IndexEntry<Name> | undefined

/** The indexed rules whose attributes are decided by precedence. */
export interface RuleIndex {
  /**
   * Looks up a query as returned by `resolveQuery`. `owner` is the team that owns the query's
   * workspace; its rules win over equally specific ones.
   */
  readonly lookUp: (query: RuleQuery, owner: string) => Finder
}

/** The condition that one field of a selector sets, prepared for matching. */
interface Condition {
  readonly field: SelectorField
  readonly glob: string
  /** The text before the `*` if the glob's only `*` is at its end; else undefined. */
  readonly prefix?: string
  /** Whether the glob has no `*`. */
  readonly exact: boolean
}

/** An index entry with its selector prepared for matching. */
interface CompiledEntry<Name extends Attribute> {
  readonly entry: IndexEntry<Name>
  readonly specificity: Specificity
  /** The conditions of the selector, except a workspace of `*`, which always matches. */
  readonly conditions: readonly Condition[]
  /** Rank of the entry's specificity within its list, from 0 for the most specific; equal for equally specific entries. */
  tier: number
}

/** The entries of one bucket by attribute, each list sorted by specificity and then line number. */
type ListsByAttribute = { [Name in Attribute]?: CompiledEntry<Name>[] }

/**
 * The entries for one subject and one exact workspace, or for one subject and all workspaces
 * selected by globs. The sorted lists are built on first use.
 */
interface Bucket {
  readonly entries: AnyIndexEntry[]
  lists: ListsByAttribute | undefined
}

/** Buckets by subject: the exact model or service (with first path segment, if literal) of a selector, or `wildcardSubject`. */
type Buckets = Map<string, Bucket>

const wildcardSubject = '*'

/** The first segment of a path glob, or undefined if the segment has a `*`. */
const literalFirstSegment = (path: string | undefined): string | undefined => {
  const match = path === undefined ? null : /^\/([^/*]+)(?:\/|$)/.exec(path)
  return match?.[1]
}

const subjectKey = ({ model, service, path }: Selector): string => {
  if (model !== undefined && !isGlob(model)) return `m ${model}`
  if (service === undefined || isGlob(service)) return wildcardSubject
  const segment = literalFirstSegment(path)
  return segment === undefined ? `s ${service}` : `s ${service} ${segment}`
}

const firstSegment = (path: string): string => {
  const end = path.indexOf('/', 1)
  return end < 0 ? path.slice(1) : path.slice(1, end)
}

/** The subjects whose buckets can have matches for a query. */
const candidateSubjects = ({ model, service, path }: RuleQuery): readonly string[] => {
  if (model !== undefined) return [`m ${model}`, wildcardSubject]
  if (service === undefined) return [wildcardSubject]
  return path === undefined ? [`s ${service}`, wildcardSubject] : [`s ${service} ${firstSegment(path)}`, `s ${service}`, wildcardSubject]
}

const conditionsOf = (selector: Selector): Condition[] =>
  selectorFields.flatMap(field => {
    const glob = selector[field]
    if (glob === undefined || (glob === '*' && field === 'workspace')) return []
    const prefix = glob.endsWith('*') && glob.indexOf('*') === glob.length - 1 ? glob.slice(0, -1) : undefined
    return [{ field, glob, prefix, exact: !isGlob(glob) }]
  })

const conditionMatches = ({ field, glob, prefix, exact }: Condition, query: RuleQuery): boolean => {
  const value = query[field]
  if (value === undefined) return false
  if (exact) return value === glob
  return prefix === undefined ? globMatches(glob, value) : value.startsWith(prefix)
}

const allConditionsMatch = <Name extends Attribute>({ conditions }: CompiledEntry<Name>, query: RuleQuery): boolean => {
  for (const condition of conditions) if (!conditionMatches(condition, query)) return false
  return true
}

/** The first matching entry of the sorted list, or a later one of the same tier if it belongs to the owner. */
const findBest = <Name extends Attribute>(list: readonly CompiledEntry<Name>[], query: RuleQuery, owner: string): CompiledEntry<Name> | undefined => {
  let best: CompiledEntry<Name> | undefined
  for (const compiled of list) {
    if (best !== undefined && compiled.tier !== best.tier) break
    if (!allConditionsMatch(compiled, query)) continue
    if (compiled.entry.origin.team === owner) return compiled
    best ??= compiled
  }
  return best
}

const sortList = <Name extends Attribute>(list: CompiledEntry<Name>[]): void => {
  list.sort((left, right) =>
    compareWeights(left.specificity, right.specificity) || left.entry.origin.line - right.entry.origin.line)
  list.forEach((compiled, index) => {
    const previous = list[index - 1]
    if (previous === undefined) return
    compiled.tier = previous.tier + (compareWeights(previous.specificity, compiled.specificity) === 0 ? 0 : 1)
  })
}

/** Compares two entries by precedence; the result is below 0 if the left entry wins. */
const compareCompiled = <Name extends Attribute>(left: CompiledEntry<Name>, right: CompiledEntry<Name>, owner: string): number => {
  const [{ origin }, { origin: other }] = [left.entry, right.entry]
  return compareWeights(left.specificity, right.specificity) || compareOwnership(origin, other, owner) || origin.line - other.line
}

const wildcardWorkspace = '*'

const addEntry = <Name extends Attribute>(lists: ListsByAttribute, entry: IndexEntry<Name>): void => {
  const compiled: CompiledEntry<Name> = { entry, specificity: specificityOf(entry.selector), conditions: conditionsOf(entry.selector), tier: 0 }
  const list: CompiledEntry<Name>[] | undefined = lists[entry.attribute]
  if (list === undefined) (lists[entry.attribute] as CompiledEntry<Name>[]) = [compiled]
  else list.push(compiled)
}

const compileEntries = (entries: readonly AnyIndexEntry[]): ListsByAttribute => {
  const lists: ListsByAttribute = {
    allowed: undefined, repeatable: undefined, endpoints: undefined, priority: undefined, worth: undefined, deadline: undefined
  }
  for (const entry of entries) addEntry(lists, entry)
  for (const list of Object.values(lists)) if (list !== undefined) sortList(list as CompiledEntry<Attribute>[])
  return lists
}

const listsOf = (bucket: Bucket): ListsByAttribute => {
  bucket.lists ??= compileEntries(bucket.entries)
  return bucket.lists
}

/** Finds the best match in the lists of several buckets. */
const findIn = <Name extends Attribute>(bucketLists: readonly ListsByAttribute[], attribute: Name, query: RuleQuery, owner: string): IndexEntry<Name> | undefined => {
  let best: CompiledEntry<Name> | undefined
  for (const lists of bucketLists) {
    const list: readonly CompiledEntry<Name>[] | undefined = lists[attribute]
    const found = list && findBest(list, query, owner)
    if (found !== undefined && (best === undefined || compareCompiled(found, best, owner) < 0)) best = found
  }
  return best?.entry
}

/**
 * Creates an index.
 *
 * @param entries - the values that the rules set for attributes
 * @returns the index
 */
export const createRuleIndex = (entries: readonly AnyIndexEntry[]): RuleIndex => {
  const byWorkspace = new Map<string, Buckets>()

  const bucketFor = ({ selector }: AnyIndexEntry): Bucket => {
    const { workspace = wildcardWorkspace } = selector
    const name = isGlob(workspace) ? wildcardWorkspace : workspace
    const buckets = byWorkspace.get(name) ?? new Map<string, Bucket>()
    byWorkspace.set(name, buckets)
    const subject = subjectKey(selector)
    const bucket = buckets.get(subject) ?? { entries: [], lists: undefined }
    buckets.set(subject, bucket)
    return bucket
  }

  const listsFor = (workspace: string, subjects: readonly string[]): readonly ListsByAttribute[] => {
    const buckets = byWorkspace.get(workspace)
    const found: ListsByAttribute[] = []
    for (const subject of subjects) {
      const bucket = buckets?.get(subject)
      if (bucket !== undefined) found.push(listsOf(bucket))
    }
    return found
  }

  for (const entry of entries) bucketFor(entry).entries.push(entry)
  return {
    lookUp: (query, owner) => {
      const subjects = candidateSubjects(query)
      const exactLists = listsFor(query.workspace, subjects)
      const globLists = listsFor(wildcardWorkspace, subjects)
      return attribute => findIn(exactLists, attribute, query, owner) ?? findIn(globLists, attribute, query, owner)
    }
  }
}
