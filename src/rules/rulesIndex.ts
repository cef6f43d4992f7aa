/**
 * Finds the winning line of each attribute. Lines stand in buckets by exact
 * workspace and by exact model, or service and first segment of the path, each
 * bucket in order of precedence; a decision looks into a handful of them.
 */
import { globMatches, isGlob } from './globs.js'
import { compareOwnership, compareWeights, selectorFields, specificityOf } from './rulesPrecedence.js'
import type { SelectorField, Specificity } from './rulesPrecedence.js'
import type { Destination, RuleOrigin, RuleQuery, Selector } from './rulesTypes.js'

/** The attributes that lines decide by precedence, with their values. */
export interface Attributes {
  readonly allowed: false
  readonly repeatable: false
  readonly endpoints: Destination
  readonly priority: number
  readonly worth: number
  readonly deadline: number
}

/** The name of an attribute. */
export type Attribute = keyof Attributes

/** A line's say on one attribute. */
export interface Entry<Name extends Attribute> {
  readonly attribute: Name
  readonly selector: Selector
  readonly value: Attributes[Name]
  readonly origin: RuleOrigin
}

/** An entry of any attribute. */
export type AnyEntry = { [Name in Attribute]: Entry<Name> }[Attribute]

/** Finds the winning line of an attribute for one query. */
export type Finder = <Name extends Attribute>(attribute: Name) => Entry<Name> | undefined

/** The lines of a file that decide by precedence. */
export interface RuleIndex {
  /** Looks up a resolved query, in a workspace owned by `owner`. */
  readonly lookUp: (query: RuleQuery, owner: string) => Finder
}

interface Condition {
  readonly field: SelectorField
  readonly glob: string
  /** Set if the glob only ends in `*`. */
  readonly prefix?: string
  readonly exact: boolean
}

interface Compiled<Name extends Attribute> {
  readonly entry: Entry<Name>
  readonly specificity: Specificity
  /** What the bucket does not already ensure. */
  readonly conditions: readonly Condition[]
  /** Entries of equal specificity in a bucket have the same number, ascending. */
  tier: number
}

/** Sorted lines of one bucket, by attribute. */
type Lists = { [Name in Attribute]?: Compiled<Name>[] }

/** Lines of one workspace, or of several, and of one subject; sorted when first looked into. */
interface Bucket {
  readonly entries: AnyEntry[]
  lists: Lists | undefined
}

type Buckets = Map<string, Bucket>

const anySubject = '*'

const literalSegment = (path: string | undefined): string | undefined => {
  const match = path === undefined ? null : /^\/([^/*]+)(?:\/|$)/.exec(path)
  return match?.[1]
}

const subjectOf = ({ model, service, path }: Selector): string => {
  if (model !== undefined && !isGlob(model)) return `m ${model}`
  if (service === undefined || isGlob(service)) return anySubject
  const segment = literalSegment(path)
  return segment === undefined ? `s ${service}` : `s ${service} ${segment}`
}

const firstSegment = (path: string): string => {
  const end = path.indexOf('/', 1)
  return end < 0 ? path.slice(1) : path.slice(1, end)
}

const subjectsOf = ({ model, service, path }: RuleQuery): readonly string[] => {
  if (model !== undefined) return [`m ${model}`, anySubject]
  if (service === undefined) return [anySubject]
  return path === undefined ? [`s ${service}`, anySubject] : [`s ${service} ${firstSegment(path)}`, `s ${service}`, anySubject]
}

const conditionsOf = (selector: Selector): Condition[] =>
  selectorFields.flatMap(field => {
    const glob = selector[field]
    if (glob === undefined || (glob === '*' && field === 'workspace')) return []
    const prefix = glob.endsWith('*') && glob.indexOf('*') === glob.length - 1 ? glob.slice(0, -1) : undefined
    return [{ field, glob, prefix, exact: !isGlob(glob) }]
  })

const holds = ({ field, glob, prefix, exact }: Condition, query: RuleQuery): boolean => {
  const value = query[field]
  if (value === undefined) return false
  if (exact) return value === glob
  return prefix === undefined ? globMatches(glob, value) : value.startsWith(prefix)
}

const matches = <Name extends Attribute>({ conditions }: Compiled<Name>, query: RuleQuery): boolean => {
  for (const condition of conditions) if (!holds(condition, query)) return false
  return true
}

/** The first match, or a later one of the same tier if the owner asked for it. */
const bestOf = <Name extends Attribute>(list: readonly Compiled<Name>[], query: RuleQuery, owner: string): Compiled<Name> | undefined => {
  let best: Compiled<Name> | undefined
  for (const compiled of list) {
    if (best !== undefined && compiled.tier !== best.tier) break
    if (!matches(compiled, query)) continue
    if (compiled.entry.origin.team === owner) return compiled
    best ??= compiled
  }
  return best
}

const sortList = <Name extends Attribute>(list: Compiled<Name>[]): void => {
  list.sort((left, right) =>
    compareWeights(left.specificity, right.specificity) || left.entry.origin.line - right.entry.origin.line)
  list.forEach((compiled, index) => {
    const before = list[index - 1]
    if (before === undefined) return
    compiled.tier = before.tier + (compareWeights(before.specificity, compiled.specificity) === 0 ? 0 : 1)
  })
}

/** Below 0 if the left line wins. */
const compareCompiled = <Name extends Attribute>(left: Compiled<Name>, right: Compiled<Name>, owner: string): number => {
  const [{ origin }, { origin: other }] = [left.entry, right.entry]
  return compareWeights(left.specificity, right.specificity) || compareOwnership(origin, other, owner) || origin.line - other.line
}

const anyWorkspace = '*'

const push = <Name extends Attribute>(lists: Lists, entry: Entry<Name>): void => {
  const compiled: Compiled<Name> = { entry, specificity: specificityOf(entry.selector), conditions: conditionsOf(entry.selector), tier: 0 }
  const list: Compiled<Name>[] | undefined = lists[entry.attribute]
  if (list === undefined) (lists[entry.attribute] as Compiled<Name>[]) = [compiled]
  else list.push(compiled)
}

const compile = (entries: readonly AnyEntry[]): Lists => {
  const lists: Lists = {
    allowed: undefined, repeatable: undefined, endpoints: undefined, priority: undefined, worth: undefined, deadline: undefined
  }
  for (const entry of entries) push(lists, entry)
  for (const list of Object.values(lists)) if (list !== undefined) sortList(list as Compiled<Attribute>[])
  return lists
}

const listsOf = (bucket: Bucket): Lists => {
  bucket.lists ??= compile(bucket.entries)
  return bucket.lists
}

const findIn = <Name extends Attribute>(all: readonly Lists[], attribute: Name, query: RuleQuery, owner: string): Entry<Name> | undefined => {
  let best: Compiled<Name> | undefined
  for (const lists of all) {
    const list: readonly Compiled<Name>[] | undefined = lists[attribute]
    const found = list && bestOf(list, query, owner)
    if (found !== undefined && (best === undefined || compareCompiled(found, best, owner) < 0)) best = found
  }
  return best?.entry
}

/**
 * Indexes lines.
 *
 * @param entries - what each line says
 * @returns the index
 */
export const createRuleIndex = (entries: readonly AnyEntry[]): RuleIndex => {
  const byWorkspace = new Map<string, Buckets>()

  const bucketFor = ({ selector }: AnyEntry): Bucket => {
    const { workspace = anyWorkspace } = selector
    const name = isGlob(workspace) ? anyWorkspace : workspace
    const buckets = byWorkspace.get(name) ?? new Map<string, Bucket>()
    byWorkspace.set(name, buckets)
    const subject = subjectOf(selector)
    const bucket = buckets.get(subject) ?? { entries: [], lists: undefined }
    buckets.set(subject, bucket)
    return bucket
  }

  const listsNear = (workspace: string, subjects: readonly string[]): readonly Lists[] => {
    const buckets = byWorkspace.get(workspace)
    const found: Lists[] = []
    for (const subject of subjects) {
      const bucket = buckets?.get(subject)
      if (bucket !== undefined) found.push(listsOf(bucket))
    }
    return found
  }

  for (const entry of entries) bucketFor(entry).entries.push(entry)
  return {
    lookUp: (query, owner) => {
      const subjects = subjectsOf(query)
      const own = listsNear(query.workspace, subjects)
      const wide = listsNear(anyWorkspace, subjects)
      return attribute => findIn(own, attribute, query, owner) ?? findIn(wide, attribute, query, owner)
    }
  }
}
